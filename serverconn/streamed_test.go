package serverconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// chunked hides the type of a reader, so that its content is sent in chunks.
type chunked struct{ io.Reader }

// TestEarlyResponseToALongBodyInChunks guards against a refusal that is lost, and a caller that waits
// until the deadline for it: the server answers before it has read a long body without a length, and
// the request is written to its end before the response is read.
func TestEarlyResponseToALongBodyInChunks(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 16 << 20
	address := backend(t, func(conn net.Conn) {
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(3 * time.Second)
	})
	pool := NewPool()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	conn, err := pool.GetFor(ctx, address, 0, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req := request(http.MethodPost, "")
	req.Body, req.ContentLength = io.NopCloser(chunked{strings.NewReader(strings.Repeat("x", size))}), -1
	resp, err := conn.RoundTrip(ctx, req, withID("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Header.Get("Not-Executed")).To(gomega.Equal("1"))
	Discard(resp)
}

// TestCopyWithABodyBeforeTheResponseToHead guards against a HEAD request whose response is lost: the
// body of the copy that is passed over is taken for the next response.
func TestCopyWithABodyBeforeTheResponseToHead(t *testing.T) {
	g := gomega.NewWithT(t)
	address := backend(t, respond(okResponse("1", "one"),
		okResponse("1", "one")+"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 3\r\n\r\n"))
	pool := NewPool()
	g.Expect(do(t, pool, address, "1")).To(gomega.Equal("one"))
	conn, err := pool.GetFor(t.Context(), address, 0, "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := conn.RoundTrip(t.Context(), request(http.MethodHead, ""), withID("2"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Header.Get("Request-Id")).To(gomega.Equal("2"))
	Discard(resp)
}

// TestTextInABodyIsNoProof guards against a proof that a caller can forge: a copy that is passed over
// is the response to GET, the request that the connection carries now is HEAD, and the body of the
// copy, which an earlier caller chose, reads like a refusal.
func TestTextInABodyIsNoProof(t *testing.T) {
	g := gomega.NewWithT(t)
	forged := "HTTP/1.1 503 X\r\nRequest-Id: 2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	address := backend(t, respond(okResponse("1", forged),
		okResponse("1", forged)+"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 3\r\n\r\n"))
	pool := NewPool()
	g.Expect(do(t, pool, address, "1")).To(gomega.Equal(forged))
	conn, err := pool.GetFor(t.Context(), address, 0, "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := conn.RoundTrip(t.Context(), request(http.MethodHead, ""), withID("2"))
	if err == nil {
		g.Expect(resp.Header.Get("Not-Executed")).To(gomega.BeEmpty())
		Discard(resp)
	}
}

// TestLengthOfAResponseToHeadSwallowsNothing guards against the same where the copy that is passed over
// is the response to HEAD: as many bytes as its Content-Length says are taken from the response to the
// order, and the body of that reads like a refusal.
func TestLengthOfAResponseToHeadSwallowsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	body := "HTTP/1.1 503 X\r\nRequest-Id: 2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	own := okResponse("2", body)
	toHead := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n", len(own)-len(body))
	address := backend(t, respond(toHead, toHead+own))
	pool := NewPool()
	conn, err := pool.GetFor(t.Context(), address, 0, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := conn.RoundTrip(t.Context(), request(http.MethodHead, ""), withID("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	Discard(resp)
	conn, err = pool.GetFor(t.Context(), address, 0, "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err = conn.RoundTrip(t.Context(), request(http.MethodPost, "x"), withID("2"))
	if err == nil {
		g.Expect(resp.Header.Get("Not-Executed")).To(gomega.BeEmpty())
		Discard(resp)
	}
}
