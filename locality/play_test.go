package locality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
)

// The play runs in steps of a millisecond. Other work slows each server down fourfold for 300 ms,
// a quarter of the time. Instances know the state of all servers and the backlogs of the others as
// they were an age ago. As in package forward, a request that finds nobody waiting chooses by the
// present loads of up to three pairs of servers drawn at random, and by old knowledge if none of
// these has room; requests that wait are sent by old knowledge, up to the instance's share of the
// spare capacity, and to the server where a request of the instance has just ended.
const (
	playMS       = 7000
	playWarm     = 3000 // what callers get counts from here on: the first knowledge is up to a second late
	playWork     = 80.0
	playTarget   = 300
	playLimit    = 1000
	playState    = 10 // interval of the states of which instances know
	playStates   = 101
	playDispatch = 25
	playRounds   = 3 // see refreshRounds and refreshCount in package forward
	playSample   = 2
)

type playRequest struct{ instance, born, sent, server, done int }

type playServer struct {
	site, slow, cold int // slow and cold are the ends of these states
	slows            int // the time of the next slowdown
	gone             bool
	running, wait    []*playRequest
}

type drawn struct {
	step     int
	assessed []placement.Assessment
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

	rng      *rand.Rand
	all      []playServer
	states   [playStates][]readings.Report
	backlogs [playStates][]admission.Counts // by instance
	sent     [][]*playRequest               // requests in flight by instance
	waiting  [][]*playRequest
	// due is the time at which something happens at each server.
	due []int
	// known is what all instances know of the servers, beside their own requests; usual, rated
	// and summed are derived from it.
	known  []placement.Candidate
	usual  placement.Usual
	rated  []placement.Assessment
	alike  []placement.Assessment // by the state of a server
	summed []Site
	// others is the sum of the known backlogs, of which own is each instance's.
	others      admission.Counts
	own         []admission.Counts
	assessed    []placement.Assessment // of the last call of assess
	drawn       []drawn                // by data centre of the instance
	controllers []*Controller
	penalties   [][]float64
	// took holds the times of all requests, arrived and left the requests of the callers of data
	// centre 0 in each half second and those of them that left it.
	took          []float64
	leaving       float64
	arrived, left [playMS / 500]float64
}

func (p *play) report(s *playServer, ms int) readings.Report {
	r := readings.Report{Running: len(s.running), Waiting: len(s.wait), Slots: p.slots, SlowdownPercent: 100}
	if s.slow > ms {
		r.SlowdownPercent = 400
	}
	return r
}

// learn replaces what the instances know.
func (p *play) learn(ms int) {
	at := ms / playState % playStates
	p.states[at] = p.states[at][:0]
	for i := range p.all {
		p.states[at] = append(p.states[at], p.report(&p.all[i], ms))
	}
	p.backlogs[at] = p.backlogs[at][:0]
	for _, waiting := range p.waiting {
		p.backlogs[at] = append(p.backlogs[at], counts(waiting, ms))
	}
	age := min(p.age, ms)
	then := (ms - age) / playState % playStates
	p.known = p.known[:0]
	for i := range p.all {
		c := placement.Candidate{Slots: p.slots, Cold: p.all[i].cold > ms, Quiet: p.all[i].gone}
		if ms > 0 {
			c.Load.HasReport, c.Load.Age, c.Load.Report = true, time.Duration(age)*time.Millisecond, p.states[then][i]
		}
		p.known = append(p.known, c)
	}
	// The directory leaves out evacuated servers; these are the first ones.
	present := 0
	for p.known[present].Quiet {
		present++
	}
	p.usual = placement.UsualOf(p.known[present:])
	p.rated, p.summed = p.rated[:0], make([]Site, p.sites)
	// Servers in the same state are rated once.
	clear(p.alike)
	for i := range p.known {
		c := &p.known[i]
		key := (c.Load.Running+c.Load.Waiting)*8 + c.Load.SlowdownPercent/400*4
		if c.Cold {
			key += 2
		}
		if c.Quiet {
			key++
		}
		for key >= len(p.alike) {
			p.alike = append(p.alike, placement.Assessment{})
		}
		a := &p.alike[key]
		if a.Time == 0 {
			*a = p.rate(*c)
		}
		p.rated = append(p.rated, *a)
		if !c.Quiet {
			p.summed[p.all[i].site].Add(*c, *a)
		}
	}
	p.own, p.others = p.backlogs[then], admission.Counts{}
	for _, c := range p.own {
		p.others.InTime, p.others.Late = p.others.InTime+c.InTime, p.others.Late+c.Late
	}
}

func late(r *playRequest, ms int) bool { return ms-r.born+playWork > playTarget }

// maxTime returns how much longer than usual the request may take.
func maxTime(r *playRequest, ms int) float64 {
	left := playTarget
	if late(r, ms) {
		left = playLimit
	}
	return float64(left-ms+r.born) / playWork
}

func counts(waiting []*playRequest, ms int) (c admission.Counts) {
	for _, r := range waiting {
		if late(r, ms) {
			c.Late++
		} else {
			c.InTime++
		}
	}
	return c
}

// assess rates all servers by what an instance knows, without penalties for other data centres.
func (p *play) assess(instance, ms int) []placement.Assessment {
	p.assessed = append(p.assessed[:0], p.rated...)
	p.reassess(instance, ms, func(server int, a placement.Assessment) { p.assessed[server] = a })
	return p.assessed
}

// reassess rates the servers on which an instance has requests.
func (p *play) reassess(instance, ms int, rated func(server int, a placement.Assessment)) {
	for _, r := range p.sent[instance] {
		c := &p.known[r.server]
		c.Load.OwnInFlight++
		if r.sent >= ms-p.age {
			c.Load.UnreportedInFlight++
		}
	}
	for _, r := range p.sent[instance] {
		if c := &p.known[r.server]; c.Load.OwnInFlight > 0 {
			rated(r.server, p.rate(*c))
			c.Load.OwnInFlight, c.Load.UnreportedInFlight = 0, 0
		}
	}
}

func (p *play) rate(c placement.Candidate) placement.Assessment {
	return placement.Assess([]placement.Candidate{c}, p.usual)[0]
}

// penalise applies an instance's penalty for another data centre.
func (p *play) penalise(a *placement.Assessment, instance, site int) {
	if p.policy == "local" && site != instance%p.sites {
		a.Closed, a.SpareCapacity = true, 0
	}
	a.RemotePenalty = max(p.penalties[instance][site], 1)
	a.Cost *= a.RemotePenalty
}

func (p *play) penaliseAll(assessed []placement.Assessment, instance int) {
	for i := range assessed {
		p.penalise(&assessed[i], instance, p.all[i].site)
	}
}

// drawable rates all servers for a draw, in which loads don't count. Without the decision, the
// instances of a data centre have the same penalties.
func (p *play) drawable(instance, ms int) []placement.Assessment {
	d := &p.drawn[instance%p.sites]
	if p.policy == "decision" || d.step != ms/playState+1 {
		d.step, d.assessed = ms/playState+1, append(d.assessed[:0], p.rated...)
		p.penaliseAll(d.assessed, instance)
	}
	return d.assessed
}

// candidates rates all servers by what an instance knows.
func (p *play) candidates(instance, ms int) []placement.Assessment {
	assessed := p.assess(instance, ms)
	p.penaliseAll(assessed, instance)
	return assessed
}

// look rates a server by its present load.
func (p *play) look(instance, server, ms int) placement.Assessment {
	s := &p.all[server]
	c := placement.Candidate{Slots: p.slots, Cold: s.cold > ms, Quiet: s.gone}
	c.Load.HasReport, c.Load.Report = true, p.report(s, ms)
	a := p.rate(c)
	p.penalise(&a, instance, s.site)
	return a
}

func (p *play) decide(instance, ms int) {
	// Of what [Site.Add] sums up, the instance's own requests change only those in flight.
	sites := slices.Clone(p.summed)
	p.reassess(instance, ms, func(server int, a placement.Assessment) {
		if !p.all[server].gone {
			sites[p.all[server].site].InFlight += float64(a.InFlight - p.rated[server].InFlight)
		}
	})
	for i := range sites {
		sites[i].DataCentre, sites[i].Delay = strconv.Itoa(i), time.Millisecond
	}
	work := Work{ServiceTime: playWork * time.Millisecond, Target: playTarget * time.Millisecond}
	for _, s := range p.controllers[instance].Decide(time.UnixMilli(int64(ms)), work, sites) {
		p.penalties[instance][s.DataCentre[0]-'0'] = s.Penalty
	}
}

// share is [admission.Share] with the random numbers of the play.
func (p *play) share(capacity, own, others int) int {
	if capacity <= 0 || own <= 0 || own+others <= capacity {
		return min(own, max(capacity, 0))
	}
	return min(int(float64(capacity)*float64(own)/float64(own+others)+p.rng.Float64()), own)
}

func (p *play) backlogOfOthers(instance int) admission.Counts {
	own := p.own[instance]
	return admission.Counts{InTime: p.others.InTime - own.InTime, Late: p.others.Late - own.Late}
}

// place sends a new request, or reports that it has to wait.
func (p *play) place(r *playRequest, ms int) bool {
	if len(p.waiting[r.instance]) > 0 {
		return false
	}
	var fresh []placement.Assessment
	var servers []int
	assessed := p.drawable(r.instance, ms)
	for round, promising := 0, false; round < playRounds && !promising && ms >= playState; round++ {
		for _, i := range placement.SampleBy(assessed, playSample, p.rng.Float64) {
			assessed[i].Closed = true
			a := p.look(r.instance, i, ms)
			fresh, servers = append(fresh, a), append(servers, i)
			promising = promising || a.Promising()
		}
	}
	for _, i := range servers {
		assessed[i].Closed = false
	}
	others := p.backlogOfOthers(r.instance)
	if others == (admission.Counts{}) {
		if i := placement.ChooseBy(fresh, maxTime(r, ms), p.rng.Float64); i >= 0 {
			return p.send(r, servers[i], ms)
		}
	}
	assessed = p.candidates(r.instance, ms)
	if p.share(placement.SpareCapacity(assessed, maxTime(r, ms)), 1, others.InTime) == 0 {
		return false
	}
	if i := placement.ChooseBy(fresh, maxTime(r, ms), p.rng.Float64); i >= 0 {
		return p.send(r, servers[i], ms)
	}
	server := placement.ChooseBy(assessed, maxTime(r, ms), p.rng.Float64)
	return server >= 0 && p.send(r, server, ms)
}

func (p *play) send(r *playRequest, server, ms int) bool {
	r.sent, r.server = ms, server
	p.sent[r.instance] = append(p.sent[r.instance], r)
	p.all[server].wait = append(p.all[server].wait, r)
	p.due[server] = 0
	return true
}

// dispatch sends waiting requests, up to the instance's share of the spare capacity.
func (p *play) dispatch(instance, ms int) {
	waiting := slices.DeleteFunc(p.waiting[instance], func(r *playRequest) bool {
		if ms-r.born < playLimit {
			return false
		}
		p.finish(r, -1, ms)
		return true
	})
	p.waiting[instance] = waiting
	if len(waiting) == 0 {
		return
	}
	p.order(waiting, ms)
	assessed, own, others := p.candidates(instance, ms), counts(waiting, ms), p.backlogOfOthers(instance)
	inTime := p.share(placement.SpareCapacity(assessed, maxTime(waiting[0], ms)), own.InTime, others.InTime)
	lateShare := p.share(placement.SpareCapacity(assessed, math.Inf(1))-own.InTime-others.InTime, own.Late, others.Late)
	p.waiting[instance] = slices.DeleteFunc(waiting, func(r *playRequest) bool {
		allowed := &inTime
		if late(r, ms) {
			allowed = &lateShare
		}
		server := -1
		if *allowed > 0 {
			server = placement.ChooseBy(assessed, maxTime(r, ms), p.rng.Float64)
		}
		if server < 0 {
			return false
		}
		*allowed--
		p.send(r, server, ms)
		assessed = p.candidates(instance, ms)
		return true
	})
}

// order sorts requests by time, those that can meet their target first.
func (p *play) order(waiting []*playRequest, ms int) {
	slices.SortStableFunc(waiting, func(a, b *playRequest) int {
		lateA, lateB := late(a, ms), late(b, ms)
		switch {
		case lateA && !lateB:
			return 1
		case lateB && !lateA:
			return -1
		}
		return a.born - b.born
	})
}

// freed sends the first waiting request to the server where another of the instance has ended.
func (p *play) freed(instance, server, ms int) {
	if len(p.waiting[instance]) == 0 || p.all[server].gone {
		return
	}
	p.order(p.waiting[instance], ms)
	assessed := []placement.Assessment{p.look(instance, server, ms)}
	for i, r := range p.waiting[instance] {
		if placement.ChooseBy(assessed, maxTime(r, ms), p.rng.Float64) >= 0 {
			p.send(r, server, ms)
			p.waiting[instance] = slices.Delete(p.waiting[instance], i, i+1)
			return
		}
	}
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
		p.arrived[r.born/500]++
		if remote {
			p.left[r.born/500]++
		}
	}
	p.took = append(p.took, took)
}

func (p *play) work(i, ms int) {
	s := &p.all[i]
	if ms == s.slows {
		s.slow = ms + 300
		s.slows = s.slow + p.steadyTime()
	}
	for at := 0; at < len(s.running); {
		r := s.running[at]
		if r.done > ms {
			at++
			continue
		}
		s.running = slices.Delete(s.running, at, at+1)
		own := p.sent[r.instance]
		index := slices.Index(own, r)
		p.sent[r.instance] = slices.Delete(own, index, index+1)
		p.freed(r.instance, i, ms)
	}
	for len(s.wait) > 0 && len(s.running) < p.slots {
		r := s.wait[0]
		s.wait, s.running = s.wait[1:], append(s.running, r)
		took := playWork * (0.5 + 0.5*p.rng.ExpFloat64())
		if s.slow > ms {
			took *= 4
		}
		if s.cold > ms {
			took *= 2
		}
		if float64(len(s.running)) > 0.8*float64(p.slots) {
			took *= 1.7
		}
		r.done = ms + max(int(took), 1)
		p.finish(r, i, r.done)
	}
	p.due[i] = s.slows
	for _, r := range s.running {
		p.due[i] = min(p.due[i], r.done)
	}
}

// evacuate changes the state of data centre 0.
func (p *play) evacuate(ms int) {
	for i := range p.all[:p.servers] {
		s := &p.all[i]
		s.gone = ms >= p.away[0] && ms < p.away[1]
		if ms == p.away[1] {
			s.cold = ms + 1000
		}
	}
}

// steadyTime returns a time between two slowdowns of a server.
func (p *play) steadyTime() int { return 1 + int(900*p.rng.ExpFloat64()) }

func (p play) run() *play {
	p.rng = rand.New(rand.NewPCG(20261203, 6))
	p.all = make([]playServer, p.sites*p.servers)
	p.due, p.drawn = make([]int, len(p.all)), make([]drawn, p.sites)
	p.waiting, p.sent = make([][]*playRequest, p.instances), make([][]*playRequest, p.instances)
	for i := range p.all {
		p.all[i].site, p.all[i].slows = i/p.servers, p.steadyTime()
	}
	for i := range p.instances {
		p.controllers = append(p.controllers, NewController(strconv.Itoa(i%p.sites)))
		p.penalties = append(p.penalties, slices.Repeat([]float64{placement.DefaultRemotePenalty}, p.sites))
		if p.policy == "none" {
			p.penalties[i] = make([]float64, p.sites)
		}
		p.penalties[i][i%p.sites] = 1
	}
	for ms := range playMS {
		if p.away[1] > 0 {
			p.evacuate(ms)
		}
		for i, due := range p.due {
			if ms >= due {
				p.work(i, ms)
			}
		}
		if ms%playState == 0 {
			p.learn(ms)
		}
		for i := range p.instances {
			if p.policy == "decision" && (ms+i)%int(Interval.Milliseconds()) == 0 {
				p.decide(i, ms)
			}
			if len(p.waiting[i]) > 0 && (ms+i)%playDispatch == 0 {
				p.dispatch(i, ms)
			}
		}
		for site := range min(p.sites, p.instances) {
			mean := p.demand(site, ms) * float64(p.servers*int(0.8*float64(p.slots))) / playWork
			for at := p.rng.ExpFloat64(); at < mean; at += p.rng.ExpFloat64() {
				instance := site + p.sites*p.rng.IntN((p.instances-site+p.sites-1)/p.sites)
				r := &playRequest{instance: instance, born: ms}
				if !p.place(r, ms) {
					p.waiting[instance] = append(p.waiting[instance], r)
				}
			}
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
		most = max(most, math.Abs(p.left[i]/p.arrived[i]-p.left[i-1]/p.arrived[i-1]))
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
