package callerconn

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestRequestBehindAClosingResponseIsNotServed guards against a request that runs although its caller
// may count it as not read: it was sent behind one whose response closes the connection, because
// HTTP/1.0 has no other end for a body without a length.
func TestRequestBehindAClosingResponseIsNotServed(t *testing.T) {
	g := gomega.NewWithT(t)
	var served atomic.Int64
	second := make(chan struct{})
	_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if r.URL.Path == "/2" {
			close(second)
		} else {
			select {
			case <-second:
			case <-time.After(200 * time.Millisecond):
			}
		}
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	keep := func(path string) string {
		return "GET " + path + " HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"
	}
	send(t, conn, keep("/1")+keep("/2"))
	all, err := io.ReadAll(reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	head, body, _ := strings.Cut(string(all), "\r\n\r\n")
	g.Expect(head).To(gomega.ContainSubstring("Connection: close"))
	g.Expect(body).To(gomega.Equal("/1"))
	g.Expect(served.Load()).To(gomega.Equal(int64(1)), "requests served")
}
