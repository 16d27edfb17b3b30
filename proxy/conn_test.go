package proxy

import (
	"net"
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
		record := sendRecord{uses: []connUse{{conn: conn, start: conn.beginAttempt(time.Now().Add(time.Second))}}}
		time.Sleep(2 * time.Second)
		_, err := conn.Write([]byte("order"))
		g.Expect(err).To(gomega.MatchError(errDeadlinePassed))
		g.Expect(sink.bytes).To(gomega.BeZero())
		g.Expect(record.confirmUnsent()).To(gomega.BeTrue(), "an unsent request was reported as possibly run")
		conn.beginAttempt(time.Now().Add(time.Second))
		_, err = conn.Write([]byte("order"))
		g.Expect(err).To(gomega.MatchError(errWritesStopped))
	})
}
