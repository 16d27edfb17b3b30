package forward

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/table"
)

// TestWaitForColdServersIsEstimatedByTheirRate guards against requests that queue until their
// time is over for servers of which all are cold, because the queue was fast before. One warm
// server is enough for the measured rate to count.
func TestWaitForColdServersIsEstimatedByTheirRate(t *testing.T) {
	const servers, instances = 3, 100
	for warm, want := range []int{minQueue + 1, 10} {
		g := gomega.NewWithT(t)
		now := time.Now()
		dir, board := directory.New(), readings.NewBoard()
		var all []directory.Change
		var cold []string
		for i := range servers {
			all = append(all, directory.Change{Version: 1, Server: directory.Server{ID: fmt.Sprint("s", i), Service: "main", Slots: 3}})
			board.SetWarmUp(fmt.Sprint("s", i), readings.WarmUp{
				PerSecond: 5.3, For: time.Minute, Limits: readings.WarmUpLimits{Excess: 1.5, Slack: 8},
			}, now)
			if i >= warm {
				cold = append(cold, fmt.Sprint("s", i))
			}
		}
		dir.Replace(all, 1, time.Time{})
		board.AssumeCold(cold, now)
		f := New(Options{
			Board: board, Directory: dir, Backlogs: admission.NewBacklogs(), Log: slog.New(slog.DiscardHandler),
			Instances: func() int { return instances },
		})
		q := f.queue("main")
		q.open, q.rate, q.serviceTime, q.samples = true, 200, 20*time.Millisecond, 100
		accepted := 0
		for i := range 10 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			x := &exchange{f: f, service: &table.Service{Name: "main"}, firstSentAt: at, deadline: at.Add(time.Second)}
			w := &waiter{Request: admission.Request{Target: at.Add(400 * time.Millisecond), Deadline: x.deadline}, x: x}
			if q.enqueueLocked(w, at) == nil {
				accepted++
			}
		}
		g.Expect(accepted).To(gomega.Equal(want), "%d of %d servers warm", warm, servers)
	}
}
