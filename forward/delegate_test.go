package forward_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/forward"
)

// unreachable returns a server at whose address nothing listens. Its port is in use until the test ends, so
// that no other server of the test gets it.
func unreachable(t *testing.T, id string) *server {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return &server{id: id, address: "127.0.0.1:" + strconv.Itoa(bound.(*syscall.SockaddrInet4).Port)}
}

// cutOff starts an instance that reaches none of its servers and knows the given peers.
func cutOff(t *testing.T, peers ...forward.Peer) *fixture {
	t.Helper()
	f := newFixture(t, unreachable(t, "s1"), unreachable(t, "s2"), unreachable(t, "s3"))
	f.peers = peers
	return f
}

// asPeer returns the peer as which others know an instance.
func (f *fixture) asPeer(t *testing.T, id string) forward.Peer {
	t.Helper()
	front := httptest.NewServer(f.forwarder.DelegatedHandler())
	t.Cleanup(front.Close)
	return forward.Peer{ID: id, Address: strings.TrimPrefix(front.URL, "http://")}
}

func TestDelegatedRequestRunsOnceAndUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		respond(conn, req, http.StatusCreated, "whole", signed, "Own: 1", "Server-Limit: 500")
	})
	f := cutOff(t, newFixture(t, s).asPeer(t, "peer"))
	resp, body := f.call(t, http.MethodPut, "/order/a%2Fb?q=1;2", "payload")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusCreated))
	g.Expect(body).To(gomega.Equal("whole"))
	g.Expect(resp.Header.Get("Upstream-Signature")).To(gomega.Equal("sig"))
	g.Expect(resp.Header.Get("Own")).To(gomega.Equal("1"))
	g.Expect(s.arrivals()).To(gomega.Equal(1))
	g.Expect(s.arrived[0].RequestURI).To(gomega.Equal("/order/a%2Fb?q=1;2"))
	g.Expect(s.arrived[0].Host).To(gomega.Equal("h"))
	g.Expect(s.bodies[0]).To(gomega.Equal("payload"))
	g.Expect(s.arrived[0].Header.Get("Expect-Instance")).To(gomega.Equal("s1"))
	left, err := strconv.Atoi(s.arrived[0].Header.Get("Deadline-Ms"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(left).To(gomega.And(gomega.BeNumerically("<=", 1500), gomega.BeNumerically(">", 1000)))
	for _, header := range []http.Header{s.arrived[0].Header, resp.Header} {
		for name := range header {
			g.Expect(name).NotTo(gomega.HavePrefix("Pomelolock-"))
		}
	}
}

// TestDelegatedRequestIsNotDelegatedAgain guards against requests that circle among instances
// of which none reaches a server.
func TestDelegatedRequestIsNotDelegatedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := cutOff(t), cutOff(t)
	a.peers = []forward.Peer{b.asPeer(t, "b")}
	b.peers = []forward.Peer{a.asPeer(t, "a")}
	resp, _ := a.call(t, http.MethodGet, "/order/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(a.forwarder.Stats().Delegated).To(gomega.Equal(uint64(1)))
	g.Expect(b.forwarder.Stats().ForPeers).To(gomega.Equal(uint64(1)))
	g.Expect(b.forwarder.Stats().Delegated).To(gomega.BeZero())
}

// TestAnswersOfPeersKeepTheirMeaning guards against "has not run" for a request that may have
// run at a peer, and against an unknown outcome for one that has not.
func TestAnswersOfPeersKeepTheirMeaning(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(net.Conn, *http.Request)
		status int
	}{
		"refused by the server": {func(conn net.Conn, req *http.Request) {
			respond(conn, req, http.StatusServiceUnavailable, "", "Not-Executed: 1")
		}, http.StatusServiceUnavailable},
		"lost at the server": {reset, http.StatusBadGateway},
		"failed by the server": {func(conn net.Conn, req *http.Request) {
			respond(conn, req, http.StatusInternalServerError, "failed", signed)
		}, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := cutOff(t, newFixture(t, startServer(t, "s1", c.handle)).asPeer(t, "peer"))
			resp, _ := f.call(t, http.MethodGet, "/order/", "")
			g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
			g.Expect(resp.Header.Get("Retry-After") != "").To(gomega.Equal(c.status == http.StatusServiceUnavailable))
		})
	}
}

// TestRequestLostAtAPeerIsNotSentToAnother guards against a second run of a request that a
// peer may have run before it was lost.
func TestRequestLostAtAPeerIsNotSentToAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	lost := startServer(t, "lost", reset)
	s := startServer(t, "s1", ok)
	f := cutOff(t, forward.Peer{ID: "lost", Address: lost.address}, newFixture(t, s).asPeer(t, "peer"))
	resp, _ := f.call(t, http.MethodGet, "/order/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(lost.arrivals()).To(gomega.Equal(1))
	g.Expect(s.arrivals()).To(gomega.BeZero())
}

func TestPeerThatIsNotReachedIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", ok)
	f := cutOff(t, forward.Peer{ID: "gone", Address: unreachable(t, "gone").address}, newFixture(t, s).asPeer(t, "peer"))
	resp, _ := f.call(t, http.MethodGet, "/order/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(s.arrivals()).To(gomega.Equal(1))
}

// TestDelegatedRequestKeepsItsAttempts guards against twice as many attempts as the route
// allows, the first half here and the second at the peer.
func TestDelegatedRequestKeepsItsAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	var servers []*server
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		servers = append(servers, startServer(t, id, func(conn net.Conn, req *http.Request) {
			respond(conn, req, http.StatusInternalServerError, "failed", signed)
		}))
	}
	f := cutOff(t, newFixture(t, servers...).asPeer(t, "peer"))
	resp, _ := f.call(t, http.MethodGet, "/look/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
	arrived := 0
	for _, s := range servers {
		arrived += s.arrivals()
	}
	g.Expect(arrived).To(gomega.BeNumerically("<=", 2))
}

func TestCallerThatLeavesEndsADelegatedRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan struct{})
	s := startServer(t, "s1", func(conn net.Conn, _ *http.Request) {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	f := cutOff(t, newFixture(t, s).asPeer(t, "peer"))
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(conn, "GET /order/ HTTP/1.1\r\nHost: h\r\nRequest-Id: left\r\nDeadline-Ms: 1500\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(s.arrivals).WithTimeout(2 * time.Second).Should(gomega.Equal(1))
	conn.Close()
	g.Eventually(ended).WithTimeout(time.Second).Should(gomega.BeClosed())
}

// TestDelegationThatCannotBeHonouredIsRejected guards against requests served by guesses about
// a delegation, or by an older table than the one by which they were accepted.
func TestDelegationThatCannotBeHonouredIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", ok)
	peer := newFixture(t, s).asPeer(t, "peer")
	valid := http.Header{"Pomelolock-Delegated-By": {"a"}, "Pomelolock-Attempts": {"1"}, "Pomelolock-Timeout-Ms": {"500"}, "Pomelolock-Elapsed-Ms": {"0"}, "Pomelolock-Table": {"1"}}
	send := func(header http.Header) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+peer.Address+"/order/", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		req.Host, req.Header = "h", header.Clone()
		req.Header.Set("Request-Id", "r")
		resp, err := http.DefaultTransport.RoundTrip(req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		return resp.StatusCode
	}
	g.Expect(send(valid)).To(gomega.Equal(http.StatusOK))
	for name, value := range map[string]string{
		"Pomelolock-Delegated-By": "", "Pomelolock-Attempts": "0", "Pomelolock-Timeout-Ms": "-1", "Pomelolock-Elapsed-Ms": "soon", "Pomelolock-Table": "",
	} {
		header := valid.Clone()
		header.Set(name, value)
		g.Expect(send(header)).To(gomega.Equal(http.StatusBadRequest), name)
	}
	newer := valid.Clone()
	newer.Set("Pomelolock-Table", "2")
	g.Expect(send(newer)).To(gomega.Equal(http.StatusServiceUnavailable), "the peer has an older table")
	g.Expect(s.arrivals()).To(gomega.Equal(1))
}

// pickPeer returns the first of the peers that is not excepted.
func (f *fixture) pickPeer(except []string) (forward.Peer, bool) {
	for _, p := range f.peers {
		if !slices.Contains(except, p.ID) {
			if f.onPeerChosen != nil {
				f.onPeerChosen()
			}
			return p, true
		}
	}
	return forward.Peer{}, false
}
