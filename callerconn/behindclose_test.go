package callerconn

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// TestBytesBehindAClosingRequestAreDiscarded guards against a response that is destroyed by a reset: the
// connection is closed while its caller still sends behind a request with Connection: close, and has not
// read the whole response.
func TestBytesBehindAClosingRequestAreDiscarded(t *testing.T) {
	const closing = "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	for name, c := range map[string]struct {
		first     string
		responses int
		behind    string
	}{
		"another request":             {closing, 1, get("/b")},
		"of HTTP/1.0":                 {"GET /a HTTP/1.0\r\nHost: x\r\n\r\n", 1, get("/b")},
		"behind a body":               {"PUT /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", 1, "\r\n"},
		"behind another request":      {get("/first") + closing, 2, get("/b")},
		"after bytes that were there": {closing + get("/b"), 1, get("/c")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := NewServer(Options{
					Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						// What follows the request is read by the time of the response.
						time.Sleep(50 * time.Millisecond)
						w.Header().Set("Content-Length", "1")
						_, _ = io.WriteString(w, "x")
					}),
					Limits: func() Limits {
						return Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second, HeaderBytes: headerBytes}
					},
					Logger: slog.New(slog.DiscardHandler),
				})
				raw, caller := net.Pipe()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					newConn(s, raw).serve()
				}()
				send(t, caller, c.first)
				reader := bufio.NewReader(caller)
				for range c.responses {
					_, body, err := read(t, reader)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(body).To(gomega.Equal("x"))
				}
				for range 4 {
					time.Sleep(lingerTimeout / 2)
					_, err := io.WriteString(caller, c.behind)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				began := time.Now()
				<-ended
				g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", 2*lingerTimeout), "a caller that sends no more")
				caller.Close()
			})
		})
	}
}
