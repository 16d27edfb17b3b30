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

// The simulated load: a burst up to about the capacity of servers that are slowed
// down by other workloads a third of the time. All instances see the servers
// through load reports that are up to two intervals old.
const (
	step                = 5 * time.Millisecond
	reportInterval      = 50 * time.Millisecond
	slowdownInterval    = 300 * time.Millisecond
	slowdownProbability = 0.35
	slowdownFactor      = 4.0
	nearlyFullFactor    = 1.7
	slotCount           = 6
	serverCount         = 14
	instanceCount       = 18
	meanServiceTime     = 120 * time.Millisecond
	target              = 300 * time.Millisecond
	deadline            = 1200 * time.Millisecond
	requestsPerSecond   = 330
	simulatedTime       = 20 * time.Second
)

type job struct {
	admission.Request
	arrived time.Time
	// left is the remaining time on an idle machine without other load.
	left time.Duration
}

type machine struct {
	running, queued []*job
	slow            bool
	// report is the last load report, unseen the number of requests that each
	// instance has sent since.
	report readings.Report
	at     time.Time
	unseen [instanceCount]int
}

// simulate runs the load, with queueing at the instances or without, and returns
// the shares of requests that completed by their target and by their deadline.
func simulate(queueing bool) (byTarget, byDeadline float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	machines := make([]*machine, serverCount)
	for i := range machines {
		machines[i] = &machine{}
	}
	queued := make([][]*job, instanceCount)
	now := time.Unix(0, 0)
	total, good, late := 0, 0, 0
	for tick := 0; time.Duration(tick)*step < simulatedTime; tick++ {
		at := time.Duration(tick) * step
		for _, m := range machines {
			if at%slowdownInterval == 0 {
				m.slow = rng.Float64() < slowdownProbability
			}
			for _, done := range m.advance() {
				if now.Before(done.Target) {
					good++
				} else if now.Before(done.Deadline) {
					late++
				}
			}
			if at%reportInterval == 0 {
				m.publishReport(now)
			}
		}
		for range poisson(rng, requestsPerSecond*step.Seconds()) {
			total++
			j := &job{arrived: now, left: time.Duration(float64(meanServiceTime) * (0.7 + 0.6*rng.Float64()))}
			j.Target, j.Deadline = now.Add(target), now.Add(deadline)
			i := rng.IntN(instanceCount)
			queued[i] = append(queued[i], j)
		}
		if !queueing {
			sendAtOnce(machines, queued, now)
		} else if at%(25*time.Millisecond) == 0 {
			dispatch(machines, queued, now)
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

// advance runs the machine for one step and returns the completed jobs.
func (m *machine) advance() []*job {
	rate := 1.0
	if m.slow {
		rate /= slowdownFactor
	}
	if float64(len(m.running)) > 0.8*slotCount {
		rate /= nearlyFullFactor
	}
	var done []*job
	m.running = slices.DeleteFunc(m.running, func(j *job) bool {
		j.left -= time.Duration(rate * float64(step))
		if j.left <= 0 {
			done = append(done, j)
		}
		return j.left <= 0
	})
	for len(m.running) < slotCount && len(m.queued) > 0 {
		m.running, m.queued = append(m.running, m.queued[0]), m.queued[1:]
	}
	return done
}

func (m *machine) publishReport(now time.Time) {
	m.report = readings.Report{Running: len(m.running), Waiting: len(m.queued), Slots: slotCount, SlowdownPercent: 100}
	if m.slow {
		m.report.SlowdownPercent = 100 * slowdownFactor
	}
	m.at, m.unseen = now, [instanceCount]int{}
}

func assess(machines []*machine, instance int, now time.Time) []placement.Assessment {
	var candidates []placement.Candidate
	for _, m := range machines {
		candidates = append(candidates, placement.Candidate{Load: readings.Load{
			HasReport: true, Report: m.report, Age: now.Sub(m.at), UnreportedInFlight: m.unseen[instance],
		}})
	}
	return placement.Assess(candidates, placement.UsualOf(candidates))
}

func (m *machine) enqueue(j *job, instance int) {
	m.unseen[instance]++
	m.queued = append(m.queued, j)
}

// sendAtOnce sends each request immediately to the server with the lowest cost.
func sendAtOnce(machines []*machine, queued [][]*job, now time.Time) {
	for i := range queued {
		for _, j := range queued[i] {
			assessed := assess(machines, i, now)
			cheapest := 0
			for n, a := range assessed {
				if a.Cost < assessed[cheapest].Cost {
					cheapest = n
				}
			}
			machines[cheapest].enqueue(j, i)
		}
		queued[i] = nil
	}
}

// dispatch sends each instance's share of the spare capacity.
func dispatch(machines []*machine, queued [][]*job, now time.Time) {
	backlogs := make([]admission.Counts, instanceCount)
	var all admission.Counts
	for i := range queued {
		queued[i] = slices.DeleteFunc(queued[i], func(j *job) bool { return j.MissesDeadline(now, meanServiceTime) })
		for _, j := range queued[i] {
			if j.Late(now, meanServiceTime) {
				backlogs[i].Late++
			} else {
				backlogs[i].InTime++
			}
		}
		all.InTime += backlogs[i].InTime
		all.Late += backlogs[i].Late
	}
	for i := range queued {
		own := backlogs[i]
		others := admission.Counts{InTime: all.InTime - own.InTime, Late: all.Late - own.Late}
		admission.Sort(queued[i], func(j *job) admission.Request { return j.Request }, now, meanServiceTime)
		var allowance admission.Counts
		for n, j := range queued[i] {
			maxTime := float64(j.Target.Sub(now)) / float64(meanServiceTime)
			if n == 0 {
				allowance = admission.Shares(placement.SpareCapacity(assess(machines, i, now), maxTime), own, others)
			}
			allowed := &allowance.InTime
			if j.Late(now, meanServiceTime) {
				allowed, maxTime = &allowance.Late, float64(j.Deadline.Sub(now))/float64(meanServiceTime)
			}
			if *allowed == 0 {
				continue
			}
			if at := placement.Choose(assess(machines, i, now), maxTime); at >= 0 {
				*allowed--
				machines[at].enqueue(j, i)
				queued[i][n] = nil
			}
		}
		queued[i] = slices.DeleteFunc(queued[i], func(j *job) bool { return j == nil })
	}
}

// TestQueueingMeetsMoreTargetsUnderOverload compares queueing at the instances with
// sending every request immediately, which overfills servers and slows down the
// requests that run there.
func TestQueueingMeetsMoreTargetsUnderOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	atOnce, completedAtOnce := simulate(false)
	inTime, completed := simulate(true)
	t.Logf("by target: %.2f at once, %.2f queued; by deadline: %.2f and %.2f", atOnce, inTime, completedAtOnce, completed)
	g.Expect(inTime).To(gomega.BeNumerically(">", 1.5*atOnce))
	g.Expect(completed).To(gomega.BeNumerically(">=", completedAtOnce))
}
