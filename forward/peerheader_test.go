package forward_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/forward"
)

// TestOutcomeHeaderOfAServerIsNotThatOfAPeer guards against a caller who gets an error of a peer in
// place of the response of the server that ran the order: the response bears the header by which peers
// mark their own errors, and counts as not run.
func TestOutcomeHeaderOfAServerIsNotThatOfAPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		respond(conn, req, http.StatusOK, "whole", signed, "Pomelolock-Outcome: not-run")
	})
	f := cutOff(t, newFixture(t, s).asPeer(t, "peer"))
	_, body := f.call(t, http.MethodPut, "/order/1", "payload")
	g.Expect(s.arrivals()).To(gomega.Equal(1))
	g.Expect(body).To(gomega.Equal("whole"))
}

// TestPromiseOfAPeerCoversItsAttemptsOnly guards against 408, which promises "not run", for a request
// that a server may have run before it was delegated: the peer could not read the delegated request
// in time.
func TestPromiseOfAPeerCoversItsAttemptsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	peer := startServer(t, "peer", func(conn net.Conn, _ *http.Request) {
		// What callerconn writes at the end of its header timeout.
		_, _ = io.WriteString(conn, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		conn.Close()
	})
	// The server in the own data centre is mostly the first choice.
	reached := 0
	for range 20 {
		ran := startServer(t, "s1", reset)
		others := []*server{unreachable(t, "s2"), unreachable(t, "s3")}
		for _, s := range others {
			s.dataCentre = "b"
		}
		f := newFixture(t, append(others, ran)...)
		f.peers = []forward.Peer{{ID: "peer", Address: peer.address}}
		resp, _ := f.call(t, http.MethodGet, "/look/1", "")
		if ran.arrivals() > 0 {
			reached++
			g.Expect(resp.StatusCode).NotTo(gomega.Equal(http.StatusRequestTimeout))
		}
	}
	g.Expect(reached).To(gomega.BeNumerically(">", 0), "requests that reached the server before the peer")
}
