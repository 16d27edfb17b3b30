package forward_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/forward"
)

// TestRefusalWithAnEndlessBodyIsRetried guards against a caller that waits until its deadline for the
// end of a body that nobody reads, although the head of the answer says that the request did not
// run.
func TestRefusalWithAnEndlessBodyIsRetried(t *testing.T) {
	const pause = 20 * time.Millisecond
	trickle := func(conn net.Conn, req *http.Request) {
		_, err := io.WriteString(conn, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: "+req.Header.Get("Request-Id")+"\r\n\r\n")
		for err == nil {
			_, err = conn.Write([]byte("x"))
			time.Sleep(pause)
		}
	}
	t.Run("by a server", func(t *testing.T) {
		g := gomega.NewWithT(t)
		refusing := startServer(t, "s1", trickle)
		f := newFixture(t, refusing, startServer(t, "s2", ok))
		for refusing.arrivals() == 0 {
			resp, body := f.call(t, http.MethodGet, "/order/", "")
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			g.Expect(body).To(gomega.Equal("whole"))
		}
	})
	t.Run("by a peer", func(t *testing.T) {
		g := gomega.NewWithT(t)
		refusing := startServer(t, "peer", func(conn net.Conn, req *http.Request) {
			_, err := io.WriteString(conn, "HTTP/1.1 503 X\r\nPomelolock-Outcome: not-run\r\nRequest-Id: "+req.Header.Get("Request-Id")+"\r\n\r\n")
			for err == nil {
				_, err = conn.Write([]byte("x"))
				time.Sleep(pause)
			}
		})
		f := cutOff(t, forward.Peer{ID: "peer", Address: refusing.address})
		resp, _ := f.call(t, http.MethodGet, "/order/", "")
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(refusing.arrivals()).To(gomega.Equal(1))
	})
}

// TestEndlessAnswersOfPeersAreBounded guards against a faulty peer that fills the memory, or holds a
// caller past its deadline, with bytes that don't end.
func TestEndlessAnswersOfPeersAreBounded(t *testing.T) {
	text := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct{ begin, unit string }{
		"before a status line": {"", text},
		"in a header":          {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nOwn: ", text},
		"in many headers":      {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n", strings.Repeat("Own: 1\r\n", 1<<10)},
		"in an error":          {"HTTP/1.1 503 X\r\nRequest-Id: ID\r\nPomelolock-Outcome: not-run\r\n\r\n", text},
		"of another request":   {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + text + "\r\n"},
		"in a trailer":         {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOwn: ", text},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			peer := startServer(t, "peer", endlessly(c.begin, c.unit))
			f := cutOff(t, forward.Peer{ID: "peer", Address: peer.address})
			g.Expect(allocated(func() {
				resp, _ := f.call(t, http.MethodGet, "/order/", "")
				g.Expect(resp.StatusCode).To(gomega.BeNumerically(">=", http.StatusInternalServerError))
			})).To(gomega.BeNumerically("<", maxAllocated))
			g.Expect(peer.arrivals()).To(gomega.Equal(1))
		})
	}
}
