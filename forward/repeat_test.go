package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/forward"
	"github.com/pomelolock/pomelolock/outcome"
)

// copier is the behaviour of servers that refuse a request and run it when it comes again; on the
// connection on which they refused it, they write the refusal once more before.
type copier struct {
	// refusal is the refusal, with ID in place of the request's ID.
	refusal string
	// refusals is how often each request is refused.
	refusals int
	// late is how long after the arrival of the request the copy is written.
	late time.Duration
	// early is set if a refusal is written before the body is read.
	early bool

	mu sync.Mutex
	// refused counts the refusals of each request, runs its runs.
	refused, runs map[string]int
}

// start starts a server with the behaviour.
func (c *copier) start(t *testing.T, id string) *server {
	t.Helper()
	c.refused, c.runs = make(map[string]int), make(map[string]int)
	return startRawServer(t, id, c.serve)
}

func (c *copier) serve(conn net.Conn) {
	refusedHere := make(map[string]bool)
	for reader := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		refusal := strings.ReplaceAll(c.refusal, "ID", id)
		c.mu.Lock()
		refuse := c.refused[id] < c.refusals
		if refuse {
			c.refused[id]++
		} else {
			c.runs[id]++
		}
		c.mu.Unlock()
		if refuse && c.early {
			_, _ = io.WriteString(conn, refusal)
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch {
		case refuse:
			if !c.early {
				_, _ = io.WriteString(conn, refusal)
			}
			refusedHere[id] = true
			continue
		case refusedHere[id]:
			time.Sleep(c.late)
			_, _ = io.WriteString(conn, refusal)
			time.Sleep(20 * time.Millisecond)
		}
		ok(conn, req)
	}
}

func (c *copier) runsOfRepeated() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[repeatedID]
}

// repeatedID is the ID of the order that is sent more than once.
const repeatedID = "same"

const refusalWithID = "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// refusals returns refusals with the ID of the request, by their status.
func refusals() map[string]string {
	return map[string]string{
		"503": refusalWithID,
		"429": "HTTP/1.1 429 X\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nbye",
		"408": "HTTP/1.1 408 X\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"400": "HTTP/1.1 400 X\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
		"421": "HTTP/1.1 421 X\r\nRequest-Id: ID\r\nInstance-Id: s9\r\nContent-Length: 0\r\n\r\n",
	}
}

// chunked hides the type of a reader, so that its content is sent in chunks.
type chunked struct{ io.Reader }

// order sends the order whose ID is repeatedID, in chunks or with a length.
func (f *fixture) order(t *testing.T, body string, inChunks bool) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var reader io.Reader = strings.NewReader(body)
	if inChunks {
		reader = chunked{reader}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, f.url+"/order/1", reader)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	maps.Copy(req.Header, http.Header{"Request-Id": {repeatedID}, "Deadline-Ms": {"1900"}})
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestRefusalOfAnEarlierAttemptIsNoProof guards against a request that is answered "not run", or sent
// to a second server, while the first one runs it: the server wrote its refusal of the same request
// once more, when that was under way again on the same connection.
func TestRefusalOfAnEarlierAttemptIsNoProof(t *testing.T) {
	for status, refusal := range refusals() {
		for name, body := range map[string]struct {
			text             string
			inChunks, early  bool
			late             time.Duration
			sameAddressTwice bool
		}{
			"at once":                         {text: "x"},
			"50 ms late":                      {text: "x", late: 50 * time.Millisecond},
			"500 ms late":                     {text: "x", late: 500 * time.Millisecond},
			"without a body":                  {},
			"in chunks":                       {text: "payload", inChunks: true},
			"long":                            {text: strings.Repeat("x", 200<<10)},
			"long, in chunks":                 {text: strings.Repeat("x", 200<<10), inChunks: true},
			"long, refused early":             {text: strings.Repeat("x", 200<<10), early: true},
			"in chunks, refused early":        {text: "payload", inChunks: true, early: true},
			"a server listed twice":           {text: "x", sameAddressTwice: true},
			"a server listed twice, 50 ms":    {text: "x", sameAddressTwice: true, late: 50 * time.Millisecond},
			"a server listed twice, in parts": {text: "payload", inChunks: true, sameAddressTwice: true},
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				c := &copier{refusal: refusal, refusals: 1, late: body.late, early: body.early}
				first := c.start(t, "s1")
				servers := []*server{first}
				if body.sameAddressTwice || status == "421" {
					// A server that rejects a request for another one is no longer used.
					servers = append(servers, &server{id: "s2", address: first.address})
				}
				f := newFixture(t, servers...)
				got := f.order(t, body.text, body.inChunks)
				if len(servers) == 1 {
					g.Expect(got).To(gomega.Equal(http.StatusServiceUnavailable))
					got = f.order(t, body.text, body.inChunks)
				}
				g.Expect(c.runsOfRepeated()).To(gomega.Equal(1))
				g.Expect(got).To(gomega.Equal(http.StatusOK))
			})
		}
	}
}

// TestRepeatedRequestRunsAtOneServer guards against a second run after the copy of a refusal.
func TestRepeatedRequestRunsAtOneServer(t *testing.T) {
	g := gomega.NewWithT(t)
	first, second := &copier{refusal: refusalWithID, refusals: 1}, &copier{refusal: refusalWithID, refusals: 1}
	f := newFixture(t, first.start(t, "s1"), second.start(t, "s2"))
	g.Expect(f.order(t, "payload", true)).To(gomega.Equal(http.StatusServiceUnavailable))
	got := f.order(t, "payload", true)
	g.Expect(first.runsOfRepeated() + second.runsOfRepeated()).To(gomega.Equal(1))
	g.Expect(got).To(gomega.Equal(http.StatusOK))
}

// TestRefusalOfAnEarlierDelegationIsNoProof guards against the same where the request comes to its
// server through a peer, or where the peer itself answers twice.
func TestRefusalOfAnEarlierDelegationIsNoProof(t *testing.T) {
	t.Run("delegated twice", func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := &copier{refusal: refusalWithID, refusals: 1}
		f := cutOff(t, newFixture(t, c.start(t, "s1")).asPeer(t, "peer"))
		g.Expect(f.order(t, "payload", true)).To(gomega.Equal(http.StatusServiceUnavailable))
		got := f.order(t, "payload", true)
		g.Expect(c.runsOfRepeated()).To(gomega.Equal(1))
		g.Expect(got).To(gomega.Equal(http.StatusOK))
	})
	t.Run("delegated, and sent to the peer", func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := &copier{refusal: refusalWithID, refusals: 1}
		peer := newFixture(t, c.start(t, "s1"))
		f := cutOff(t, peer.asPeer(t, "peer"))
		g.Expect(f.order(t, "x", false)).To(gomega.Equal(http.StatusServiceUnavailable))
		got := peer.order(t, "x", false)
		g.Expect(c.runsOfRepeated()).To(gomega.Equal(1))
		g.Expect(got).To(gomega.Equal(http.StatusOK))
	})
	t.Run("copied by the peer", func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := &copier{refusal: fmt.Sprintf("HTTP/1.1 503 X\r\nRequest-Id: ID\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", outcome.HeaderOutcome, outcome.NotRun), refusals: 1}
		f := cutOff(t, forward.Peer{ID: "peer", Address: c.start(t, "peer").address})
		g.Expect(f.order(t, "x", false)).To(gomega.Equal(http.StatusServiceUnavailable))
		got := f.order(t, "x", false)
		g.Expect(c.runsOfRepeated()).To(gomega.Equal(1))
		g.Expect(got).To(gomega.Equal(http.StatusOK))
	})
}

// TestRefusalIsNoProofForARequestWithoutAnID guards against a late copy of a rejected status check
// that is taken for the response to a request without an ID.
func TestRefusalIsNoProofForARequestWithoutAnID(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	carried, runs := make(map[net.Conn]int), 0
	s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		mu.Lock()
		carried[conn]++
		n := carried[conn]
		if len(req.Header["Request-Id"]) == 0 {
			runs++
		}
		mu.Unlock()
		if n > 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nInstance-Id: s1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nUpstream-Signature: sig\r\nContent-Length: 5\r\n")
		if id := req.Header.Get("Request-Id"); id != "" {
			_, _ = io.WriteString(conn, "Request-Id: "+id+"\r\n")
		}
		_, _ = io.WriteString(conn, "\r\nwhole")
	})
	f := newFixture(t, s)
	resp, _ := f.call(t, http.MethodPost, "/order/1", "x")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	for range 3 {
		resp, _ = f.callWith(t, http.MethodPost, "/order/1", "x", http.Header{"Request-Id": nil})
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	mu.Lock()
	defer mu.Unlock()
	g.Expect(runs).To(gomega.Equal(3))
}
