package readings

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// fleet plays instances that send to one limited or cold server whenever they may.
type fleet struct {
	boards []*Board
	now    time.Time
	// known is the number of instances that a new board knows of.
	known int
	// teach tells a new process of the limit or the warm-up of the server.
	teach func(b *Board)
	// bound is the number of requests that the server may get in any span.
	bound int
	span  time.Duration
	sent  []time.Time
	// reports are the results on their way to the other instances.
	reports []report
}

type report struct {
	from int
	due  time.Time
}

const (
	fleetTick   = 10 * time.Millisecond
	limitSpan   = 4 * time.Second
	limitedName = "limited"
)

func newFleet(instances int, limit float64) *fleet {
	f := &fleet{boards: make([]*Board, instances), now: time.Now(), known: instances, span: limitSpan}
	f.bound = int(1.5*limit*limitSpan.Seconds() + 5)
	f.teach = func(b *Board) {
		b.RecordLimit(limitedName, Limit{Named: true, PerSecond: limit}, false, f.now)
	}
	for i := range f.boards {
		f.restart(i)
	}
	return f
}

// restart replaces an instance by a new process.
func (f *fleet) restart(i int) {
	f.boards[i] = NewBoard()
	f.boards[i].ShareLimits(func() int { return f.known })
	f.teach(f.boards[i])
}

// play lets the instances for which busy returns true send for some time. The others learn of
// what they sent after the delay; with a negative one they don't.
func (f *fleet) play(span, delay time.Duration, busy func(i int) bool) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(fleetTick) {
		for len(f.reports) > 0 && !f.now.Before(f.reports[0].due) {
			for i, b := range f.boards {
				if i != f.reports[0].from {
					b.ReceiveResults(Results{Server: KeyOf(limitedName), Good: 1}, f.now)
				}
			}
			f.reports = f.reports[1:]
		}
		for i, b := range f.boards {
			if busy(i) && b.Load(limitedName, f.now).Permitted {
				b.Began(limitedName, f.now)
				f.sent = append(f.sent, f.now)
				if delay >= 0 {
					f.reports = append(f.reports, report{from: i, due: f.now.Add(delay)})
				}
			}
		}
	}
}

// most returns the largest number of requests in any span.
func (f *fleet) most() int {
	most, from := 0, 0
	for i := range f.sent {
		for f.sent[i].Sub(f.sent[from]) > f.span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func all(int) bool { return true }

// TestFleetOfAnySizeKeepsALimit guards against shares that are rounded up to one request each.
func TestFleetOfAnySizeKeepsALimit(t *testing.T) {
	for _, instances := range []int{1, 2, 18, 472} {
		for name, play := range map[string]func(f *fleet){
			"all busy": func(f *fleet) { f.play(20*time.Second, 300*time.Millisecond, all) },
			"after idle": func(f *fleet) {
				f.play(20*time.Second, 0, func(int) bool { return false })
				f.play(8*time.Second, 300*time.Millisecond, all)
			},
			"half frozen": func(f *fleet) {
				f.play(8*time.Second, 300*time.Millisecond, func(i int) bool { return i%2 == 0 })
				f.play(8*time.Second, 300*time.Millisecond, all)
			},
			"restarted each second": func(f *fleet) {
				for range 12 {
					for i := range f.boards {
						f.restart(i)
					}
					f.play(time.Second, 300*time.Millisecond, all)
				}
			},
		} {
			t.Run(fmt.Sprintf("%s/%d", name, instances), func(t *testing.T) {
				f := newFleet(instances, 3)
				play(f)
				gomega.NewWithT(t).Expect(f.most()).To(gomega.BeNumerically("<=", f.bound))
			})
		}
	}
}

// TestInstancesThatAreCutOffKeepALimit guards against shares that are right only as long as
// each instance hears of what the others send.
func TestInstancesThatAreCutOffKeepALimit(t *testing.T) {
	for _, instances := range []int{2, 18, 472} {
		f := newFleet(instances, 30)
		f.play(20*time.Second, -1, all)
		gomega.NewWithT(t).Expect(f.most()).To(gomega.BeNumerically("<=", f.bound))
	}
}

// TestLimitIsUsed guards against shares so small that a service whose servers all name limits
// is hardly served.
func TestLimitIsUsed(t *testing.T) {
	const limit = 3
	f := newFleet(18, limit)
	f.play(60*time.Second, 300*time.Millisecond, all)
	gomega.NewWithT(t).Expect(len(f.sent)).To(gomega.BeNumerically(">", int(0.4*60*limit)))
}

func TestUnusedPermitsLapse(t *testing.T) {
	f := newFleet(472, 3)
	f.play(20*time.Second, -1, func(int) bool { return false })
	f.play(fleetTick, -1, all)
	gomega.NewWithT(t).Expect(len(f.sent)).To(gomega.BeNumerically("<=", 12))
}

func TestLimitIsInForceAsLongAsItIsNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	none := Limit{Named: true}
	change, changed := b.RecordLimit("s", none, false, now)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(change.Before).To(gomega.Equal(Limit{}))
	g.Expect(b.Load("s", now).Permitted).To(gomega.BeFalse())
	_, changed = b.RecordLimit("s", none, false, now.Add(time.Second))
	g.Expect(changed).To(gomega.BeFalse())
	_, changed = b.ReceiveLimit("s", Limit{}, now)
	g.Expect(changed).To(gomega.BeFalse(), "older than the own answer")
	_, changed = b.RecordLimit("s", Limit{}, true, now.Add(2*time.Second))
	g.Expect(changed).To(gomega.BeFalse(), "its status checks never named a limit")
	g.Expect(b.Load("s", now.Add(2*time.Second)).Permitted).To(gomega.BeFalse())
	_, changed = b.RecordLimit("s", Limit{}, false, now.Add(3*time.Second))
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(b.Load("s", now.Add(3*time.Second)).Permitted).To(gomega.BeTrue())
}

// TestSlowChangeOfALimitIsReported guards against a limit that falls in steps too small to be
// reported, so that the other instances go on with the first one.
func TestSlowChangeOfALimitIsReported(t *testing.T) {
	b := NewBoard()
	now := time.Now()
	reported, limit := 0.0, 100.0
	for range 50 {
		limit *= 1 - minLimitStep/2
		now = now.Add(time.Second)
		if change, changed := b.RecordLimit("s", Limit{Named: true, PerSecond: limit}, false, now); changed {
			reported = change.Limit.PerSecond
		}
		gomega.NewWithT(t).Expect(reported).To(gomega.BeNumerically("<=", limit*(1+2*minLimitStep)))
	}
}

// TestProbesOfLimitedServersTakePermits guards against instances that try their links at
// servers under a limit as often as at others.
func TestProbesOfLimitedServersTakePermits(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	g.Expect(b.TakePermit("s", now)).To(gomega.BeTrue())
	const limit, seconds = 2, 1000
	b.RecordLimit("s", Limit{Named: true, PerSecond: limit}, false, now)
	taken := 0
	for range seconds * 100 {
		if now = now.Add(10 * time.Millisecond); b.TakePermit("s", now) {
			taken++
		}
	}
	g.Expect(taken).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", limit*seconds)))
}

func TestLimitedServerIsCheckedLessOften(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	g.Expect(b.CheckInterval("s")).To(gomega.BeZero())
	b.RecordLimit("s", Limit{Named: true, PerSecond: 10}, true, time.Now())
	g.Expect(b.CheckInterval("s").Seconds()).To(gomega.BeNumerically("~", 1/(checkShare*10), 0.01))
	b.RecordLimit("s", Limit{Named: true}, true, time.Now())
	g.Expect(b.CheckInterval("s")).To(gomega.Equal(maxLimitedCheckInterval))
}
