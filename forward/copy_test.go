package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestLateCopyOfARefusalIsNoProof guards against a request that is answered "not run", or sent to
// a second server, while the first one runs it: the server writes the refusal of an earlier
// request or status check once more, on the connection that carries the request now.
func TestLateCopyOfARefusalIsNoProof(t *testing.T) {
	refusals := map[string]string{
		"of a request with its ID":    "HTTP/1.1 503 X\r\nRequest-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"of a request without an ID":  "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"of a status check":           "HTTP/1.1 503 X\r\nInstance-Id: s1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"for another server":          "HTTP/1.1 421 X\r\nInstance-Id: s0\r\nContent-Length: 0\r\n\r\n",
		"for too many requests":       "HTTP/1.1 429 X\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nbye",
		"of a request without a body": "HTTP/1.1 408 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, refusal := range refusals {
		for _, late := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", late), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				var mu sync.Mutex
				carried, orders := make(map[net.Conn]int), 0
				handle := func(conn net.Conn, req *http.Request) {
					mu.Lock()
					carried[conn]++
					n := carried[conn]
					if req.Method == http.MethodPost {
						orders++
					}
					mu.Unlock()
					if n > 1 {
						time.Sleep(late)
						_, _ = io.WriteString(conn, refusal)
						time.Sleep(20 * time.Millisecond)
					}
					ok(conn, req)
				}
				first, second := startServer(t, "s1", handle), startServer(t, "s2", handle)
				f := newFixture(t, first, second)
				for range 6 {
					resp, body := f.call(t, http.MethodPost, "/order/1", "x")
					g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
					g.Expect(body).To(gomega.Equal("whole"))
				}
				mu.Lock()
				defer mu.Unlock()
				g.Expect(orders).To(gomega.Equal(6), "each order at one server")
			})
		}
	}
}

// TestRefusalWithoutIDOnANewConnectionIsProof guards against callers that may not come back
// although a server has turned their request away before it read it.
func TestRefusalWithoutIDOnANewConnectionIsProof(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		conn.Close()
	})
	f := newFixture(t, s)
	resp, _ := f.call(t, http.MethodPost, "/order/1", "x")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
}
