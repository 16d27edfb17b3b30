package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/retrybudget"
	"github.com/pomelolock/pomelolock/serverconn"
	"github.com/pomelolock/pomelolock/table"
)

// TestHedgesLeaveBudgetAndCapacityToOthers guards against hedges that take the retry budget while
// servers reject many requests, or capacity for which others wait.
func TestHedgesLeaveBudgetAndCapacityToOthers(t *testing.T) {
	for _, c := range []struct {
		name     string
		waiting  int
		rejected int
		hedged   bool
	}{
		{"quiet", 0, 0, true},
		{"others wait", 1, 0, false},
		{"servers reject many", 0, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newOrderFixture()
			now := time.Now()
			f.q.f.opts.Current, f.q.f.opts.Pool = table.NewCurrent(), serverconn.NewPool()
			f.q.f.opts.Budget = retrybudget.New(retrybudget.Limits{Ratio: 0.2, Burst: 100}, 1)
			for range 10 {
				f.q.f.opts.Budget.Earn("main")
			}
			if c.waiting > 0 {
				f.q.f.opts.Backlogs.Receive("other", false, []admission.Backlog{{Service: "main", Counts: admission.Counts{Late: c.waiting}}}, now)
			}
			for range c.rejected {
				f.q.f.opts.Board.Result("s", true, now)
			}
			x := &exchange{f: f.q.f, in: &http.Request{}, service: &table.Service{Name: "main"}, sent: 1, tried: []string{"s"}}
			gomega.NewWithT(t).Expect(x.mayHedge()).To(gomega.Equal(c.hedged))
		})
	}
}
