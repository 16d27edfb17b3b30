package callerconn

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A complete response must not be lost, and its connection cut, because its write deadline passed while
// a response in front of it was awaited.
func TestWriteDeadlineBeginsWithTheTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	begun := make(chan struct{})
	_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a" {
			<-begun
			time.Sleep(400 * time.Millisecond)
		} else {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			close(begun)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	send(t, conn, get("/a")+get("/b"))
	for _, path := range []string{"/a", "/b"} {
		_, body, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal(path))
	}
}
