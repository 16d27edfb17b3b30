package forward_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/readings"
)

// TestServerEvacuatedAfterItWasChosenGetsNothing guards against a request that is sent to an
// evacuated data centre because its server was chosen before: it has to go to another server,
// which counts neither as an attempt nor as a retry.
func TestServerEvacuatedAfterItWasChosenGetsNothing(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		// prepare makes f evacuate the data centre of the first server at some moment
		// after the server was chosen.
		prepare func(t *testing.T, f *fixture, evacuate func())
	}{
		{"connecting", http.MethodPost, "/order/1", "x", evacuateOnDial},
		{"connecting for a repeatable request", http.MethodGet, "/look/1", "", evacuateOnDial},
		{"connecting for a long request", http.MethodPost, "/order/1", strings.Repeat("x", 3<<20), evacuateOnDial},
		{"waiting after the process was stopped", http.MethodPost, "/order/1", "x", func(_ *testing.T, f *fixture, evacuate func()) {
			var calls atomic.Int64
			f.awaitCurrent = func() {
				// The first call precedes the choice.
				if calls.Add(1) == 2 {
					evacuate()
				}
			}
		}},
		{"about to write", http.MethodPost, "/order/1", "x", evacuateBeforeWrite},
		{"about to write a long request", http.MethodPost, "/order/1", strings.Repeat("x", 8<<10), evacuateBeforeWrite},
		{"checking an idle connection", http.MethodPost, "/order/2", "x", func(t *testing.T, f *fixture, evacuate func()) {
			t.Helper()
			f.onCheck.Store(&evacuate)
			f.call(t, http.MethodPost, "/order/1", "x")
			time.Sleep(300 * time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var onCheck *atomic.Pointer[func()]
			handle := func(id string) func(net.Conn, *http.Request) {
				return func(conn net.Conn, req *http.Request) {
					if req.URL.Path != "/health" {
						ok(conn, req)
						return
					}
					if evacuate := onCheck.Load(); evacuate != nil && id == "s1" {
						(*evacuate)()
					}
					respond(conn, req, http.StatusOK, "", "Instance-Id: "+id)
				}
			}
			s1, s2 := startServer(t, "s1", handle("s1")), startServer(t, "s2", handle("s2"))
			s2.dataCentre = "b"
			f := newFixture(t, s1, s2)
			onCheck = &f.onCheck
			// Until then, the other server can't be chosen.
			f.directory.SetEvacuated(1, []string{"b"})
			var evacuated atomic.Bool
			c.prepare(t, f, func() {
				if !evacuated.Swap(true) {
					f.directory.SetEvacuated(2, []string{"a"})
				}
			})
			resp, _ := f.call(t, c.method, c.path, c.body)
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			g.Expect(evacuated.Load()).To(gomega.BeTrue())
			for _, req := range s1.arrived {
				g.Expect(req.URL.Path).NotTo(gomega.Equal(c.path))
			}
			g.Expect(s2.arrivals()).To(gomega.Equal(1))
			g.Expect(f.forwarder.Stats().Retries).To(gomega.BeZero())
			g.Expect(f.board.Load("s1", time.Now()).OwnInFlight).To(gomega.BeZero())
		})
	}
}

func evacuateOnDial(_ *testing.T, f *fixture, evacuate func()) {
	dial := f.pool.Dial
	f.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		evacuate()
		return conn, err
	}
}

// TestEvacuationOfTheLastServers guards against requests that wait until their deadline
// although an evacuation left no server, and against one that already runs and is aborted.
func TestEvacuationOfTheLastServers(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, finish := make(chan struct{}), make(chan struct{})
	s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		close(arrived)
		<-finish
		ok(conn, req)
	})
	f := newFixture(t, s)
	running, queued := make(chan int, 1), make(chan int, 1)
	go func() { resp, _ := f.call(t, http.MethodPost, "/order/1", ""); running <- resp.StatusCode }()
	<-arrived
	f.board.Receive(readings.Reading{
		Server: readings.KeyOf("s1"), HasReport: true, At: time.Now().Add(time.Hour), Report: readings.Report{Running: 6, Slots: 6, SlowdownPercent: 100},
	})
	go func() { resp, _ := f.call(t, http.MethodPost, "/order/2", ""); queued <- resp.StatusCode }()
	g.Consistently(queued, "200ms").ShouldNot(gomega.Receive())
	f.directory.SetEvacuated(1, []string{"a"})
	g.Eventually(queued, "500ms").Should(gomega.Receive(gomega.Equal(http.StatusServiceUnavailable)))
	began := time.Now()
	resp, _ := f.call(t, http.MethodPost, "/order/3", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	close(finish)
	g.Expect(<-running).To(gomega.Equal(http.StatusOK))
	g.Expect(s.arrivals()).To(gomega.Equal(1))
}

// TestNoHedgeToEvacuatedServer guards against hedges and retries to an evacuated data centre.
func TestNoHedgeToEvacuatedServer(t *testing.T) {
	g := gomega.NewWithT(t)
	slow := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		time.Sleep(200 * time.Millisecond)
		respond(conn, req, http.StatusInternalServerError, "", signed)
	})
	other := startServer(t, "s2", ok)
	other.dataCentre = "b"
	f := newFixture(t, slow, other)
	f.directory.SetEvacuated(1, []string{"b"})
	for range 20 {
		f.budget.Earn("main")
	}
	resp, _ := f.call(t, http.MethodGet, "/hedged/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(other.arrivals()).To(gomega.BeZero())
}

// TestRequestsAreRefusedUntilEvacuationsAreKnown guards against a new process that serves with
// an unknown set of evacuated data centres.
func TestRequestsAreRefusedUntilEvacuationsAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", ok)
	f := newFixtureWithoutEvacuations(t, s)
	resp, _ := f.call(t, http.MethodGet, "/look/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(s.arrivals()).To(gomega.BeZero())
	f.directory.SetEvacuated(0, nil)
	resp, _ = f.call(t, http.MethodGet, "/look/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
}

// evacuateBeforeWrite evacuates a data centre at the last look before a request is written.
func evacuateBeforeWrite(_ *testing.T, f *fixture, evacuate func()) {
	var calls atomic.Int64
	f.awaitCurrent = func() {
		// The looks before: at the choice, before and after connecting.
		if calls.Add(1) == 4 {
			evacuate()
		}
	}
}

// TestRequestHeldBeforeTheWriteIsMadeAnew guards against a request that gives its server more time
// than is left, because it waited for the state of the evacuations after its head was made.
func TestRequestHeldBeforeTheWriteIsMadeAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	s1 := startServer(t, "s1", ok)
	f := newFixture(t, s1)
	const held = 300 * time.Millisecond
	var calls atomic.Int64
	f.awaitCurrent = func() {
		if calls.Add(1) == 4 {
			time.Sleep(held)
		}
	}
	began := time.Now()
	resp, _ := f.call(t, http.MethodPost, "/order/1", "x")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(s1.arrivals()).To(gomega.Equal(1))
	g.Expect(calls.Load()).To(gomega.BeNumerically(">", 4))
	g.Expect(f.forwarder.Stats().Retries).To(gomega.BeZero())
	left, err := strconv.Atoi(s1.arrived[0].Header.Get("Deadline-Ms"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(left).To(gomega.BeNumerically("<=", 1500-held.Milliseconds()))
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", held))
}
