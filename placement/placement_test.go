package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/readings"
)

func candidate(running, slowdownPercent int) Candidate {
	return Candidate{Slots: 6, Load: readings.Load{
		HasReport: true, Age: 20 * time.Millisecond,
		Report: readings.Report{Running: running, Slots: 6, SlowdownPercent: slowdownPercent},
	}}
}

// shares returns the share of selections that each candidate receives.
func shares(candidates []Candidate, maxTime float64) []float64 {
	const attempts = 20_000
	out := make([]float64, len(candidates))
	assessed := Assess(candidates, Usual{})
	for range attempts {
		if i := Choose(assessed, maxTime); i >= 0 {
			out[i] += 1.0 / attempts
		}
	}
	return out
}

func TestSlowServerIsAvoided(t *testing.T) {
	got := shares([]Candidate{candidate(0, 400), candidate(2, 100), candidate(2, 100)}, math.Inf(1))
	gomega.NewWithT(t).Expect(got[0]).To(gomega.BeNumerically("<", 0.02))
}

func TestNearlyFullServerHasNoSpareCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(shares([]Candidate{candidate(4, 100), candidate(6, 100)}, math.Inf(1))).To(gomega.Equal([]float64{0, 0}))
	g.Expect(SpareCapacity(Assess([]Candidate{candidate(1, 100), candidate(4, 100), candidate(3, 400)}, Usual{}), math.Inf(1))).To(gomega.Equal(4))
}

func TestChoiceIsProportionalToSpareCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	got := shares([]Candidate{candidate(0, 100), candidate(3, 100)}, math.Inf(1))
	g.Expect(got[0]).To(gomega.BeNumerically(">", 0.75))
	g.Expect(got[1]).To(gomega.BeNumerically(">", 0.05))
}

func TestOwnRequestsSinceReportCount(t *testing.T) {
	g := gomega.NewWithT(t)
	c := candidate(2, 100)
	c.Load.UnreportedInFlight, c.Load.OwnInFlight = 2, 2
	g.Expect(Assess([]Candidate{c}, Usual{})[0].SpareCapacity).To(gomega.BeZero())
}

func TestFailingServerIsUsedOnlyIfNoneIsHealthy(t *testing.T) {
	g := gomega.NewWithT(t)
	failing := candidate(0, 100)
	failing.Load.FailureRate = 0.8
	g.Expect(shares([]Candidate{failing, candidate(3, 400)}, math.Inf(1))[0]).To(gomega.BeZero())
	g.Expect(shares([]Candidate{failing}, math.Inf(1))[0]).To(gomega.BeNumerically("~", 1, 0.001))
}

func TestServerAboveMaxTimeIsNotChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(shares([]Candidate{candidate(0, 400)}, 2.5)[0]).To(gomega.BeZero())
	g.Expect(SpareCapacity(Assess([]Candidate{candidate(0, 400), candidate(0, 100)}, Usual{}), 2.5)).To(gomega.Equal(4))
}

func TestLocalServerIsPreferredUnlessSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	remote := candidate(0, 100)
	remote.RemotePenalty = DefaultRemotePenalty
	g.Expect(shares([]Candidate{candidate(0, 100), remote}, math.Inf(1))[0]).To(gomega.BeNumerically(">", 0.8))
	g.Expect(shares([]Candidate{candidate(0, 400), remote}, math.Inf(1))[0]).To(gomega.BeNumerically("<", 0.1))
}

func TestReportInfluenceDecaysWithAge(t *testing.T) {
	fresh, old := candidate(0, 400), candidate(0, 400)
	old.Load.Age = 10 * time.Second
	assessed := Assess([]Candidate{fresh, old}, Usual{})
	gomega.NewWithT(t).Expect(assessed[1].Time).To(gomega.BeNumerically("<", assessed[0].Time))
}

func TestServerWithoutReportIsRatedByOwnRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	c := Candidate{Slots: 6, Load: readings.Load{OwnInFlight: 1}}
	g.Expect(Assess([]Candidate{c}, Usual{})[0].SpareCapacity).To(gomega.Equal(3))
	c.Slots = 0
	g.Expect(Assess([]Candidate{c}, Usual{})[0].SpareCapacity).To(gomega.Equal(2))
}

func TestConnectedServerIsPreferred(t *testing.T) {
	g := gomega.NewWithT(t)
	unconnected := candidate(0, 100)
	unconnected.Unconnected = true
	g.Expect(shares([]Candidate{candidate(0, 100), unconnected}, math.Inf(1))[0]).To(gomega.BeNumerically(">", 0.6))
	g.Expect(shares([]Candidate{candidate(4, 100), unconnected}, math.Inf(1))[1]).To(gomega.BeNumerically("~", 1, 0.001))
}

// TestOnlyFastAndHealthyServersArePromising checks which servers are taken without a look at
// the others.
func TestOnlyFastAndHealthyServersArePromising(t *testing.T) {
	with := func(change func(*Candidate)) Candidate {
		c := candidate(1, 100)
		change(&c)
		return c
	}
	for name, c := range map[string]struct {
		candidate Candidate
		want      bool
	}{
		"fast":                   {candidate(1, 100), true},
		"in another data centre": {with(func(c *Candidate) { c.RemotePenalty = DefaultRemotePenalty }), true},
		"hardly to be sent to":   {with(func(c *Candidate) { c.RemotePenalty = 8 }), true},
		"slowed down":            {candidate(1, 400), false},
		"nearly full":            {with(func(c *Candidate) { c.Load.Running, c.Load.Age = 5, 0 }), false},
		"cold":                   {with(func(c *Candidate) { c.Cold = true }), false},
		"failing":                {with(func(c *Candidate) { c.Load.FailureRate = 0.3 }), false},
		"failed check":           {with(func(c *Candidate) { c.Load.Health = readings.HealthBad }), false},
	} {
		got := Assess([]Candidate{c.candidate}, Usual{})[0].Promising()
		gomega.NewWithT(t).Expect(got).To(gomega.Equal(c.want), name)
	}
}

// TestSampleIgnoresLoads guards against instances that all look at the servers which an old
// reading shows as idle.
func TestSampleIgnoresLoads(t *testing.T) {
	g := gomega.NewWithT(t)
	assessed := Assess([]Candidate{candidate(0, 100), candidate(1, 100), candidate(6, 100), candidate(0, 400)}, Usual{})
	drawn := make([]int, len(assessed))
	for range 4000 {
		g.Expect(Sample(assessed, 9)).To(gomega.ConsistOf(0, 1, 2, 3))
		drawn[Sample(assessed, 1)[0]]++
	}
	for _, n := range drawn {
		g.Expect(n).To(gomega.BeNumerically("~", 1000, 150))
	}
}

// TestColdServerTakesOnePermitAtATime guards against a server that looks idle because it has
// just returned, and gets the requests of all instances.
func TestColdServerTakesOnePermitAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	cold := candidate(0, 100)
	cold.Cold, cold.Load.Cold = true, true
	assessed := Assess([]Candidate{cold, candidate(0, 100)}, Usual{})
	g.Expect(assessed[0].Limited).To(gomega.BeTrue())
	g.Expect(assessed[0].SpareCapacity).To(gomega.Equal(1))
	g.Expect(assessed[0].Time).To(gomega.BeNumerically("~", 2*assessed[1].Time, 1e-9))
	g.Expect(SpareCapacity(assessed, math.Inf(1))).To(gomega.Equal(assessed[1].SpareCapacity), "not shared with other instances")
	cold.Quiet = true
	g.Expect(Assess([]Candidate{cold}, Usual{})[0].SpareCapacity).To(gomega.BeZero(), "no permit")
}

// TestServerWithFewSlotsIsUsedWhole guards against servers with two slots that get one request
// at a time: both slots together do more work, although each request takes longer.
func TestServerWithFewSlotsIsUsedWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	for slots, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 6: 4, 10: 8} {
		c := Candidate{Slots: slots}
		g.Expect(Assess([]Candidate{c}, Usual{})[0].SpareCapacity).To(gomega.Equal(want), "%d slots", slots)
	}
}

// TestOldReportOfAnIdleServerRanksBehindAFreshOne guards against instances that all go where an
// old report says "idle".
func TestOldReportOfAnIdleServerRanksBehindAFreshOne(t *testing.T) {
	g := gomega.NewWithT(t)
	usual := Usual{Occupancy: 0.6}
	oldIdle, freshBusy, oldBusy := candidate(0, 160), candidate(2, 160), candidate(5, 160)
	oldIdle.Load.Age, freshBusy.Load.Age, oldBusy.Load.Age = 200*time.Millisecond, 0, 200*time.Millisecond
	assessed := Assess([]Candidate{oldIdle, freshBusy, oldBusy}, usual)
	g.Expect(assessed[1].Time).To(gomega.BeNumerically("<", assessed[0].Time))
	g.Expect(assessed[2].Time).To(gomega.BeNumerically("~", assessed[0].Time, 0.05))
}

// TestServersThatFailAlikeAreRatedAlike guards against the load of a whole service on the few
// servers whose last attempts happened to succeed while all fail half of theirs.
func TestServersThatFailAlikeAreRatedAlike(t *testing.T) {
	g := gomega.NewWithT(t)
	failing := func(rate float64) Candidate {
		c := candidate(0, 100)
		c.Load.FailureRate = rate
		return c
	}
	all := []Candidate{failing(0.6), failing(0.55), failing(0.5), failing(0.55)}
	for _, a := range Assess(all, UsualOf(all)) {
		g.Expect(a.Healthy).To(gomega.BeTrue())
		g.Expect(a.Cost / a.Time).To(gomega.BeNumerically("<", 1.2))
	}
	one := []Candidate{failing(0.8), failing(0), failing(0), failing(0)}
	assessed := Assess(one, UsualOf(one))
	g.Expect(assessed[0].Healthy).To(gomega.BeFalse())
	g.Expect(assessed[0].Cost / assessed[0].Time).To(gomega.BeNumerically(">", 8))
}

// TestSampleFollowsThePenalties guards against checks and requests that cross data centres while
// the local servers have room, and against a decision to send requests away that draws no server
// there because the local ones are many.
func TestSampleFollowsThePenalties(t *testing.T) {
	const local, remote, draws = 38, 114, 20_000
	for penalty, want := range map[float64]struct{ least, most float64 }{
		1: {0.74, 0.76}, 2.5: {0.005, 0.02}, 8: {0, 0.0005},
	} {
		g := gomega.NewWithT(t)
		var servers []Candidate
		for i := range local + remote {
			c := candidate(4, 100)
			if i >= local {
				c = candidate(0, 100)
				c.RemotePenalty = penalty
			}
			servers = append(servers, c)
		}
		assessed, away := Assess(servers, Usual{}), 0
		rng := rand.New(rand.NewPCG(20261203, 7))
		for range draws {
			for _, i := range SampleBy(assessed, 2, rng.Float64) {
				if i >= local {
					away++
				}
			}
		}
		share := float64(away) / (2 * draws)
		g.Expect(share).To(gomega.And(gomega.BeNumerically(">=", want.least), gomega.BeNumerically("<=", want.most)), "penalty %v", penalty)
	}
}

// TestCostWeightIsThePower guards against a changed exponent that only locality computes with.
func TestCostWeightIsThePower(t *testing.T) {
	for _, cost := range []float64{0.5, 1, 1.4, 8} {
		gomega.NewWithT(t).Expect(CostWeight(cost) * math.Pow(cost, CostExponent)).To(gomega.BeNumerically("~", 1, 1e-9))
	}
}

// TestFullLocalServersDontHoldRequests guards against a penalty that keeps a request from idle
// servers elsewhere when no local one has room.
func TestFullLocalServersDontHoldRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	remote := candidate(0, 100)
	remote.RemotePenalty = 50
	assessed := Assess([]Candidate{candidate(4, 100), candidate(6, 100), remote}, Usual{})
	g.Expect(Choose(assessed, 2)).To(gomega.Equal(2))
	g.Expect(SpareCapacity(assessed, 2)).To(gomega.Equal(4))
}
