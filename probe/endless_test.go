package probe

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// unlimited grants all probes.
type unlimited struct{}

func (unlimited) TryAcquire(int) bool { return true }

// TestEndlessAnswersOfProbesAreBounded guards against a faulty server that fills the memory through
// a health probe with bytes that are no answer, or holds the probe beyond its time.
func TestEndlessAnswersOfProbesAreBounded(t *testing.T) {
	const maxAllocated = 4 << 20
	text := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct{ begin, unit string }{
		"before a status line": {"", text},
		"in a status line":     {"HTTP/1.1 200 ", text},
		"in a header":          {"HTTP/1.1 200 OK\r\nOwn: ", text},
		"in many headers":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("Own: 1\r\n", 1<<10)},
		"in interim answers":   {"", "HTTP/1.1 103 Early Hints\r\nOwn: 1\r\n\r\n"},
		"in a body":            {"HTTP/1.1 200 OK\r\n\r\n", text},
		"in a chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;own=", text},
		"in a trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOwn: ", text},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer listener.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, err = http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = io.WriteString(conn, c.begin)
				}
				for data := []byte(c.unit); err == nil; {
					_, err = conn.Write(data)
				}
			}()
			p := NewProber(ProberOptions{Budget: unlimited{}, Report: func(Result) {}, Timeout: 2 * time.Second})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			result := p.get(t.Context(), listener.Addr().String())
			runtime.ReadMemStats(&after)
			g.Eventually(ended).WithTimeout(2*time.Second).Should(gomega.BeClosed(), "the connection is closed")
			g.Expect(result.Answered).To(gomega.Equal(name == "in a body"))
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", maxAllocated))
		})
	}
}
