package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

// newRawTestbed starts a proxy in front of one server that passes each connection to serve.
func newRawTestbed(t *testing.T, serve func(conn net.Conn)) *testbed {
	t.Helper()
	address := rawserver.Start(t, serve)
	return newTestbed(t, func(doc *table.Document) {
		doc.Services[0].MaxBodyBytes = 64 << 20
		doc.Servers[0].Address = address
	}, always(faultNone))
}

// TestPartOfAResponseToAnUploadIsNotPassedOnAsWhole guards against a success with a part of the body: the
// server answers an upload without a length, and resets the connection while the upload is being
// written.
func TestPartOfAResponseToAnUploadIsNotPassedOnAsWhole(t *testing.T) {
	for _, part := range []int{0, 5000, 2 << 20} {
		for _, path := range []string{"/order", "/lookup"} {
			t.Run(fmt.Sprintf("%s, body of %d", path, part), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				bed := newRawTestbed(t, func(conn net.Conn) {
					req, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, req.Body, 10_000)
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", outcome.HeaderRequestID,
						req.Header.Get(outcome.HeaderRequestID), strings.Repeat("x", part))
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				})
				// A caller that reads the response although it can't write all of its upload.
				conn, err := net.Dial("tcp", bed.front.Listener.Addr().String())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer conn.Close()
				go func() {
					fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: own\r\nContent-Length: %d\r\n\r\n", path, outcome.HeaderRequestID, 16<<20)
					_, _ = io.WriteString(conn, strings.Repeat("x", 16<<20))
				}()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway))
				g.Expect(resp.Header.Get(outcome.HeaderOutcome)).To(gomega.Equal(string(outcome.Unknown)))
			})
		}
	}
}
