package forward_test

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

	"github.com/pomelolock/pomelolock/forward"
	"github.com/pomelolock/pomelolock/internal/rawserver"
)

const responseFields = "Request-Id: ID\r\nUpstream-Signature: sig\r\n"

// malformedServer answers orders with response, in which ID stands for the ID of the request, and other
// requests in a sound way.
type malformedServer struct {
	response string
	// pace is the pause after each byte; 0 if the response is written at once.
	pace time.Duration
	// keep is how long the connection stays open after it.
	keep time.Duration
	// conns counts the connections, misused the requests on one that has carried the response.
	conns, misused atomic.Int64
}

func (s *malformedServer) serve(conn net.Conn) {
	s.conns.Add(1)
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	for ; err == nil && strings.HasPrefix(req.URL.Path, "/look/"); req, err = http.ReadRequest(reader) {
		ok(conn, req)
	}
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	text := strings.ReplaceAll(s.response, "ID", req.Header.Get("Request-Id"))
	step := len(text)
	if s.pace > 0 {
		step = 1
	}
	for ; text != ""; text = text[step:] {
		_, _ = io.WriteString(conn, text[:step])
		time.Sleep(s.pace)
	}
	_ = conn.SetReadDeadline(time.Now().Add(s.keep))
	if _, err := http.ReadRequest(reader); err == nil {
		s.misused.Add(1)
	}
}

// testMalformed sends orders to servers that answer them with the given responses, and expects errors that
// promise nothing, and connections that are closed.
func testMalformed(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, response := range responses {
		for how, s := range map[string]struct{ pace, keep time.Duration }{
			"whole": {}, "byte by byte": {pace: 50 * time.Microsecond}, "whole, connection kept": {keep: 3 * time.Second},
		} {
			for _, via := range []string{"server", "warm server", "peer"} {
				t.Run(name+", "+how+", "+via, func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					server := &malformedServer{response: response, pace: s.pace, keep: s.keep}
					raw := startRawServer(t, "s1", server.serve)
					f := newFixture(t, raw)
					if via == "peer" {
						f = cutOff(t, forward.Peer{ID: "peer", Address: raw.address})
					}
					if via == "warm server" {
						resp, _ := f.call(t, http.MethodGet, "/look/", "")
						g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
					}
					began := time.Now()
					resp, body := f.call(t, http.MethodPost, "/order/", "x")
					g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway), "%q", body)
					g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 1500*time.Millisecond))
					g.Expect(resp.Header.Get("Upstream-Signature")).To(gomega.BeEmpty())
					g.Expect(body).NotTo(gomega.ContainSubstring("of the server"))
					id := resp.Header.Get("Request-Id")
					g.Expect(f.logs.String()).To(gomega.MatchRegexp(`"attempt failed" request=%s .*not_run=false .*error="serverconn: respcheck: malformed response head, line [0-9]+: `, id))
					g.Expect(f.quarantine.lost).To(gomega.BeEmpty())
					resp, _ = f.call(t, http.MethodGet, "/look/", "")
					g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
					g.Expect(server.misused.Load()).To(gomega.BeZero())
					g.Expect(server.conns.Load()).To(gomega.BeEquivalentTo(2))
				})
			}
		}
	}
}

// TestResponseWithMalformedStatusIsNotPassedOn guards against callers who get a response whose status is
// 000 or otherwise none, or bytes behind it as the response to their request.
func TestResponseWithMalformedStatusIsNotPassedOn(t *testing.T) {
	testMalformed(t, rawserver.MalformedStatus(responseFields, "of the server"))
}

// TestResponseWithMalformedFieldIsNotPassedOn guards against callers who get a response in whose head the
// name of a field is none: with that line, or with a body that is not the server's.
func TestResponseWithMalformedFieldIsNotPassedOn(t *testing.T) {
	testMalformed(t, rawserver.MalformedFields(responseFields, "of the server"))
}

// TestRepeatableRequestWithAMalformedResponseGoesToAnotherServer guards against a caller who gets an error
// although another server may run the request.
func TestRepeatableRequestWithAMalformedResponseGoesToAnotherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	var arrived atomic.Int64
	handle := func(conn net.Conn, req *http.Request) {
		if arrived.Add(1) > 1 {
			ok(conn, req)
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 000 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Request-Id"))
	}
	f := newFixture(t, startServer(t, "s1", handle), startServer(t, "s2", handle))
	resp, body := f.call(t, http.MethodGet, "/look/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("whole"))
	g.Expect(arrived.Load()).To(gomega.BeEquivalentTo(2))
}
