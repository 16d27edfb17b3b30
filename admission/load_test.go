package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
)

// The load that is played: a burst to about the capacity of servers whose
// machines are in a spell of other load a third of the time, seen by all instances
// through readings that are up to two intervals old.
const (
	step          = 5 * time.Millisecond
	readEvery     = 50 * time.Millisecond
	spellEvery    = 300 * time.Millisecond
	spellShare    = 0.35
	spellTime     = 4.0
	fullTime      = 1.7
	slots         = 6
	serverCount   = 14
	instanceCount = 18
	meanWork      = 120 * time.Millisecond
	target        = 300 * time.Millisecond
	deadline      = 1200 * time.Millisecond
	perSecond     = 330
	played        = 20 * time.Second
)

type job struct {
	admission.Waiting
	began time.Time
	// left is the work left, on an idle machine without other load.
	left time.Duration
}

type machine struct {
	running, queued []*job
	slow            bool
	// report is what the last reading told, unseen what each instance has sent
	// since.
	report readings.Report
	at     time.Time
	unseen [instanceCount]int
}

// play runs the load with a policy and returns the shares of requests that were
// answered within their target and within their deadline.
func play(queueing bool) (inTarget, answered float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	machines := make([]*machine, serverCount)
	for i := range machines {
		machines[i] = &machine{}
	}
	waiting := make([][]*job, instanceCount)
	now := time.Unix(0, 0)
	total, good, late := 0, 0, 0
	for tick := 0; time.Duration(tick)*step < played; tick++ {
		at := time.Duration(tick) * step
		for _, m := range machines {
			if at%spellEvery == 0 {
				m.slow = rng.Float64() < spellShare
			}
			for _, done := range m.work() {
				if now.Before(done.Target) {
					good++
				} else if now.Before(done.Deadline) {
					late++
				}
			}
			if at%readEvery == 0 {
				m.read(now)
			}
		}
		for range poisson(rng, perSecond*step.Seconds()) {
			total++
			j := &job{began: now, left: time.Duration(float64(meanWork) * (0.7 + 0.6*rng.Float64()))}
			j.Target, j.Deadline = now.Add(target), now.Add(deadline)
			i := rng.IntN(instanceCount)
			waiting[i] = append(waiting[i], j)
		}
		if !queueing {
			sendAtOnce(machines, waiting, now)
		} else if at%(25*time.Millisecond) == 0 {
			dispatch(machines, waiting, now)
		}
		now = now.Add(step)
	}
	return float64(good) / float64(total), float64(good+late) / float64(total)
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

// work runs the machine for one step and returns the jobs that ended.
func (m *machine) work() []*job {
	rate := 1.0
	if m.slow {
		rate /= spellTime
	}
	if float64(len(m.running)) > 0.8*slots {
		rate /= fullTime
	}
	var done []*job
	m.running = slices.DeleteFunc(m.running, func(j *job) bool {
		j.left -= time.Duration(rate * float64(step))
		if j.left <= 0 {
			done = append(done, j)
		}
		return j.left <= 0
	})
	for len(m.running) < slots && len(m.queued) > 0 {
		m.running, m.queued = append(m.running, m.queued[0]), m.queued[1:]
	}
	return done
}

func (m *machine) read(now time.Time) {
	m.report = readings.Report{Running: len(m.running), Waiting: len(m.queued), Slots: slots, Slowness: 100}
	if m.slow {
		m.report.Slowness = 100 * spellTime
	}
	m.at, m.unseen = now, [instanceCount]int{}
}

func assess(machines []*machine, instance int, now time.Time) []placement.Assessment {
	var candidates []placement.Candidate
	for _, m := range machines {
		candidates = append(candidates, placement.Candidate{Load: readings.Load{
			Known: true, Report: m.report, Age: now.Sub(m.at), Unseen: m.unseen[instance],
		}})
	}
	return placement.Assess(candidates)
}

func (m *machine) take(j *job, instance int) {
	m.unseen[instance]++
	m.queued = append(m.queued, j)
}

// sendAtOnce sends each request to the server that looks best.
func sendAtOnce(machines []*machine, waiting [][]*job, now time.Time) {
	for i := range waiting {
		for _, j := range waiting[i] {
			assessed := assess(machines, i, now)
			best := 0
			for n, a := range assessed {
				if a.Cost < assessed[best].Cost {
					best = n
				}
			}
			machines[best].take(j, i)
		}
		waiting[i] = nil
	}
}

// dispatch sends each instance's share of the room.
func dispatch(machines []*machine, waiting [][]*job, now time.Time) {
	backlogs := make([]admission.Counts, instanceCount)
	var all admission.Counts
	for i := range waiting {
		waiting[i] = slices.DeleteFunc(waiting[i], func(j *job) bool { return j.Hopeless(now, meanWork) })
		for _, j := range waiting[i] {
			if j.Late(now, meanWork) {
				backlogs[i].Late++
			} else {
				backlogs[i].InTime++
			}
		}
		all.InTime += backlogs[i].InTime
		all.Late += backlogs[i].Late
	}
	for i := range waiting {
		own := backlogs[i]
		others := admission.Counts{InTime: all.InTime - own.InTime, Late: all.Late - own.Late}
		admission.Sort(waiting[i], func(j *job) admission.Waiting { return j.Waiting }, now, meanWork)
		var may admission.Counts
		for n, j := range waiting[i] {
			within := float64(j.Target.Sub(now)) / float64(meanWork)
			if n == 0 {
				may = admission.Shares(placement.SpareCapacity(assess(machines, i, now), within), own, others)
			}
			allowed := &may.InTime
			if j.Late(now, meanWork) {
				allowed, within = &may.Late, float64(j.Deadline.Sub(now))/float64(meanWork)
			}
			if *allowed == 0 {
				continue
			}
			if at := placement.Choose(assess(machines, i, now), within); at >= 0 {
				*allowed--
				machines[at].take(j, i)
				waiting[i][n] = nil
			}
		}
		waiting[i] = slices.DeleteFunc(waiting[i], func(j *job) bool { return j == nil })
	}
}

// TestCallersGetMoreInTimeUnderOverload compares queueing at the instances with
// sending every request at once to the server that looks best.
func TestCallersGetMoreInTimeUnderOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	atOnce, answeredAtOnce := play(false)
	queued, answered := play(true)
	t.Logf("in target: %.2f at once, %.2f queued; answered: %.2f and %.2f", atOnce, queued, answeredAtOnce, answered)
	g.Expect(queued).To(gomega.BeNumerically(">", 1.5*atOnce))
	g.Expect(answered).To(gomega.BeNumerically(">=", answeredAtOnce))
}
