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

// A caller of HTTP/1.0 that has left must not keep its request at a server until the deadline.
func TestRequestOfAnHTTP10CallerThatLeftIsCancelled(t *testing.T) {
	g := gomega.NewWithT(t)
	begun := make(chan struct{}, 4)
	f := newFixture(t, startServer(t, "s1", func(conn net.Conn, _ *http.Request) {
		begun <- struct{}{}
		_, _ = io.Copy(io.Discard, conn)
	}))
	conn, _ := f.dialCaller(t)
	_, err := fmt.Fprintf(conn, "GET /order/1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nRequest-Id: r%d\r\nDeadline-Ms: 8000\r\n\r\n", sequence.Add(1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(begun).Should(gomega.Receive())
	conn.Close()
	g.Eventually(func() int64 { return f.forwarder.Stats().InFlight }, 1*time.Second).Should(gomega.BeZero())
}

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
