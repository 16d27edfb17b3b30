package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
)

// The simulated overload: workspaces with sizes by a Zipf law, a few of them at many times
// their usual load, of which their caps let 1.6 times through; all together send 1.2 times
// what the servers can take.
const (
	workspaceCount   = 74
	zipfExponent     = 1.2
	hotFactor        = 5.0
	capFactor        = 1.6
	overloadFactor   = 1.2
	servedPerSecond  = 500
	fairTick         = 25 * time.Millisecond
	fairTime         = 60 * time.Second
	fairService      = 100 * time.Millisecond
	fairTarget       = 400 * time.Millisecond
	fairDeadline     = 1200 * time.Millisecond
	fairMinQueue     = 2
	fairMaxWaitShare = 0.5
	fairMinLateShare = 0.2
)

// hotWorkspaces are a large, a middle and a small workspace.
var hotWorkspaces = []int{1, 9, 39}

type fairLoad struct {
	instances int
	// callerInstances is the number of instances on which the callers of a workspace sit; 0
	// if they are spread over all.
	callerInstances int
	fair            bool
}

// fairResult is what the callers of each workspace sent within its cap and what was served in
// time and by the deadline.
type fairResult struct {
	sent, inTime, served [workspaceCount]int
}

func (r fairResult) rate(w int) float64 { return float64(r.served[w]) / float64(r.sent[w]) }

func (r fairResult) total() (served int, rate, inTime float64) {
	sent, good := 0, 0
	for w := range workspaceCount {
		sent, served, good = sent+r.sent[w], served+r.served[w], good+r.inTime[w]
	}
	return served, float64(served) / float64(sent), float64(good) / float64(sent)
}

// rateOf returns the part served of all requests of the hot workspaces, or of the others.
func (r fairResult) rateOf(hot bool) float64 {
	sent, served := 0, 0
	for w := range workspaceCount {
		if slices.Contains(hotWorkspaces, w) == hot {
			sent, served = sent+r.sent[w], served+r.served[w]
		}
	}
	return float64(served) / float64(sent)
}

type fairJob struct {
	admission.Request
	workspace int
}

func (j *fairJob) request() admission.Request { return j.Request }

// fairQueue is the queue of one instance, with the estimates by which it refuses requests.
type fairQueue struct {
	jobs           []*fairJob
	fair           admission.Fair
	rate, lateRate float64
	sent, sentLate int
}

func (q *fairQueue) admit(j *fairJob, now time.Time) {
	place := admission.Locate(&q.fair, q.jobs, (*fairJob).request, j.Request, now, fairService)
	rate := q.rate
	if j.Late(now, fairService) {
		rate = max(q.lateRate, fairMinLateShare*q.rate)
	}
	wait := admission.EstimateWait(max(place.Ahead-fairMinQueue, 0), rate)
	if wait <= time.Duration(fairMaxWaitShare*float64(j.Deadline.Sub(now)-fairService)) {
		q.jobs = append(q.jobs, j)
	}
}

func (q *fairQueue) counts(now time.Time) admission.Counts {
	var c admission.Counts
	for _, j := range q.jobs {
		if j.Late(now, fairService) {
			c.Late++
		} else {
			c.InTime++
		}
	}
	return c
}

// dispatch sends the instance's share of the capacity and returns the number sent.
func (q *fairQueue) dispatch(capacity int, others admission.Counts, now time.Time, rng *rand.Rand, result *fairResult) int {
	own := q.counts(now)
	allowance := admission.Counts{
		InTime: admission.ShareRounded(capacity, own.InTime, others.InTime, rng.Float64()),
		Late:   admission.ShareRounded(capacity-own.InTime-others.InTime, own.Late, others.Late, rng.Float64()),
	}
	admission.SortFair(&q.fair, q.jobs, (*fairJob).request, now, fairService)
	q.sent, q.sentLate = 0, 0
	q.jobs = slices.DeleteFunc(q.jobs, func(j *fairJob) bool {
		late := j.Late(now, fairService)
		allowed := &allowance.InTime
		if late {
			allowed = &allowance.Late
		}
		if *allowed <= 0 {
			return false
		}
		*allowed--
		q.fair.Sent(j.Request, now, fairService)
		q.sent++
		result.served[j.workspace]++
		if late {
			q.sentLate++
		} else {
			result.inTime[j.workspace]++
		}
		return true
	})
	if len(q.jobs) == 0 {
		q.fair.Forget(now)
	}
	q.rate += 0.05 * (float64(q.sent)/fairTick.Seconds() - q.rate)
	q.lateRate += 0.05 * (float64(q.sentLate)/fairTick.Seconds() - q.lateRate)
	return q.sent
}

// usualDemand returns the usual requests per second of the workspaces, at which all, with
// the surplus of the hot ones that their caps let through, send overloadFactor times the
// capacity.
func usualDemand() (usual [workspaceCount]float64) {
	sum := 0.0
	for w := range usual {
		usual[w] = math.Pow(float64(w+1), -zipfExponent)
		sum += usual[w] * demandFactor(w)
	}
	for w := range usual {
		usual[w] *= overloadFactor * servedPerSecond / sum
	}
	return usual
}

func demandFactor(w int) float64 {
	if slices.Contains(hotWorkspaces, w) {
		return min(hotFactor, capFactor)
	}
	return 1
}

// play runs the load and returns what callers got.
func (l fairLoad) play(seed uint64) fairResult {
	rng := rand.New(rand.NewPCG(seed, 5))
	usual := usualDemand()
	meanCap := 0.0
	for _, u := range usual {
		meanCap += capFactor * u / workspaceCount
	}
	queues := make([]fairQueue, l.instances)
	for i := range queues {
		queues[i].rate = servedPerSecond / float64(l.instances)
	}
	var result fairResult
	now, capacity := time.Unix(0, 0), 0.0
	for range int(fairTime / fairTick) {
		now = now.Add(fairTick)
		for w, u := range usual {
			for range poisson(rng, u*demandFactor(w)*fairTick.Seconds()) {
				result.sent[w]++
				// Arrivals are spread over the tick that ends now.
				at := now.Add(-time.Duration(rng.Float64() * float64(fairTick)))
				j := &fairJob{workspace: w, Request: admission.Request{Target: at.Add(fairTarget), Deadline: at.Add(fairDeadline)}}
				if l.fair {
					j.Workspace, j.Weight = fmt.Sprint(w), capFactor*u/meanCap
				}
				i := rng.IntN(l.instances)
				if l.callerInstances > 0 {
					i = (w*7 + rng.IntN(l.callerInstances)) % l.instances
				}
				queues[i].admit(j, now)
			}
		}
		var all admission.Counts
		backlogs := make([]admission.Counts, len(queues))
		for i := range queues {
			q := &queues[i]
			q.jobs = slices.DeleteFunc(q.jobs, func(j *fairJob) bool { return j.MissesDeadline(now, fairService) })
			backlogs[i] = q.counts(now)
			all.InTime, all.Late = all.InTime+backlogs[i].InTime, all.Late+backlogs[i].Late
		}
		// Capacity that is not used is lost, except that freed in the present tick.
		capacity = min(capacity, 0) + servedPerSecond*fairTick.Seconds()
		available := int(capacity + rng.Float64())
		for i := range queues {
			own := backlogs[i]
			others := admission.Counts{InTime: all.InTime - own.InTime, Late: all.Late - own.Late}
			// Shares are rounded at random; what they exceed the capacity by is missing later.
			capacity -= float64(queues[i].dispatch(available, others, now, rng, &result))
		}
	}
	return result
}

// TestHotWorkspacesLoseFirst plays the overload with the rule and without it. It guards against
// workspaces that lose requests because others send many times their usual load, and against
// capacity that the rule wastes.
func TestHotWorkspacesLoseFirst(t *testing.T) {
	for _, instances := range []int{1, 18, 103} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			g := gomega.NewWithT(t)
			without := fairLoad{instances: instances}.play(1)
			with := fairLoad{instances: instances, fair: true}.play(1)
			servedWithout, _, _ := without.total()
			served, rate, _ := with.total()
			logResult(t, "without", without)
			logResult(t, "with", with)
			for w := range workspaceCount {
				if !slices.Contains(hotWorkspaces, w) {
					g.Expect(with.rate(w)).To(gomega.BeNumerically(">=", 0.5*rate), "workspace %d of %d requests", w, with.sent[w])
				}
			}
			g.Expect(with.rateOf(false)).To(gomega.BeNumerically(">", without.rateOf(false)), "others gain")
			g.Expect(with.rateOf(true)).To(gomega.BeNumerically("<", with.rateOf(false)), "hot workspaces lose first")
			g.Expect(with.rateOf(true)).To(gomega.BeNumerically("<", without.rateOf(true)), "hot workspaces lose more than without the rule")
			g.Expect(float64(served)).To(gomega.BeNumerically(">=", 0.99*float64(servedWithout)), "all served")
		})
	}
}

// TestCallersOnFewInstances guards against workspaces that get less than half of what all get
// when the callers of each sit on a few instances, so that hot ones draw capacity there.
func TestCallersOnFewInstances(t *testing.T) {
	for _, c := range []struct {
		fairLoad
		seed uint64
	}{
		{fairLoad{instances: 18, callerInstances: 3}, 1},
		{fairLoad{instances: 103, callerInstances: 8}, 1},
		{fairLoad{instances: 18, callerInstances: 3}, 2},
		{fairLoad{instances: 103, callerInstances: 8}, 2},
	} {
		t.Run(fmt.Sprint(c.instances, "/", c.seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			without := c.play(c.seed)
			c.fair = true
			with := c.play(c.seed)
			logResult(t, "without", without)
			logResult(t, "with", with)
			servedWithout, _, _ := without.total()
			served, rate, _ := with.total()
			for w := range workspaceCount {
				if !slices.Contains(hotWorkspaces, w) {
					g.Expect(with.rate(w)).To(gomega.BeNumerically(">=", 0.5*rate), "workspace %d of %d requests", w, with.sent[w])
				}
			}
			g.Expect(float64(served)).To(gomega.BeNumerically(">=", 0.99*float64(servedWithout)), "all served")
		})
	}
}

func logResult(t *testing.T, rule string, r fairResult) {
	t.Helper()
	served, rate, inTime := r.total()
	worst := 0
	for w := range workspaceCount {
		if !slices.Contains(hotWorkspaces, w) && (slices.Contains(hotWorkspaces, worst) || r.rate(w) < r.rate(worst)) {
			worst = w
		}
	}
	t.Logf("%s: %d served, %.3f of all, %.3f in time; hot %.3f, others %.3f, the worst of them %.3f (%d requests)",
		rule, served, rate, inTime, r.rateOf(true), r.rateOf(false), r.rate(worst), r.sent[worst])
}
