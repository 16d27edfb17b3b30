package forward

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/locality"
	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/serverconn"
	"github.com/pomelolock/pomelolock/table"
)

// TestPenaltyFollowsTheLoadsHere guards against a decision that does not reach placement, that is
// made more often than its interval or logged more than once a second, and against a changed
// penalty where nothing is decided.
func TestPenaltyFollowsTheLoadsHere(t *testing.T) {
	g := gomega.NewWithT(t)
	dir, board, now, log := directory.New(), readings.NewBoard(), time.Now(), &bytes.Buffer{}
	var changes []directory.Change
	for i := range 40 {
		id := fmt.Sprint("server-", i)
		changes = append(changes, directory.Change{Version: 1, Server: directory.Server{
			ID: id, Service: "main", DataCentre: string(rune('a' + i%2)), Slots: 2, Address: "10.0.0.1:" + fmt.Sprint(i),
		}})
	}
	dir.Replace(changes, 1, time.Time{})
	opts := Options{Pool: serverconn.NewPool(), DataCentre: "a", Directory: dir, Board: board, Current: table.NewCurrent(), Instances: func() int { return 1 }, Log: slog.New(slog.NewTextHandler(log, nil))}
	g.Expect(New(opts).queue("main").remotePenalty("b")).To(gomega.Equal(placement.DefaultRemotePenalty))
	asked := 0
	opts.Locality = &Locality{Delay: func(string) time.Duration { asked++; return time.Millisecond }, BytePrice: func() float64 { return 0 }}
	q := New(opts).queue("main")
	g.Expect(q.remotePenalty("a")).To(gomega.Equal(1.0))
	observe := func(running int) {
		for i, c := range changes {
			report := readings.Report{Slots: 2, SlowdownPercent: 100}
			if i%2 == 0 && i > 2 {
				report.Running = running
			}
			board.Observe(readings.Reading{Server: readings.KeyOf(c.ID), HasReport: true, At: now, Report: report})
		}
	}
	decide := func() float64 {
		q.decideSharesLocked(now)
		return q.remotePenalty("b")
	}
	g.Expect(decide()).To(gomega.Equal(placement.DefaultRemotePenalty), "no reports")
	var quiet float64
	for _, running := range []int{0, 2} {
		for range 20 {
			now = now.Add(locality.Interval)
			observe(running)
			decide()
		}
		if running == 0 {
			quiet = decide()
			g.Expect(quiet).To(gomega.BeNumerically(">", placement.DefaultRemotePenalty))
		}
	}
	g.Expect(decide()).To(gomega.BeNumerically("<", quiet), "no room here")
	g.Expect(asked).To(gomega.Equal(41), "one decision in an interval")
	lines := strings.Count(log.String(), "share to other data centres changed")
	g.Expect(lines).To(gomega.BeNumerically("~", 2, 1))
	g.Expect(log.String()).To(gomega.ContainSubstring("in_flight="))
}

// placed is a queue in data centre a, with servers a0 to a3 there and b0 to b3 in b.
type placed struct {
	q     *queue
	dir   *directory.Directory
	board *readings.Board
}

func newPlaced(service table.Service) placed {
	dir, board, current := directory.New(), readings.NewBoard(), table.NewCurrent()
	var changes []directory.Change
	for i := range 8 {
		dataCentre := string(rune('a' + i/4))
		changes = append(changes, directory.Change{Version: 1, Server: directory.Server{
			ID: fmt.Sprint(dataCentre, i%4), Service: "main", DataCentre: dataCentre, Slots: 2, Address: "10.0.0.1:" + fmt.Sprint(i),
		}})
	}
	dir.Replace(changes, 1, time.Time{})
	service.Name = "main"
	current.Swap(table.Compile(table.Document{Version: 1, Services: []table.Service{service}}))
	started := make(chan struct{})
	close(started)
	f := New(Options{
		Pool: serverconn.NewPool(), DataCentre: "a", Directory: dir, Board: board, Current: current, Backlogs: admission.NewBacklogs(),
		Instances: func() int { return 1 }, Log: slog.New(slog.DiscardHandler), LoadsReady: started, ViewReady: started,
		AwaitCurrent: func(context.Context) {}, CheckRate: func() float64 { return 0 },
		ConnLimit: func(*table.Service) int { return 0 }, Refresh: func(context.Context, []readings.Target, time.Duration) {},
		WarmUp:   func() readings.WarmUpLimits { return readings.WarmUpLimits{Excess: 1.5, Slack: 8} },
		Locality: &Locality{Delay: func(string) time.Duration { return time.Millisecond }, BytePrice: func() float64 { return 0 }},
	})
	return placed{q: f.queue("main"), dir: dir, board: board}
}

// observe records the requests on the servers of a data centre.
func (p placed) observe(dataCentre string, running int, now time.Time) {
	for i := range 4 {
		p.board.Observe(readings.Reading{
			Server: readings.KeyOf(fmt.Sprint(dataCentre, i)), HasReport: true, At: now,
			Report: readings.Report{Slots: 2, Running: running, SlowdownPercent: 100},
		})
	}
}

// TestHighPenaltyDoesNotHoldRequestsHere guards against a request that waits for a local server,
// or draws one after the other, while servers elsewhere are idle, and against one that leaves
// while a local server is idle.
func TestHighPenaltyDoesNotHoldRequestsHere(t *testing.T) {
	for running, want := range map[int]string{0: "a", 2: "b"} {
		g := gomega.NewWithT(t)
		p := newPlaced(table.Service{HealthPath: "/healthz"})
		p.q.local.penalties.Store(&map[string]float64{"b": 50})
		for range 20 {
			now := time.Now()
			p.observe("a", running, now)
			p.observe("b", 0, now)
			x := &exchange{
				f: p.q.f, service: &table.Service{Name: "main", HealthPath: "/healthz"}, route: table.Route{TargetMS: 300},
				firstSentAt: now, deadline: now.Add(time.Second),
			}
			r, failed := p.q.acquire(t.Context(), x, false)
			g.Expect(failed).To(gomega.BeNil())
			g.Expect(r.server.DataCentre).To(gomega.Equal(want), "%d requests on each local server", running)
			r.release()
		}
	}
}

// TestSitesLeaveOutColdAndEvacuatedServers guards against capacity that cold servers don't have,
// and against requests decided to go to an evacuated data centre.
func TestSitesLeaveOutColdAndEvacuatedServers(t *testing.T) {
	g := gomega.NewWithT(t)
	p, now := newPlaced(table.Service{WarmUpMS: 3000, WarmUpPerSecond: 5.3}), time.Now()
	p.observe("a", 0, now)
	p.observe("b", 0, now)
	sites := func() map[string]locality.Site {
		all := make(map[string]locality.Site)
		for _, s := range p.q.sites(now) {
			all[s.DataCentre] = s
		}
		return all
	}
	g.Expect(sites()["b"].Capacity).To(gomega.Equal(8.0))
	p.board.AssumeCold([]string{"b0", "b1", "b2"}, now)
	g.Expect(sites()["b"].Cold).To(gomega.Equal(3))
	g.Expect(sites()["b"].Capacity).To(gomega.Equal(2.0))
	g.Expect(sites()["a"].Cold).To(gomega.BeZero())
	p.dir.SetEvacuated(2, []string{"b"})
	g.Expect(sites()).To(gomega.HaveLen(1))
	g.Expect(sites()["a"].Capacity).To(gomega.Equal(8.0))
}
