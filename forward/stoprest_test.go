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

// TestStopEndsTheBufferingOfALongResponse guards against a caller whose connection is cut at the end
// of a planned stop: the response to it is still being buffered, because a request behind it was
// passed on, and nothing of it has been sent.
func TestStopEndsTheBufferingOfALongResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, behind, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	handle := func(conn net.Conn, req *http.Request) {
		if req.URL.Path == "/look/2" {
			close(behind)
			ok(conn, req)
			return
		}
		<-behind
		respondLong(conn, req, http.StatusOK)
		close(begun)
		<-release
	}
	f := newFixture(t, startServer(t, "s1", handle), startServer(t, "s2", handle))
	conn, reader := f.dialCaller(t)
	for n := range 2 {
		_, err := fmt.Fprintf(conn, "GET /look/%d HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline-Ms: 1900\r\n\r\n", n+1, sequence.Add(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(begun).Should(gomega.BeClosed())
	// The head has been read by then, and the body is being buffered.
	time.Sleep(200 * time.Millisecond)
	end := time.Now()
	f.forwarder.Leave(end, end)
	f.forwarder.End()
	resp, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway), string(body))
	g.Expect(string(body)).To(gomega.HavePrefix("stopping:"))
	g.Expect(f.logs.String()).To(gomega.ContainSubstring("cut by the stop"))
}
