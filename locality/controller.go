package locality

import (
	"math"
	"time"

	"github.com/pomelolock/pomelolock/placement"
)

const (
	// Interval is the minimum time between two decisions for a service.
	Interval = 100 * time.Millisecond
	// dampingAges is the time constant of a change of a share, as a multiple of the age of the
	// knowledge. Waves of demand that are over by the time that they are known move the shares
	// little.
	dampingAges = 2
	// minDamping is the least time constant. Other work slows servers down for some hundred
	// milliseconds: with 200 ms, the share followed the number of slow ones and changed by up to
	// 0.3 in half a second of constant load.
	minDamping = time.Second
	// usualFill is the part of the capacity of a data centre that is used before requests
	// leave it, and up to which others send there while that is enough. Close to the whole
	// capacity, the idle servers are too few to be found by old knowledge.
	usualFill = 0.75
	// idleShare is the share of the drawn servers that may be in data centres with room while
	// the local ones have room too: a request that draws slow local servers only finds a fast
	// one there, and the delay to them stays measured.
	idleShare = 0.005
	// maxPenalty bounds the penalty. Even beside a single local server with spare capacity,
	// 300 idle remote ones together get less than a request in 800 then.
	maxPenalty = 8.0
	// maxShare bounds the share by which demand is extrapolated from what stayed here.
	maxShare = 0.9
	// historyLength covers maxAge.
	historyLength = int(maxAge/Interval) + 2
)

// Share is the decision for one other data centre.
type Share struct {
	DataCentre string
	// Wanted is the share of the requests of local callers that is to go there by what is
	// known now, Share the damped one, Penalty the factor of the cost of the servers there
	// that results in it.
	Wanted, Share, Penalty float64
	// room is set if the servers there have room for requests and can answer in time.
	room bool
}

// Controller makes the decisions for one service at one instance. It is not safe for
// concurrent use.
type Controller struct {
	own string
	// history holds the shares by data centre since the given times, oldest first.
	history []past
}

type past struct {
	at     time.Time
	shares map[string]float64
}

// NewController returns a controller for an instance in the given data centre.
func NewController(own string) *Controller { return &Controller{own: own} }

// Decide returns the shares of the other data centres. It returns nil if there is none, or if
// nothing is known about the load of the servers.
func (c *Controller) Decide(now time.Time, work Work, sites []Site) []Share {
	local := Site{DataCentre: c.own}
	var others []Site
	reports := 0
	var age time.Duration
	for _, s := range sites {
		if s.DataCentre == c.own {
			local = s
		} else {
			others = append(others, s)
		}
		reports += s.Reports
		age = max(age, s.Age)
	}
	if len(others) == 0 || reports == 0 {
		return nil
	}
	shares := wanted(local, others, c.sharesAt(now.Add(-age)), work)
	current := c.sharesAt(now)
	damping := max(dampingAges*age, minDamping)
	step := 1.0
	if n := len(c.history); n > 0 && local.Capacity > 0 {
		step = -math.Expm1(-float64(now.Sub(c.history[n-1].at)) / float64(damping))
	}
	next := past{at: now, shares: make(map[string]float64, len(shares))}
	for i := range shares {
		s := &shares[i]
		s.Share = current[s.DataCentre] + step*(s.Wanted-current[s.DataCentre])
		next.shares[s.DataCentre] = s.Share
	}
	if len(c.history) == historyLength {
		c.history = append(c.history[:0], c.history[1:]...)
	}
	c.history = append(c.history, next)
	setPenalties(shares, local, others, work)
	return shares
}

// sharesAt returns the shares that were in force at the given time.
func (c *Controller) sharesAt(at time.Time) map[string]float64 {
	for i := len(c.history) - 1; i >= 0; i-- {
		if !c.history[i].at.After(at) {
			return c.history[i].shares
		}
	}
	return nil
}

// level returns the level up to which all data centres are filled, as a part of their
// capacity: usualFill, or more if all of them together have more requests, and the number of
// data centres above it, which all look for room.
func level(sites []Site) (level float64, above int) {
	inFlight, capacity := 0.0, 0.0
	for _, s := range sites {
		inFlight += s.InFlight
		capacity += s.Capacity
	}
	level = usualFill
	if capacity > 0 {
		level = max(level, inFlight/capacity)
	}
	for _, s := range sites {
		if s.InFlight > level*s.Capacity {
			above++
		}
	}
	return level, above
}

// wanted returns the shares by which the demand of the local callers above the level goes to
// data centres below it. sent are the shares at the time of the knowledge.
func wanted(local Site, others []Site, sent map[string]float64, work Work) []Share {
	level, above := level(append([]Site{local}, others...))
	total := 0.0
	for _, s := range sent {
		total += s
	}
	// What is known shows the demand less what was sent away at that time.
	demand := max(local.InFlight, 1) / (1 - min(total, maxShare))
	rooms, allRoom := make([]float64, len(others)), 0.0
	for i, s := range others {
		if local.Capacity > 0 && !work.inTime(s.Delay) {
			continue
		}
		free := level*s.Capacity - s.InFlight
		if free > 0 {
			free /= float64(max(above, 1))
		}
		// What this data centre sends there has its place already.
		rooms[i] = max(free+min(sent[s.DataCentre]*demand, s.InFlight), 0)
		allRoom += rooms[i]
	}
	shares := make([]Share, len(others))
	for i, s := range others {
		shares[i].DataCentre, shares[i].room = s.DataCentre, rooms[i] > 0
		// Sending there pays off once the wait for a local server exceeds the additional
		// cost, that is, once there are so many times more requests than capacity.
		excess := demand - level*local.Capacity*work.factor(s.Delay)
		if excess > 0 && rooms[i] > 0 {
			shares[i].Wanted = excess * rooms[i] / max(allRoom, excess) / demand
		}
	}
	return shares
}

// setPenalties sets the penalties with which placement draws servers by the shares: the
// probability of a server falls with the power [placement.CostExponent] of its cost. Loads don't
// count in the draw, so that a higher share means a lower penalty however full this data centre is.
func setPenalties(shares []Share, local Site, others []Site, work Work) {
	idle := func(i int) float64 {
		if !shares[i].room {
			return 0
		}
		return idleShare * others[i].Weight
	}
	leaving, weight := 0.0, 0.0
	for i, s := range shares {
		leaving += s.Share
		weight += others[i].Weight
	}
	for i := range shares {
		if weight > 0 {
			leaving += idle(i) / weight
		}
	}
	for i := range shares {
		least := work.factor(others[i].Delay)
		most := max(maxPenalty, least)
		if local.Capacity <= 0 && shares[i].Wanted > 0 {
			shares[i].Penalty = least
			continue
		}
		shares[i].Penalty = most
		if others[i].Weight <= 0 || local.Weight <= 0 {
			continue
		}
		if share := shares[i].Share + idle(i)/weight; share > 0 {
			ratio := max(1-leaving, 0) / share * others[i].Weight / local.Weight
			shares[i].Penalty = min(max(math.Pow(ratio, 1.0/placement.CostExponent), least), most)
		}
	}
}
