package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A refusal whose short body follows its head by a delayed acknowledgement (40 ms) must not cost the
// connection each time: servers that write head and body in two segments refuse most when they are
// full, and new connections are dear then.
func TestRefusalWithALateShortBodyKeepsTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n%s\r\nContent-Length: 4\r\n\r\n", req.Header.Get("Request-Id"), signed)
		time.Sleep(40 * time.Millisecond)
		_, _ = io.WriteString(conn, "busy")
	}))
	for range 10 {
		resp, _ := f.call(t, http.MethodGet, "/order/1", "")
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	t.Logf("opened %d, reused %d", f.pool.Opened.Load(), f.pool.Reused.Load())
	g.Expect(f.pool.Opened.Load()).To(gomega.BeNumerically("<=", 2))
}
