package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pomelolock/pomelolock/readings"
)

const (
	// slownessMemory is the time after which a report of slowness says little:
	// spells of other load end within some hundred milliseconds.
	slownessMemory = 300 * time.Millisecond
	// usualTime is the expected time of work where nothing is known, in
	// multiples of its time on a machine without other load.
	usualTime = 1.6
	// nearlyFull is the share of the slots from which work is slower, and
	// nearlyFullTime by how much. Source: load curves of the users' servers.
	nearlyFull     = 0.8
	nearlyFullTime = 1.7
	// coldTime is how much longer work takes on a server that just started.
	coldTime = 2.0
	// remoteTime weighs the way to another data centre and its price.
	remoteTime = 1.15
	// unhealthyTime weighs a status check that failed. Checks may be wrong.
	unhealthyTime = 3.0
	// unreachableTime weighs a status check that got no answer.
	unreachableTime = 6.0
	// spread is by how much estimates are varied, so that instances with the
	// same readings don't all choose the same server.
	spread = 0.2
	// unknownSlots is assumed for servers that report no load.
	unknownSlots = 4
)

// Candidate is a server that a request may go to.
type Candidate struct {
	Load readings.Load
	// Slots is the number from discovery, used without a report.
	Slots int
	// Remote tells that the server is in another data centre.
	Remote bool
	// Cold tells that the server has just started.
	Cold bool
}

// Choice is the outcome of a decision.
type Choice struct {
	// Index is the chosen candidate, or -1 if there is none.
	Index int
	// Time is the expected time of the request there, in multiples of its
	// time on an idle machine without other load.
	Time float64
	// Excess is the number of requests there beyond its slots if the request
	// was sent; 0 or less means that it runs at once.
	Excess int
}

// Best chooses the candidate with the least expected time.
func Best(candidates []Candidate) Choice {
	best := Choice{Index: -1, Time: math.Inf(1)}
	least := math.Inf(1)
	for i, c := range candidates {
		expected := c.expected()
		varied := expected * (1 + spread*rand.Float64())
		if varied < least {
			least = varied
			best = Choice{Index: i, Time: expected, Excess: c.occupied() + 1 - c.slots()}
		}
	}
	return best
}

func (c Candidate) slots() int {
	switch {
	case c.Load.Known && c.Load.Slots > 0:
		return c.Load.Slots
	case c.Slots > 0:
		return c.Slots
	}
	return unknownSlots
}

// occupied returns how many requests the server presumably has.
func (c Candidate) occupied() int {
	if !c.Load.Known {
		return c.Load.Own
	}
	return max(c.Load.Running+c.Load.Waiting+c.Load.Unseen, c.Load.Own, 0)
}

// expected returns the expected time of one more request, with the weights of
// what else speaks against the server.
func (c Candidate) expected() float64 {
	t := c.slowness() * c.loadTime()
	if c.Cold {
		t *= coldTime
	}
	if c.Remote {
		t *= remoteTime
	}
	switch c.Load.Health {
	case readings.HealthBad:
		t *= unhealthyTime
	case readings.HealthUnreachable:
		t *= unreachableTime
	}
	sound := 1 - c.Load.FailureRate
	return t / max(sound*sound*sound, 0.01)
}

// slowness returns the expected slowness; a report loses its meaning with age.
func (c Candidate) slowness() float64 {
	if !c.Load.Known || c.Load.Slowness <= 0 {
		return usualTime
	}
	reported := float64(c.Load.Slowness) / readings.UsualSlowness
	keep := math.Exp(-float64(c.Load.Age) / float64(slownessMemory))
	return usualTime + (reported-usualTime)*keep
}

// loadTime returns the factor for the requests that the server has.
func (c Candidate) loadTime() float64 {
	slots, after := float64(c.slots()), float64(c.occupied()+1)
	switch {
	case after < nearlyFull*slots:
		// A little more for each request keeps the load even.
		return 1 + 0.1*after/slots
	case after <= slots:
		return nearlyFullTime
	}
	return nearlyFullTime * (1 + (after-slots)/slots*2)
}
