package forward_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Whatever callers and servers do, the memory of all requests, the connections to servers and the
// goroutines have to be released in the end.
func TestMixOfCallersLeavesNothingBehind(t *testing.T) {
	g := gomega.NewWithT(t)
	handle := func(conn net.Conn, req *http.Request) {
		switch rand.IntN(8) {
		case 0:
			respond(conn, req, http.StatusInternalServerError, strings.Repeat("x", 300_000), signed)
		case 1:
			respondLong(conn, req, http.StatusOK)
			reset(conn, req)
		case 2:
			reset(conn, req)
		case 3:
			time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			respond(conn, req, http.StatusOK, strings.Repeat("x", 700_000), signed)
		case 4:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 304 X\r\nRequest-Id: %s\r\n%s\r\n\r\n", req.Header.Get("Request-Id"), signed)
		default:
			ok(conn, req)
		}
	}
	f := newFixture(t, startServer(t, "s1", handle), startServer(t, "s2", handle))
	conns := make([]net.Conn, 40)
	for n := range conns {
		conns[n], _ = f.dialCaller(t)
	}
	before := runtime.NumGoroutine()
	var wg sync.WaitGroup
	for _, conn := range conns {
		wg.Go(func() {
			defer conn.Close()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			for range 12 {
				method, version, body, framing := "GET", "1.1", "", ""
				switch rand.IntN(7) {
				case 0:
					method = "HEAD"
				case 1:
					version, framing = "1.0", "Connection: keep-alive\r\n"
				case 2:
					method, body = "POST", strings.Repeat("x", rand.IntN(2<<20))
				case 3:
					method, framing = "POST", "Transfer-Encoding: chunked\r\n"
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 100_000, strings.Repeat("x", 100_000))
				}
				if body != "" && framing == "" {
					framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
				}
				path := []string{"look", "order"}[rand.IntN(2)]
				if rand.IntN(20) == 0 {
					body = body[:len(body)/2]
				}
				if _, err := fmt.Fprintf(conn, "%s /%s/1 HTTP/%s\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline-Ms: 1000\r\n%s\r\n%s", method, path, version, sequence.Add(1), framing, body); err != nil {
					return
				}
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	g.Eventually(f.memory.Total, "6s").Should(gomega.BeZero())
	g.Eventually(func() int64 { return f.forwarder.Stats().InFlight }, "3s").Should(gomega.BeZero())
	g.Eventually(runtime.NumGoroutine, "8s").Should(gomega.BeNumerically("<=", before+10))
}
