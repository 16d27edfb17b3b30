package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
	"github.com/pomelolock/pomelolock/outcome"
)

// testMalformed sends orders to servers that answer them with the given responses on a connection that
// they keep open, and expects errors that promise nothing, and a new connection for the next request.
func testMalformed(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, response := range responses {
		for _, warm := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, warm %v", name, warm), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				var misused atomic.Int64
				bed := newRawTestbed(t, func(conn net.Conn) {
					reader := bufio.NewReader(conn)
					for malformed := false; ; {
						req, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						if malformed {
							misused.Add(1)
						}
						_, _ = io.Copy(io.Discard, req.Body)
						id := req.Header.Get(outcome.HeaderRequestID)
						if malformed = req.URL.Path == "/order"; malformed {
							_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", id))
							continue
						}
						respond(conn, id, faultNone)
					}
				})
				if warm {
					g.Expect(bed.send(g, http.MethodGet, "/lookup", "first", "", "").status).To(gomega.Equal(http.StatusOK))
				}
				began := time.Now()
				got := bed.send(g, http.MethodPost, "/order", "own", "", "x")
				g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
				g.Expect(got.outcome).To(gomega.Equal(string(outcome.Unknown)))
				g.Expect(got.body).NotTo(gomega.ContainSubstring("of the server"))
				g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 4*time.Second))
				g.Expect(bed.send(g, http.MethodGet, "/lookup", "next", "", "").status).To(gomega.Equal(http.StatusOK))
				g.Expect(misused.Load()).To(gomega.BeZero())
			})
		}
	}
}

// TestResponseWithMalformedStatusIsNotPassedOn guards against callers whose connection ends without an
// answer, and against bytes behind a response with the status 000 that are taken for the next one.
func TestResponseWithMalformedStatusIsNotPassedOn(t *testing.T) {
	testMalformed(t, rawserver.MalformedStatus(outcome.HeaderRequestID+": ID\r\n", "of the server"))
}

// TestResponseWithMalformedFieldIsNotPassedOn guards against callers who get a response in whose head the
// name of a field is none.
func TestResponseWithMalformedFieldIsNotPassedOn(t *testing.T) {
	testMalformed(t, rawserver.MalformedFields(outcome.HeaderRequestID+": ID\r\n", "of the server"))
}
