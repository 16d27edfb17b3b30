package forward_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/readings"
)

// TestCallerOfARejectedRequestReturnsAtOnce guards against callers who wait some hundred
// milliseconds, and miss their target, because servers with free slots rejected their request.
// If the servers are full, coming back at once would only add to the load.
func TestCallerOfARejectedRequestReturnsAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		load     string
		min, max float64
	}{
		"free slots": {"1,0,6,100", 0.005, 0.025},
		"full":       {"6,2,6,100", 0.150, 0.500},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			reject := func(conn net.Conn, req *http.Request) {
				respond(conn, req, http.StatusServiceUnavailable, "", "Not-Executed: 1", "Upstream-Load: "+test.load)
			}
			f := newFixture(t, startServer(t, "s1", reject), startServer(t, "s2", reject))
			resp, _ := f.call(t, http.MethodGet, "/look/", "")
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(seconds).To(gomega.And(gomega.BeNumerically(">=", test.min), gomega.BeNumerically("<=", test.max)))
		})
	}
}

// TestCallerOfARejectedRequestWaitsWithoutRoomElsewhere guards against callers who return at once
// to a service whose other servers are full.
func TestCallerOfARejectedRequestWaitsWithoutRoomElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		respond(conn, req, http.StatusServiceUnavailable, "", "Not-Executed: 1", "Upstream-Load: 1,0,6,100")
	}), startServer(t, "s2", ok))
	f.board.Receive(readings.Reading{
		Server: readings.KeyOf("s2"), HasReport: true, At: time.Now().Add(time.Hour), Report: readings.Report{Running: 6, Slots: 6, SlowdownPercent: 100},
	})
	resp, _ := f.call(t, http.MethodGet, "/look/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(seconds).To(gomega.BeNumerically(">=", 0.15))
}
