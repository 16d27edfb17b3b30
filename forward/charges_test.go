package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/memory"
)

// The announced length of a response to HEAD must neither be charged nor allocated: no body follows.
func TestResponseToHeadTakesNoMemoryForItsLength(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%s\r\nContent-Length: 200000\r\n\r\n", req.Header.Get("Request-Id"), signed)
	}))
	f.memory.Add(memory.Requests, testMemory-100<<10)
	resp, _ := f.call(t, http.MethodHead, "/order/1", "")
	f.memory.Add(memory.Requests, -(testMemory - 100<<10))
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(f.memory.Rejected(memory.BufferedResponse)).To(gomega.BeZero())
}

// A refusal for memory must not cost the connection of a caller whose short body has arrived: each
// refusal would be followed by a new connection while the instance has most to do.
func TestRefusalForMemoryKeepsTheConnectionOfAShortUpload(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, startServer(t, "s1", ok))
	conn, reader := f.dialCaller(t)
	f.memory.Add(memory.Requests, testMemory*3/4)
	defer f.memory.Add(memory.Requests, -testMemory*3/4)
	_, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline-Ms: 1500\r\nContent-Length: 20000\r\n\r\n%s",
		sequence.Add(1), strings.Repeat("x", 20_000))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Close).To(gomega.BeFalse())
}

// The memory of a server error that a retry has replaced must be returned with it: the request needs
// it for the response that is passed on.
func TestReplacedResponseReturnsItsMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	body := strings.Repeat("x", 200_000)
	retried, proceed := make(chan struct{}), make(chan struct{})
	first := true
	handle := func(conn net.Conn, req *http.Request) {
		if first {
			first = false
			respond(conn, req, http.StatusInternalServerError, body, signed)
			return
		}
		close(retried)
		<-proceed
		ok(conn, req)
	}
	f := newFixture(t, startServer(t, "s1", handle), startServer(t, "s2", handle))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.call(t, http.MethodGet, "/look/1", "")
	}()
	select {
	case <-retried:
	case <-time.After(time.Second):
		t.Fatal("no retry")
	}
	used := f.memory.Used(memory.Responses)
	close(proceed)
	<-ended
	g.Expect(used).To(gomega.BeZero())
}
