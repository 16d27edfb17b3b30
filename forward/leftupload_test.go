package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A server must not be kept at an upload until its deadline because the caller left in the middle of a
// body that is passed on while it is read.
func TestCallerThatLeavesInALongBodyEndsItsRequest(t *testing.T) {
	for name, announced := range map[string]int{"with a length": 4 << 20, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			reading, ended := make(chan struct{}), make(chan struct{})
			f := newFixture(t, startRawServer(t, "s1", func(conn net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				close(reading)
				_, _ = io.Copy(io.Discard, req.Body)
				close(ended)
			}))
			conn, _ := f.dialCaller(t)
			sendHead(t, conn, announced, 10*time.Second)
			part := strings.Repeat("x", 2<<20)
			if announced < 0 {
				part = "200000\r\n" + part + "\r\n"
			}
			_, err := io.WriteString(conn, part)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(reading, 2*time.Second).Should(gomega.BeClosed())
			conn.Close()
			g.Eventually(ended, time.Second).Should(gomega.BeClosed())
		})
	}
}
