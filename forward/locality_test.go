package forward

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/locality"
	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/serverconn"
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
	opts := Options{Pool: serverconn.NewPool(), DataCentre: "a", Directory: dir, Board: board, Instances: func() int { return 1 }, Log: slog.New(slog.NewTextHandler(log, nil))}
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
