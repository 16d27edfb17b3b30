package callerconn

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A caller of HTTP/1.0 that keeps its connection and leaves has to cancel its request, like one of
// HTTP/1.1. Otherwise the request keeps its place, its memory and a server until its deadline.
func TestDisconnectOfAnHTTP10CallerCancelsItsRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	cancelled := closeDuring(t, "GET / HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n", func(*http.Request) {})
	g.Eventually(cancelled, 2*time.Second).Should(gomega.BeClosed())
}

// closeDuring sends a request, closes the connection once begin has returned in its handler, and returns
// a channel that is closed when the request is cancelled.
func closeDuring(t *testing.T, request string, begin func(*http.Request)) (cancelled <-chan struct{}) {
	t.Helper()
	begun, ended, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	_, conn, _ := start(t, func(_ http.ResponseWriter, r *http.Request) {
		begin(r)
		close(begun)
		select {
		case <-r.Context().Done():
			close(ended)
		case <-release:
		}
	})
	send(t, conn, request)
	gomega.NewWithT(t).Eventually(begun).Should(gomega.BeClosed())
	conn.Close()
	return ended
}
