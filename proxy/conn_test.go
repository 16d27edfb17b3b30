package proxy

import (
	"io"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// discardConn counts the written bytes and discards them.
type discardConn struct {
	net.Conn
	bytes int
}

func (c *discardConn) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// TestNothingIsSentAfterTheDeadline covers a process that is suspended between
// acquiring a connection and writing the first byte: it must not send the
// request after its deadline.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		sink := &discardConn{}
		conn := &countingConn{Conn: sink}
		record := sendRecord{uses: []connUse{conn.beginAttempt(time.Now().Add(time.Second), "", false)}}
		time.Sleep(2 * time.Second)
		_, err := conn.Write([]byte("order"))
		g.Expect(err).To(gomega.MatchError(errDeadlinePassed))
		g.Expect(sink.bytes).To(gomega.BeZero())
		g.Expect(record.confirmUnsent()).To(gomega.BeTrue(), "an unsent request was reported as possibly run")
		conn.beginAttempt(time.Now().Add(time.Second), "", false)
		_, err = conn.Write([]byte("order"))
		g.Expect(err).To(gomega.MatchError(errWritesStopped))
	})
}

// TestOnlyTheRefusalOfTheAttemptIsProof guards against a copy of a refusal that counts for a later
// attempt, and against a refusal that counts for none although it can't be a copy.
func TestOnlyTheRefusalOfTheAttemptIsProof(t *testing.T) {
	// Each case is what the attempts on a connection end with, in turn; only the last refusal is judged.
	for name, c := range map[string]struct {
		earlier string
		hasID   bool
		want    bool
	}{
		"first, without an ID":                 {want: true},
		"first, with an ID":                    {hasID: true, want: true},
		"after an answer, with an ID":          {earlier: "answer", hasID: true, want: true},
		"after an answer, without an ID":       {earlier: "answer"},
		"after two answers with one ID":        {earlier: "two answers with one ID", hasID: true},
		"after answers with two IDs":           {earlier: "answers with two IDs", hasID: true, want: true},
		"after a refusal, with an ID":          {earlier: "refusal", hasID: true},
		"after a refusal, without an ID":       {earlier: "refusal"},
		"after an undecided one, with an ID":   {earlier: "undecided", hasID: true},
		"after a foreign response, with an ID": {earlier: "foreign", hasID: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			near, far := net.Pipe()
			defer far.Close()
			conn := &countingConn{Conn: near}
			use := func(id string) *sendRecord {
				return &sendRecord{uses: []connUse{conn.beginAttempt(time.Time{}, id, false)}}
			}
			switch c.earlier {
			case "answer":
				use("earlier").confirmAnswer()
			case "two answers with one ID":
				use("same").confirmAnswer()
				use("same").confirmAnswer()
			case "answers with two IDs":
				use("one").confirmAnswer()
				use("other").confirmAnswer()
			case "refusal":
				use("earlier").confirmRefusal(true)
			case "undecided":
				use("earlier")
			case "foreign":
				use("earlier").endUse()
			}
			g.Expect(use("own").confirmRefusal(c.hasID)).To(gomega.Equal(c.want))
			_, err := conn.Write([]byte("order"))
			g.Expect(err).To(gomega.MatchError(errWritesStopped), "the connection is not used again")
		})
	}
}

// TestConnectionIsNotUsedForAnIDAgain guards against a connection that carries an ID twice, or goes on
// after a response that may be that of an earlier attempt, and against one that keeps IDs without bound.
func TestConnectionIsNotUsedForAnIDAgain(t *testing.T) {
	for name, c := range map[string]struct {
		earlier []string
		id      string
		// streamed is set if the last request can be sent only once.
		streamed bool
	}{
		"carried before":                   {earlier: []string{"same"}, id: "same"},
		"carried before, streamed":         {earlier: []string{"same"}, id: "same", streamed: true},
		"behind as many IDs as it carries": {earlier: numbered(maxCarried), id: "own"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			near, far := net.Pipe()
			defer far.Close()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			conn := &countingConn{Conn: near}
			for _, id := range c.earlier {
				record := sendRecord{uses: []connUse{conn.beginAttempt(time.Time{}, id, true)}}
				_, err := conn.Write([]byte("order"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				record.confirmAnswer()
			}
			last := sendRecord{uses: []connUse{conn.beginAttempt(time.Time{}, c.id, !c.streamed)}}
			if c.streamed {
				last.confirmAnswer()
			}
			_, err := conn.Write([]byte("order"))
			g.Expect(err).To(gomega.BeAssignableToTypeOf(errWritesStopped))
			g.Expect(conn.carried.Len()).To(gomega.BeNumerically("<=", maxCarried))
		})
	}
}

func numbered(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	return ids
}

// TestConnectionOfALaterAttemptStaysOpen guards against an order that is cut because the connection
// was handed out again before an earlier attempt saw its refusal.
func TestConnectionOfALaterAttemptStaysOpen(t *testing.T) {
	g := gomega.NewWithT(t)
	sink := &discardConn{}
	conn := &countingConn{Conn: sink}
	first := sendRecord{uses: []connUse{conn.beginAttempt(time.Time{}, "first", true)}}
	conn.beginAttempt(time.Time{}, "later", true)
	g.Expect(first.confirmRefusal(true)).To(gomega.BeTrue())
	_, err := conn.Write([]byte("order"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(sink.bytes).To(gomega.Equal(len("order")))
}
