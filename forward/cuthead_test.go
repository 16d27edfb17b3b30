package forward_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// TestResponseCutInItsHeadIsNotPassedOn guards against a complete response with an empty or a
// short body to a caller whose server stopped at any byte before the end of the response and
// closed the connection.
func TestResponseCutInItsHeadIsNotPassedOn(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nUpstream-Signature: sig\r\nContent-Length: 25\r\n\r\n" + strings.Repeat("x", 25),
		"chunked": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nUpstream-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		// The length is the last field, so that a prefix of it could be taken for a shorter one.
		"no final line break": "HTTP/1.1 200 OK\nUpstream-Signature: sig\nRequest-Id: ID\nContent-Length: 10\n\n0123456789",
		// Without a length, only the head tells whether the response has begun.
		"no length": "HTTP/1.1 200 OK\r\nUpstream-Signature: sig\r\nRequest-Id: ID\r\n\r",
	} {
		for _, how := range []string{"closed", "reset"} {
			t.Run(name+" "+how, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				for missing := 1; missing <= len(response); missing++ {
					var reached atomic.Bool
					s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
						reached.Store(true)
						text := strings.Replace(response, "ID", req.Header.Get("Request-Id"), 1)
						_, _ = io.WriteString(conn, text[:len(text)-missing])
						if how == "reset" {
							reset(conn, req)
						}
						conn.Close()
					})
					f := newFixture(t, s)
					resp, _ := f.call(t, http.MethodPost, "/order/", "x")
					// On a busy machine, a connection may not be opened in time. Such a request has not run.
					for !reached.Load() && resp.StatusCode == http.StatusServiceUnavailable {
						resp, _ = f.call(t, http.MethodPost, "/order/", "x")
					}
					g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway), "without the last %d bytes", missing)
					g.Expect(resp.Header.Get("Upstream-Signature")).To(gomega.BeEmpty())
				}
			})
		}
	}
}
