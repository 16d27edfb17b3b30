package locality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
)

// The play runs in steps of a millisecond. Other work slows each server down fourfold for 300 ms,
// a quarter of the time. Instances know the state of all servers as it was an age ago, and, as in
// forward/refresh.go, read the present loads of up to six when they place a request.
const (
	playMS     = 7000
	playWarm   = 3000 // what callers get counts from here on: the first knowledge is up to a second late
	playWork   = 80.0
	playTarget = 300
	playLimit  = 1000
	playStates = 101 // kept, 10 ms apart
)

type playRequest struct{ instance, born, done int }

type playServer struct {
	site, slow, cold int // slow and cold are the ends of these states
	gone             bool
	running, wait    []*playRequest
}

type play struct {
	sites, servers, slots, instances int
	age                              int
	policy                           string
	// demand returns the demand of a data centre's callers as a part of its capacity.
	demand func(site, ms int) float64
	// away is the time in which data centre 0 is evacuated. Its servers are cold for a second
	// after that.
	away [2]int

	rng         *rand.Rand
	all         []playServer
	states      [playStates][]readings.Report
	own         [][]int // requests in flight by instance and server
	waiting     [][]*playRequest
	controllers []*Controller
	penalties   [][]float64
	// took holds the times of all requests, sent and left the requests of the callers of data
	// centre 0 in each half second and those of them that left it.
	took       []float64
	leaving    float64
	sent, left [playMS / 500]float64
}

func (p *play) report(s *playServer, ms int) readings.Report {
	r := readings.Report{Running: len(s.running), Waiting: len(s.wait), Slots: p.slots, SlowdownPercent: 100}
	if s.slow > ms {
		r.SlowdownPercent = 400
	}
	return r
}

func (p *play) candidate(instance, server, ms, age int) placement.Candidate {
	s := &p.all[server]
	c := placement.Candidate{Slots: p.slots, Cold: s.cold > ms, RemotePenalty: p.penalties[instance][s.site]}
	c.Load.OwnInFlight = p.own[instance][server]
	switch {
	case age == 0:
		c.Load.HasReport, c.Load.Report = true, p.report(s, ms)
	case ms > 0:
		age = min(age, ms)
		c.Load.HasReport, c.Load.Age = true, time.Duration(age)*time.Millisecond
		c.Load.Report = p.states[(ms-age)/10%playStates][server]
	}
	return c
}

func (p *play) decide(instance, ms int) {
	sites := make([]Site, p.sites)
	for i := range p.all {
		if s := &p.all[i]; !s.gone {
			c := p.candidate(instance, i, ms, p.age)
			c.RemotePenalty = 1
			sites[s.site].Add(c, placement.Assess([]placement.Candidate{c}, placement.Usual{})[0])
		}
	}
	for i := range sites {
		sites[i].DataCentre, sites[i].Delay = fmt.Sprint(i), time.Millisecond
	}
	work := Work{ServiceTime: playWork * time.Millisecond, Target: playTarget * time.Millisecond}
	for _, s := range p.controllers[instance].Decide(time.UnixMilli(int64(ms)), work, sites) {
		p.penalties[instance][s.DataCentre[0]-'0'] = s.Penalty
	}
}

// choose returns a server for a request, or -1: a promising one of three or of three others, else
// by old knowledge.
func (p *play) choose(instance, ms int) int {
	candidates := make([]placement.Candidate, len(p.all))
	for i := range p.all {
		candidates[i] = p.candidate(instance, i, ms, p.age)
		candidates[i].Quiet = p.all[i].gone || p.policy == "local" && p.all[i].site != instance%p.sites
	}
	assessed := placement.Assess(candidates, placement.UsualOf(candidates))
	if placement.SpareCapacity(assessed, math.Inf(1)) == 0 {
		return -1
	}
	rest := slices.Clone(assessed)
	for range 2 {
		read := make([]placement.Assessment, len(rest))
		for range 3 {
			if i := placement.ChooseBy(rest, math.Inf(1), p.rng.Float64); i >= 0 {
				rest[i].SpareCapacity = 0
				if a := placement.Assess([]placement.Candidate{p.candidate(instance, i, ms, 0)}, placement.Usual{})[0]; a.Promising() {
					read[i] = a
				}
			}
		}
		if i := placement.ChooseBy(read, math.Inf(1), p.rng.Float64); i >= 0 {
			return i
		}
	}
	return placement.ChooseBy(assessed, math.Inf(1), p.rng.Float64)
}

// finish counts a request that ends at the given time, or is refused if it has no server.
func (p *play) finish(r *playRequest, server, ms int) {
	if r.born < playWarm {
		return
	}
	took, site := float64(ms-r.born), r.instance%p.sites
	remote := server >= 0 && p.all[server].site != site
	if remote {
		took += 2
		p.leaving++
	}
	if site == 0 {
		p.sent[r.born/500]++
		if remote {
			p.left[r.born/500]++
		}
	}
	p.took = append(p.took, took)
}

func (p *play) work(i, ms int) {
	s := &p.all[i]
	if s.site == 0 && p.away[1] > 0 {
		s.gone = ms >= p.away[0] && ms < p.away[1]
		if ms == p.away[1] {
			s.cold = ms + 1000
		}
	}
	if p.rng.Float64() < 1.0/900 && s.slow <= ms {
		s.slow = ms + 300
	}
	s.running = slices.DeleteFunc(s.running, func(r *playRequest) bool {
		if r.done <= ms {
			p.own[r.instance][i]--
		}
		return r.done <= ms
	})
	for len(s.wait) > 0 && len(s.running) < p.slots {
		r := s.wait[0]
		s.wait, s.running = s.wait[1:], append(s.running, r)
		took := playWork * (0.5 + 0.5*p.rng.ExpFloat64())
		for _, slower := range []struct {
			is bool
			by float64
		}{{s.slow > ms, 4}, {s.cold > ms, 2}, {float64(len(s.running)) > 0.8*float64(p.slots), 1.7}} {
			if slower.is {
				took *= slower.by
			}
		}
		r.done = ms + max(int(took), 1)
		p.finish(r, i, r.done)
	}
}

func (p play) run() *play {
	p.rng = rand.New(rand.NewPCG(20261203, 6))
	p.all = make([]playServer, p.sites*p.servers)
	p.waiting = make([][]*playRequest, p.instances)
	for i := range p.all {
		p.all[i].site = i / p.servers
	}
	for i := range p.instances {
		p.own = append(p.own, make([]int, len(p.all)))
		p.controllers = append(p.controllers, NewController(fmt.Sprint(i%p.sites)))
		p.penalties = append(p.penalties, slices.Repeat([]float64{placement.DefaultRemotePenalty}, p.sites))
		if p.policy == "none" {
			p.penalties[i] = make([]float64, p.sites)
		}
		p.penalties[i][i%p.sites] = 1
	}
	for ms := range playMS {
		var state []readings.Report
		for i := range p.all {
			p.work(i, ms)
			state = append(state, p.report(&p.all[i], ms))
		}
		p.states[ms/10%playStates] = state
		for site := range min(p.sites, p.instances) {
			mean := p.demand(site, ms) * float64(p.servers*int(0.8*float64(p.slots))) / playWork
			for at := p.rng.ExpFloat64(); at < mean; at += p.rng.ExpFloat64() {
				instance := site + p.sites*p.rng.IntN((p.instances-site+p.sites-1)/p.sites)
				p.waiting[instance] = append(p.waiting[instance], &playRequest{instance: instance, born: ms})
			}
		}
		for i := range p.instances {
			if p.policy == "decision" && (ms+i)%int(Interval.Milliseconds()) == 0 {
				p.decide(i, ms)
			}
			p.waiting[i] = slices.DeleteFunc(p.waiting[i], func(r *playRequest) bool {
				if ms-r.born >= playLimit {
					p.finish(r, -1, ms)
					return true
				}
				if (ms-r.born)%25 != 0 {
					return false
				}
				server := p.choose(i, ms)
				if server >= 0 {
					p.own[i][server]++
					p.all[server].wait = append(p.all[server].wait, r)
				}
				return server >= 0
			})
		}
	}
	slices.Sort(p.took)
	return &p
}

func (p *play) inTime() float64 {
	late, _ := slices.BinarySearch(p.took, playTarget+1)
	return float64(late) / float64(len(p.took))
}

func (p *play) leaves() float64 { return p.leaving / float64(len(p.took)) }

// swing returns the greatest difference between the shares that leave data centre 0 in two
// successive half seconds.
func (p *play) swing() (most float64) {
	for i := playWarm/500 + 1; i < (playMS-playLimit)/500; i++ {
		most = max(most, math.Abs(p.left[i]/p.sent[i]-p.left[i-1]/p.sent[i-1]))
	}
	return most
}

func (p *play) String() string {
	sum := 0.0
	for _, t := range p.took {
		sum += t
	}
	n := len(p.took)
	return fmt.Sprintf("%d/%d age=%d %-8s in_time=%.3f mean=%.0f p90=%.0f leaves=%.3f swing=%.2f",
		p.sites, p.instances, p.age, p.policy, p.inTime(), sum/float64(n), p.took[n*9/10], p.leaves(), p.swing())
}

// TestPlay guards against instances that, each alone and with the same old knowledge, send too
// much to other data centres, too little, or first the one and then the other. Allowed are 0.01 of
// the requests in time less than with always-local, 0.05 less than without a penalty where local
// servers are too few, a tenth of the traffic without a penalty at moderate load, and a change of
// the share that leaves by 0.15 within a second of constant load, a third of it by chance.
func TestPlay(t *testing.T) {
	constant := func(all float64, first float64) func(int, int) float64 {
		return func(site, _ int) float64 {
			if site == 0 {
				return first
			}
			return all
		}
	}
	for _, size := range []play{
		{sites: 4, servers: 38, slots: 2, instances: 1, age: 50}, {sites: 4, servers: 38, slots: 2, instances: 39, age: 50},
		{sites: 3, servers: 60, slots: 3, instances: 103, age: 300},
		{sites: 3, servers: 60, slots: 3, instances: 103, age: 1000}, {sites: 4, servers: 38, slots: 2, instances: 472, age: 1000},
	} {
		for name, load := range map[string]struct {
			demand func(site, ms int) float64
			away   [2]int
		}{
			"moderate": {demand: constant(0.35, 0.35)},
			"few":      {demand: constant(0.25, 0.9)},
			"waves": {demand: func(site, ms int) float64 {
				return 0.4 * (1 + 0.55*math.Sin(math.Pi/2*(float64(ms)/1000-float64(site))))
			}},
			"move": {demand: func(site, ms int) float64 {
				if ms < 3500 || site > 1 {
					return 0.4
				}
				return 0.2 + 0.4*float64(site)
			}},
			"evacuated": {demand: constant(0.3, 0.3), away: [2]int{3500, 4500}},
		} {
			t.Run(fmt.Sprintf("%s/%d/%d", name, size.instances, size.age), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				run := func(policy string) *play {
					p := size
					p.policy, p.demand, p.away = policy, load.demand, load.away
					done := p.run()
					t.Log(done)
					return done
				}
				decision, local := run("decision"), run("local")
				g.Expect(decision.inTime()).To(gomega.BeNumerically(">=", local.inTime()-0.01), "against always-local")
				switch name {
				case "moderate":
					g.Expect(decision.leaves()).To(gomega.BeNumerically("<=", run("none").leaves()/10))
				case "few":
					g.Expect(decision.inTime()).To(gomega.BeNumerically(">=", run("none").inTime()-0.05), "against no penalty")
				}
				if name == "moderate" || name == "few" {
					g.Expect(decision.swing()).To(gomega.BeNumerically("<=", 0.15), "swing")
					run("constant")
				}
			})
		}
	}
}
