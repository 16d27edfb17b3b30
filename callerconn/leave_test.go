package callerconn

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A caller of HTTP/1.0 that keeps its connection and leaves has to cancel its request, like one of
// HTTP/1.1. Otherwise the request keeps its place, its memory and a server until its deadline.
func TestDisconnectOfAnHTTP10CallerCancelsItsRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	cancelled := closeDuring(t, "GET / HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n", func(*http.Request) {})
	g.Eventually(cancelled, 2*time.Second).Should(gomega.BeClosed())
}

// closeDuring sends a request, closes the connection once begin has returned in its handler, and returns
// a channel that is closed when the request is cancelled.
func closeDuring(t *testing.T, request string, begin func(*http.Request)) (cancelled <-chan struct{}) {
	t.Helper()
	begun, ended, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	_, conn, _ := start(t, func(_ http.ResponseWriter, r *http.Request) {
		begin(r)
		close(begun)
		select {
		case <-r.Context().Done():
			close(ended)
		case <-release:
		}
	})
	send(t, conn, request)
	gomega.NewWithT(t).Eventually(begun).Should(gomega.BeClosed())
	conn.Close()
	return ended
}

// A handler that sets a write deadline before its response, as forward does, has to be bounded by it
// also if a response in front of it is still being written. Otherwise a caller that reads nothing
// keeps the handler, and all memory charged to it, for good.
func TestWriteDeadlineBehindAnotherResponseIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, ended := make(chan struct{}), make(chan error, 1)
	_, conn, _ := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a" {
			<-begun
			time.Sleep(100 * time.Millisecond)
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(400 * time.Millisecond))
		close(begun)
		w.WriteHeader(http.StatusOK)
		_, err := w.Write(make([]byte, 32<<20))
		ended <- err
	})
	go func() { _, _ = io.WriteString(conn, get("/a")+get("/b")) }()
	g.Eventually(ended, 3*time.Second).Should(gomega.Receive(gomega.HaveOccurred()))
}

// awaitConn waits until the only connection is in the given state.
func awaitConn(g *gomega.WithT, s *Server, state func(c *conn) bool) {
	g.Eventually(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return state(c)
		}
		return false
	}).Should(gomega.BeTrue())
}

// finishing reports whether the connection discards what follows the last request.
func finishing(c *conn) bool { return c.finishing }

// awaitingNext reports whether the connection waits for another request while one is in flight.
func awaitingNext(c *conn) bool { return c.awaiting && c.pending == 1 }

// postBehind is a request with more bytes than the head of a request may have.
var postBehind = fmt.Sprintf("POST /behind HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 2*headerBytes, strings.Repeat("x", 2*headerBytes))

// A request at a server at work must not be cancelled because its caller sends more behind it than the
// head of a request may have, while the connection drains.
func TestShutdownDiscardsWhatFollowsTheLastRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, release := make(chan struct{}), make(chan struct{})
	s, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		select {
		case <-r.Context().Done():
		case <-release:
			_, _ = io.WriteString(w, "whole")
		}
	})
	send(t, conn, get("/last"))
	g.Eventually(begun).Should(gomega.BeClosed())
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	awaitConn(g, s, finishing)
	send(t, conn, postBehind)
	time.Sleep(50 * time.Millisecond)
	close(release)
	resp, body, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("whole"))
	g.Expect(resp.Close).To(gomega.BeTrue())
	conn.Close()
	g.Eventually(ended, 2*time.Second).Should(gomega.Receive(gomega.BeNil()))
}

// The last response of a stop must not be destroyed by a reset because its caller, which has not read all
// of it, sends more behind its request than the head of a request may have.
func TestLastResponseOfAStopSurvivesWhatFollows(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	text := strings.Repeat("y", 1<<20)
	s, conn, reader := start(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, text)
	})
	s.Leave()
	send(t, conn, get("/last"))
	// The connection waits for the next request when the response is written.
	awaitConn(g, s, awaitingNext)
	close(release)
	awaitConn(g, s, finishing)
	send(t, conn, postBehind)
	time.Sleep(50 * time.Millisecond)
	_, body, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.HaveLen(len(text)))
}
