package forward_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestEndlessBytesOfAServerAreBounded guards against a server that fills the memory or holds
// a caller past its time with bytes that never become an answer.
func TestEndlessBytesOfAServerAreBounded(t *testing.T) {
	const maxAllocated = 16 << 20
	line := strings.Repeat("x", 16<<10)
	for name, begin := range map[string]string{
		"before a status line":         "",
		"in a status line":             "HTTP/1.1 200 ",
		"in a header":                  "HTTP/1.1 200 OK\r\nOwn: ",
		"in many headers":              "HTTP/1.1 200 OK\r\n",
		"in interim answers":           "HTTP/1.1 100 Continue\r\n\r\n",
		"in a body that is not signed": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\n",
		"in a body of another request": "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nUpstream-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n",
		"in a refusal":                 "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n\r\n",
		"in a chunk size":              "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nUpstream-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n",
		"in a trailer":                 "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nUpstream-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOwn: ",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			unit := line
			switch name {
			case "in many headers":
				unit = strings.Repeat("Own: 1\r\n", 1<<10)
			case "in interim answers":
				unit = begin
			case "in a body of another request":
				unit = "4000\r\n" + line + "\r\n"
			}
			s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
				_, err := io.WriteString(conn, strings.ReplaceAll(begin, "ID", req.Header.Get("Request-Id")))
				for data := []byte(unit); err == nil; {
					_, err = conn.Write(data)
				}
			})
			f := newFixture(t, s)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			resp, _ := f.call(t, http.MethodGet, "/order/", "")
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
			runtime.ReadMemStats(&after)
			g.Expect(resp.StatusCode).NotTo(gomega.Equal(http.StatusOK))
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", maxAllocated))
		})
	}
}
