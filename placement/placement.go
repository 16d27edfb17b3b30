package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pomelolock/pomelolock/readings"
)

const (
	// slowdownDecay is the time constant with which a reported slowdown loses
	// its influence: interference lasts some hundred milliseconds.
	slowdownDecay = 300 * time.Millisecond
	// occupancyDecay is the time constant with which the reported number of requests on a
	// server loses its influence: that of the arrivals and departures at a busy server.
	occupancyDecay = 30 * time.Millisecond
	// slowdownPersistence is the share of a request's time during which the
	// interference seen at its start is expected to continue.
	slowdownPersistence = 0.75
	// DefaultSlowdown is the expected slowdown of a server without a usable
	// report, as a multiple of the time on a machine without other load.
	DefaultSlowdown = 1.6
	// nearlyFullShare is the share of occupied slots from which work slows down,
	// and nearlyFullFactor the factor. Source: load curves of the users' servers.
	nearlyFullShare  = 0.8
	nearlyFullFactor = 1.7
	// coldFactor is the slowdown factor of a server that is warming up.
	coldFactor = 2.0
	// DefaultRemotePenalty covers the latency and the price of crossing data centres
	// where package locality has not decided. It is far below the slowdown under
	// interference, so that a request prefers a remote server to an affected local one.
	DefaultRemotePenalty = 1.4
	// connectPenalty covers the opening of a connection. In a large fleet, where
	// an instance has few requests for many servers, it also makes each instance
	// reuse a subset of them.
	connectPenalty = 1.12
	// failedCheckPenalty applies after a failed status check. It does not exclude
	// the server, because checks may be wrong.
	failedCheckPenalty = 3.0
	// unansweredCheckPenalty applies after a status check without a response.
	unansweredCheckPenalty = 6.0
	// CostExponent sets how fast the selection probability falls with the cost:
	// a server that costs 2.5 times as much is chosen about once in 250 times.
	CostExponent = 6
	// unhealthyFailureRate is the share of failed attempts, above that of the other
	// servers, from which a server counts as unhealthy.
	unhealthyFailureRate = 0.5
	// defaultSlots is assumed for servers with neither a load report nor a number
	// from discovery.
	defaultSlots = 4
)

// Candidate is a server that a request may be sent to.
type Candidate struct {
	Load readings.Load
	// Slots is the number from discovery, used if there is no load report.
	Slots int
	// RemotePenalty is the factor of the cost of a server in another data centre. 0 and 1
	// mean that there is none.
	RemotePenalty float64
	// Unconnected is set if a connection would have to be opened.
	Unconnected bool
	// Cold is set if the server is warming up.
	Cold bool
	// Quiet is set if the server wants nothing from this instance now, or its limit or the
	// rate of its warm-up leaves no room.
	Quiet bool
}

// Assessment rates a candidate for one more request.
type Assessment struct {
	// Time is the expected time there, as a multiple of the time of the same
	// work on an idle machine without other load.
	Time float64
	// Cost is Time multiplied by all penalties; the lowest is best.
	Cost float64
	// RemotePenalty is the part of Cost that stands for another data centre, at least 1.
	RemotePenalty float64
	// Slowdown is the part of Time that does not depend on the requests there.
	Slowdown float64
	// Capacity is the number of requests that the server runs at its highest throughput,
	// InFlight the estimated number that it has. SpareCapacity is how many more it accepts.
	Capacity, InFlight int
	SpareCapacity      int
	// Limited is set if the server names a limit of requests or is cold. Its spare capacity
	// is this instance's own part and not shared with others.
	Limited bool
	// Closed is set if the server wants nothing from this instance now.
	Closed bool
	// Healthy is false if most recent attempts there failed. Status checks count
	// in Cost instead.
	Healthy bool
}

// Usual is the mean state of the servers of a service, against which one of them is rated.
type Usual struct {
	// Occupancy is the share of slots in use.
	Occupancy float64
	// FailureRate is the share of the recent attempts that failed.
	FailureRate float64
}

// UsualOf returns the mean state of servers.
func UsualOf(candidates []Candidate) Usual {
	if len(candidates) == 0 {
		return Usual{}
	}
	inFlight, slots, failures := 0, 0, 0.0
	for _, c := range candidates {
		inFlight += c.inFlight()
		slots += c.slots()
		failures += c.Load.FailureRate
	}
	return Usual{Occupancy: float64(inFlight) / float64(slots), FailureRate: failures / float64(len(candidates))}
}

// Assess rates candidates, in their order, beside the usual state of the servers.
func Assess(candidates []Candidate, usual Usual) []Assessment {
	assessed := make([]Assessment, len(candidates))
	for i, c := range candidates {
		slowdown := c.slowdown()
		if c.Cold {
			slowdown *= coldFactor
		}
		time := slowdown * c.expectedOccupancyFactor(usual.Occupancy)
		assessed[i] = Assessment{
			Time: time, Cost: time * c.penalty(usual), RemotePenalty: max(c.RemotePenalty, 1), Slowdown: slowdown,
			Capacity: efficientSlots(c.slots()), InFlight: c.inFlight(), SpareCapacity: c.spareCapacity(), Limited: c.Load.Limited(),
			Closed: c.Quiet, Healthy: c.excessFailures(usual) < unhealthyFailureRate,
		}
	}
	return assessed
}

// SpareCapacity returns how many more requests the servers accept
// whose expected time is at most maxTime. Unhealthy servers count only if none is
// healthy, and limited ones not at all.
func SpareCapacity(assessed []Assessment, maxTime float64) int {
	capacity := 0
	healthy := anyHealthy(assessed)
	for _, a := range assessed {
		if a.eligible(maxTime, healthy) && !a.Limited {
			capacity += a.SpareCapacity
		}
	}
	return capacity
}

// Choose returns the index of a server with spare capacity whose expected time is
// at most maxTime, or -1. Unhealthy servers are chosen only if none is healthy.
// The choice is random, in proportion to the spare capacity and falling steeply
// with the cost, so that instances with the same view fill the servers evenly.
func Choose(assessed []Assessment, maxTime float64) int {
	return ChooseBy(assessed, maxTime, rand.Float64)
}

// ChooseBy is [Choose] with the given source of random numbers from 0 to 1.
func ChooseBy(assessed []Assessment, maxTime float64, draw func() float64) int {
	healthy := anyHealthy(assessed)
	minCost := math.Inf(1)
	for _, a := range assessed {
		if a.SpareCapacity > 0 && a.eligible(maxTime, healthy) {
			minCost = min(minCost, a.Cost)
		}
	}
	chosen, total := -1, 0.0
	for i, a := range assessed {
		if a.SpareCapacity <= 0 || !a.eligible(maxTime, healthy) {
			continue
		}
		weight := float64(a.SpareCapacity) * CostWeight(a.Cost/minCost)
		total += weight
		if draw()*total < weight {
			chosen = i
		}
	}
	return chosen
}

// Sample returns the indices of up to n servers, drawn at random with weights that fall with
// their penalties. Their loads don't count: instances that draw by the same old readings would
// all draw the few servers that looked idle.
func Sample(assessed []Assessment, n int) []int { return SampleBy(assessed, n, rand.Float64) }

// SampleBy is [Sample] with the given source of random numbers from 0 to 1.
func SampleBy(assessed []Assessment, n int, draw func() float64) []int {
	healthy := anyHealthy(assessed)
	weights, open, total := make([]float64, len(assessed)), 0, 0.0
	for i := range assessed {
		a := &assessed[i]
		if a.Closed || !a.Healthy && healthy {
			continue
		}
		weights[i] = CostWeight(a.Cost / a.Time)
		total += weights[i]
		open++
	}
	chosen := make([]int, 0, min(n, open))
	for len(chosen) < cap(chosen) {
		left, last := draw()*total, 0
		for i, w := range weights {
			if w == 0 {
				continue
			}
			last = i
			if left -= w; left < 0 {
				break
			}
		}
		chosen, weights[last] = append(chosen, last), 0
		// The sum is formed anew, since small weights would drown in the rounding errors
		// of a difference.
		total = 0
		for _, w := range weights {
			total += w
		}
	}
	return chosen
}

// CostWeight returns the factor of the probability with which a server is selected that costs
// the given multiple.
func CostWeight(cost float64) float64 {
	// The power is written out, because each draw needs it of all servers.
	cube := cost * cost * cost
	return 1 / (cube * cube)
}

// Promising reports whether the server is expected to be no slower than one of which
// nothing is known, and not to fail: it costs no more than such a one in another data centre
// at the default penalty. A higher penalty says nothing about the server and is left out.
func (a Assessment) Promising() bool {
	cost := a.Cost * min(DefaultRemotePenalty/a.RemotePenalty, 1)
	return a.Time <= DefaultSlowdown && cost <= DefaultSlowdown*DefaultRemotePenalty
}

func (a Assessment) eligible(maxTime float64, anyHealthy bool) bool {
	return a.Time <= maxTime && (a.Healthy || !anyHealthy)
}

func anyHealthy(assessed []Assessment) bool {
	for i := range assessed {
		if assessed[i].Healthy {
			return true
		}
	}
	return false
}

// spareCapacity returns how many more requests the server accepts before it does less work.
func (c Candidate) spareCapacity() int {
	if c.Quiet {
		return 0
	}
	spare := max(efficientSlots(c.slots())-c.inFlight(), 0)
	if c.Load.Limited() {
		// One permit at a time.
		return min(spare, 1)
	}
	return spare
}

// efficientSlots returns the number of concurrent requests at which a server with the given
// number of slots does the most work: those that don't slow it down, or all slots if few of
// them don't.
func efficientSlots(slots int) int {
	unslowed := max(int(nearlyFullShare*float64(slots)), 1)
	if float64(slots)/nearlyFullFactor > float64(unslowed) {
		return slots
	}
	return unslowed
}

func (c Candidate) slots() int {
	switch {
	case c.Load.HasReport && c.Load.Slots > 0:
		return c.Load.Slots
	case c.Slots > 0:
		return c.Slots
	}
	return defaultSlots
}

// inFlight estimates how many requests the server has, running or waiting.
func (c Candidate) inFlight() int {
	if !c.Load.HasReport {
		return c.Load.OwnInFlight
	}
	return max(c.Load.Running+c.Load.Waiting+c.Load.UnreportedInFlight, c.Load.OwnInFlight, 0)
}

// penalty returns the factor by which the cost of the server exceeds its expected
// time.
func (c Candidate) penalty(usual Usual) float64 {
	factor := max(c.RemotePenalty, 1)
	if c.Unconnected {
		factor *= connectPenalty
	}
	switch c.Load.Health {
	case readings.HealthBad:
		factor *= failedCheckPenalty
	case readings.HealthUnreachable:
		factor *= unansweredCheckPenalty
	}
	successRate := 1 - c.excessFailures(usual)
	return factor / max(successRate*successRate*successRate, 0.01)
}

// excessFailures returns by how much the failure rate of the server exceeds the usual one. If
// all servers fail alike, those with few recent attempts only look better.
func (c Candidate) excessFailures(usual Usual) float64 {
	return max(c.Load.FailureRate-usual.FailureRate, 0)
}

// slowdown returns the expected slowdown as a factor. The influence of a load
// report decays with its age.
func (c Candidate) slowdown() float64 {
	if !c.Load.HasReport || c.Load.SlowdownPercent <= 0 {
		return DefaultSlowdown
	}
	reported := float64(c.Load.SlowdownPercent) / readings.NormalSlowdownPercent
	influence := slowdownPersistence * math.Exp(-float64(c.Load.Age)/float64(slowdownDecay))
	return DefaultSlowdown + (reported-DefaultSlowdown)*influence
}

// expectedOccupancyFactor returns the slowdown factor caused by the requests that are expected
// on the server by now, with one more. An old report says little: other instances have sent
// requests since, above all to servers that looked idle.
func (c Candidate) expectedOccupancyFactor(usual float64) float64 {
	if !c.Load.HasReport {
		return c.occupancyFactor(float64(c.inFlight()))
	}
	influence := math.Exp(-float64(c.Load.Age) / float64(occupancyDecay))
	reported := float64(c.inFlight())
	expected := max(usual*float64(c.slots())+(reported-usual*float64(c.slots()))*influence, float64(c.Load.OwnInFlight))
	low := math.Floor(expected)
	factor := c.occupancyFactor(low)
	return factor + (c.occupancyFactor(low+1)-factor)*(expected-low)
}

// occupancyFactor returns the slowdown factor caused by a number of requests on the server,
// with one more.
func (c Candidate) occupancyFactor(inFlight float64) float64 {
	slots, after := float64(c.slots()), inFlight+1
	switch {
	case after < nearlyFullShare*slots:
		// The small increase with each request spreads the load evenly.
		return 1 + 0.1*after/slots
	case after <= slots:
		return nearlyFullFactor
	}
	return nearlyFullFactor * (1 + (after-slots)/slots*2)
}
