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

// A request that was held back behind a long response beyond its deadline was not sent to any server,
// so its caller must be told that it did not run.
func TestHeldRequestWhoseTimeHasPassedIsRefusedAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	ran := make(chan struct{}, 8)
	long := func(conn net.Conn, req *http.Request) {
		if req.URL.Path == "/look/2" {
			ran <- struct{}{}
			ok(conn, req)
			return
		}
		const length = 600_000
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n", req.Header.Get("Request-Id"), signed, length)
		_, _ = conn.Write(make([]byte, length/2))
		time.Sleep(500 * time.Millisecond)
		_, _ = conn.Write(make([]byte, length/2))
	}
	f := newFixture(t, startServer(t, "s1", long), startServer(t, "s2", long))
	conn, reader := f.dialCaller(t)
	request := func(n, ms int) string {
		return fmt.Sprintf("GET /look/%d HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline-Ms: %d\r\n\r\n", n, sequence.Add(1), ms)
	}
	_, err := io.WriteString(conn, request(1, 1900))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(conn, request(2, 200))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, first.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ran).To(gomega.BeEmpty())
	g.Expect(second.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
}
