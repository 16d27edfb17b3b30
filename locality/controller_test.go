package locality

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func site(name string, capacity, inFlight float64) Site {
	return Site{DataCentre: name, Servers: 38, Capacity: capacity, InFlight: inFlight, Weight: 38, Reports: 38}
}

var work = Work{ServiceTime: 50 * time.Millisecond, Target: 300 * time.Millisecond}

// TestOldKnowledgeDoesNotOvershoot guards against data centres that, by the same old knowledge,
// both send to the emptier third one until it is full, and then all return. Without the history of
// its own shares, a controller sends what has already left a second time.
func TestOldKnowledgeDoesNotOvershoot(t *testing.T) {
	const capacity, steps = 100.0, 200
	for _, lag := range []int{1, 4, 10} {
		g := gomega.NewWithT(t)
		a, b := NewController("a"), NewController("b")
		loads := [][3]float64{{110, 110, 10}}
		for i := 1; i < steps; i++ {
			seen := loads[max(i-lag, 0)]
			sites := []Site{site("a", capacity, seen[0]), site("b", capacity, seen[1]), site("c", capacity, seen[2])}
			for s := range sites {
				sites[s].Age = time.Duration(lag) * Interval
			}
			now, to := time.Unix(0, 0).Add(time.Duration(i)*Interval), [3]float64{}
			for _, c := range []*Controller{a, b} {
				for _, s := range c.Decide(now, work, sites) {
					to[s.DataCentre[0]-'a'] += 110 * s.Share
				}
			}
			leftA, leftB := 0.0, 0.0
			for _, s := range a.sharesAt(now) {
				leftA += 110 * s
			}
			for _, s := range b.sharesAt(now) {
				leftB += 110 * s
			}
			loads = append(loads, [3]float64{110 - leftA + to[0], 110 - leftB + to[1], 10 + to[2]})
			// The level of all is 230/300.
			g.Expect(loads[i][2]).To(gomega.BeNumerically("<", 1.1*76.7), "step %d at age %d", i, lag)
		}
		g.Expect(loads[steps-1][2]).To(gomega.BeNumerically("~", 76.7, 4), "age %d", lag)
		g.Expect(loads[steps-2][2]).To(gomega.BeNumerically("~", loads[steps-1][2], 0.5), "age %d", lag)
	}
}

// TestDecision guards against requests that leave without need, or to where they find no room or
// miss their target, and against those that stay where nothing can serve them.
func TestDecision(t *testing.T) {
	far, cold := site("b", 76, 10), site("a", 0, 3)
	far.Delay, cold.Cold = 140*time.Millisecond, 38
	for name, c := range map[string]struct {
		sites     []Site
		price     float64
		leaves    bool
		low, high float64
	}{
		"room here":          {sites: []Site{site("a", 76, 30), site("b", 76, 0)}, low: 2, high: maxPenalty},
		"full here":          {sites: []Site{site("a", 76, 90), site("b", 76, 10)}, leaves: true, low: 1, high: maxPenalty},
		"full everywhere":    {sites: []Site{site("a", 76, 90), site("b", 76, 90)}, low: maxPenalty, high: maxPenalty},
		"full elsewhere":     {sites: []Site{site("a", 76, 70), site("b", 76, 120)}, low: maxPenalty, high: maxPenalty},
		"too far":            {sites: []Site{site("a", 76, 90), far}, low: maxPenalty, high: maxPenalty},
		"bytes cost more":    {sites: []Site{site("a", 76, 90), site("b", 76, 10)}, price: 10, low: maxPenalty, high: 19},
		"evacuated here":     {sites: []Site{site("b", 76, 10)}, leaves: true, low: 1, high: 1},
		"all cold here":      {sites: []Site{cold, site("b", 76, 10)}, leaves: true, low: 1, high: 1},
		"all cold elsewhere": {sites: []Site{site("a", 76, 90), {DataCentre: "b", Reports: 1}}, low: maxPenalty, high: maxPenalty},
	} {
		g := gomega.NewWithT(t)
		w := work
		w.ResponseBytes, w.BytePrice = 90_000, c.price
		got := NewController("a").Decide(time.Unix(0, 0), w, c.sites)
		g.Expect(got).To(gomega.HaveLen(1), name)
		g.Expect(got[0].Share > 0).To(gomega.Equal(c.leaves), name)
		g.Expect(got[0].Penalty).To(gomega.And(gomega.BeNumerically(">=", c.low), gomega.BeNumerically("<=", c.high)), name)
	}
	g := gomega.NewWithT(t)
	g.Expect(NewController("a").Decide(time.Unix(0, 0), work, []Site{site("a", 76, 90)})).To(gomega.BeNil(), "one data centre")
	g.Expect(NewController("a").Decide(time.Unix(0, 0), work, []Site{{DataCentre: "a"}, {DataCentre: "b"}})).To(gomega.BeNil(), "no knowledge")
}
