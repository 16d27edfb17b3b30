package readings

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// coldLimits are the bounds of the users' settings, coldPerSecond the rate of the slower of
// their services.
var coldLimits = WarmUpLimits{Excess: 1.5, Slack: 8}

const (
	coldPerSecond = 5.3
	coldFor       = 3 * time.Second
)

func coldRule() WarmUp { return WarmUp{PerSecond: coldPerSecond, Limits: coldLimits, For: coldFor} }

// newColdFleet returns instances that send to one cold server. It stays cold.
func newColdFleet(instances int) *fleet {
	f := &fleet{boards: make([]*Board, instances), now: time.Now(), known: instances, span: time.Second}
	f.bound = int(coldPerSecond*coldLimits.Excess + coldLimits.Slack)
	f.teach = func(b *Board) {
		b.LoadWarming(limitedName, coldRule(), f.now)
		b.ReceiveCold(ColdHint{Server: limitedName, Until: f.now.Add(time.Hour), At: f.now})
	}
	for i := range f.boards {
		f.restart(i)
	}
	return f
}

// TestFleetKeepsTheBoundOfAColdServer guards against instances that together send a cold
// server more than it accepts in any second, whether or not they hear each other.
func TestFleetKeepsTheBoundOfAColdServer(t *testing.T) {
	const unheard = -1
	for _, instances := range []int{1, 18, 103, 472} {
		for name, delay := range map[string]time.Duration{"datagrams arrive": 300 * time.Millisecond, "datagrams are lost": unheard} {
			for scenario, play := range map[string]func(f *fleet){
				"all busy": func(f *fleet) { f.play(20*time.Second, delay, all) },
				"after idle": func(f *fleet) {
					f.play(5*time.Second, delay, func(int) bool { return false })
					f.play(3*time.Second, delay, all)
				},
				"half frozen": func(f *fleet) {
					f.play(5*time.Second, delay, func(i int) bool { return i%2 == 0 })
					f.play(5*time.Second, delay, all)
				},
				"restarted each second": func(f *fleet) {
					for range 10 {
						for i := range f.boards {
							f.restart(i)
						}
						f.play(time.Second, delay, all)
					}
				},
			} {
				t.Run(fmt.Sprintf("%s/%s/%d", scenario, name, instances), func(t *testing.T) {
					f := newColdFleet(instances)
					play(f)
					t.Logf("most in a second: %d of %d", f.most(), f.bound)
					gomega.NewWithT(t).Expect(f.most()).To(gomega.BeNumerically("<=", f.bound))
				})
			}
		}
	}
}

// TestColdRateLeavesAWideMargin guards against a rate that keeps the bound in short trials and
// breaks it by chance once in some hours: it has to hold with the probability that is stated,
// by the sum of the distribution rather than by the function that chose the rate.
func TestColdRateLeavesAWideMargin(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, perSecond := range []float64{0.5, 3, coldPerSecond, 40, 900} {
		rate := coldRate(perSecond, coldLimits)
		g.Expect(rate).To(gomega.And(gomega.BeNumerically(">", 0.15*perSecond), gomega.BeNumerically("<=", requestShare*perSecond)))
		mean, most := rate*1.3, int(perSecond*coldLimits.Excess+coldLimits.Slack)
		kept, term := 0.0, math.Exp(-mean/2)
		for k := range most + 1 {
			kept += term
			term *= mean / float64(k+1)
		}
		if mean < 600 {
			g.Expect(1-kept*math.Exp(-mean/2)).To(gomega.BeNumerically("<=", 1.01*coldRisk), "%g/s", perSecond)
		}
	}
	g.Expect(coldRate(coldPerSecond, WarmUpLimits{})).To(gomega.BeNumerically("<", 0.001), "no request is allowed")
	g.Expect(coldRate(0, coldLimits)).To(gomega.BeZero())
}

// TestColdRateIsUsed guards against shares so small that a data centre that returns is hardly
// served.
func TestColdRateIsUsed(t *testing.T) {
	f := newColdFleet(18)
	f.play(60*time.Second, 300*time.Millisecond, all)
	gomega.NewWithT(t).Expect(float64(len(f.sent))).To(gomega.BeNumerically(">", 0.3*60*coldPerSecond))
}

// warmBoard returns a board with one server that is warm, and the time.
func warmBoard() (*Board, time.Time) {
	b, now := NewBoard(), time.Now()
	b.LoadWarming("s", coldRule(), now)
	return b, now
}

func (b *Board) check(began, ended time.Time, cold time.Duration) (ColdHint, bool) {
	return b.RecordWarmth("s", Notice{WarmthKnown: true, ColdFor: cold, Began: began}, ended)
}

// TestServerWithoutAnswerIsColdUntilALaterCheck guards against a status check under way when a
// server crashes whose answer, from before, declares the restarted server warm.
func TestServerWithoutAnswerIsColdUntilALaterCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := warmBoard()
	lost := now.Add(time.Second)
	b.SuspectCold("s", lost)
	g.Expect(b.Load("s", lost).Cold).To(gomega.BeTrue())
	_, shared := b.check(lost.Add(-5*time.Millisecond), lost.Add(10*time.Millisecond), 0)
	g.Expect(shared).To(gomega.BeFalse())
	g.Expect(b.Load("s", lost.Add(10*time.Millisecond)).Cold).To(gomega.BeTrue(), "the check began before")
	hint, shared := b.check(lost.Add(20*time.Millisecond), lost.Add(30*time.Millisecond), 0)
	g.Expect(shared).To(gomega.BeTrue())
	g.Expect(hint.Until.IsZero()).To(gomega.BeTrue())
	g.Expect(b.Load("s", lost.Add(30*time.Millisecond)).Cold).To(gomega.BeFalse())
	b.SuspectCold("s", lost.Add(15*time.Millisecond))
	g.Expect(b.Load("s", lost.Add(30*time.Millisecond)).Cold).To(gomega.BeFalse(), "older than the check")
}

// TestSuspicionEndsAWarmUpAfterTheServerAnswered guards against servers that stay at the cold
// rate for good because nobody checks them, and against an answer to an older request that
// starts the time before the server is back.
func TestSuspicionEndsAWarmUpAfterTheServerAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := warmBoard()
	b.SuspectCold("s", now)
	b.AnsweredTo("s", now.Add(-time.Millisecond), now.Add(time.Millisecond))
	g.Expect(b.Load("s", now.Add(time.Minute)).Cold).To(gomega.BeTrue(), "the answer to an older request")
	back := now.Add(time.Minute)
	b.AnsweredTo("s", back, back.Add(time.Millisecond))
	g.Expect(b.Load("s", back.Add(coldFor-time.Millisecond)).Cold).To(gomega.BeTrue())
	g.Expect(b.Load("s", back.Add(coldFor+time.Millisecond)).Cold).To(gomega.BeFalse())
}

// TestChecksOfPeersTellWhetherAServerIsCold guards against instances that hear only from others
// that a server did not answer, or that it is warm.
func TestChecksOfPeersTellWhetherAServerIsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := warmBoard()
	health := func(after time.Duration, health Health, warm bool) {
		b.Receive(Reading{Server: KeyOf("s"), Health: health, HealthAt: now.Add(after), Warm: warm})
	}
	health(0, HealthUnreachable, false)
	g.Expect(b.Load("s", now).Cold).To(gomega.BeTrue())
	health(checkTimeout, HealthGood, true)
	g.Expect(b.Load("s", now.Add(checkTimeout)).Cold).To(gomega.BeTrue(), "the check may have begun before")
	health(checkTimeout+time.Millisecond, HealthGood, true)
	g.Expect(b.Load("s", now.Add(checkTimeout+time.Millisecond)).Cold).To(gomega.BeFalse())

	now = now.Add(time.Minute)
	b.ReceiveCold(ColdHint{Server: "s", Until: now.Add(time.Second), At: now})
	b.ReceiveCold(ColdHint{Server: "s", At: now.Add(-time.Millisecond)})
	g.Expect(b.Load("s", now).Cold).To(gomega.BeTrue(), "what is older changes nothing")
	g.Expect(b.Load("s", now.Add(time.Second)).Cold).To(gomega.BeFalse())
}

// TestEntryCountsOnceForEachStart guards against an entry that is read again with the remaining
// time of long ago, which would make a warm server cold.
func TestEntryCountsOnceForEachStart(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := NewBoard(), time.Now()
	entry := func(born int64, at time.Time) Load {
		rule := coldRule()
		rule.Born, rule.Until = born, at.Add(coldFor)
		return b.LoadWarming("s", rule, at)
	}
	g.Expect(entry(1, now).Cold).To(gomega.BeTrue())
	b.check(now.Add(time.Millisecond), now.Add(2*time.Millisecond), 0)
	now = now.Add(time.Minute)
	g.Expect(entry(1, now).Cold).To(gomega.BeFalse(), "the same start")
	g.Expect(entry(2, now).Cold).To(gomega.BeTrue(), "another start")
}

// TestReturnedServersAreCold guards against a data centre that gets its full load when it
// returns, also if its servers are removed from the board in between.
func TestReturnedServersAreCold(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := NewBoard(), time.Now()
	b.AssumeCold([]string{"s"}, now)
	b.Retain(func(ServerKey) bool { return false })
	g.Expect(b.LoadWarming("s", coldRule(), now).Cold).To(gomega.BeTrue())
	b.check(now.Add(-time.Millisecond), now.Add(time.Millisecond), 0)
	g.Expect(b.Load("s", now.Add(time.Millisecond)).Cold).To(gomega.BeTrue(), "checked before the return")
	b.check(now.Add(time.Millisecond), now.Add(2*time.Millisecond), 0)
	g.Expect(b.Load("s", now.Add(2*time.Millisecond)).Cold).To(gomega.BeFalse())
	b.Retain(func(ServerKey) bool { return false })
	g.Expect(b.servers).To(gomega.BeEmpty())
}

// TestWithoutWarmUpNothingIsCold guards against a change for services whose table has no rate.
func TestWithoutWarmUpNothingIsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := NewBoard(), time.Now()
	b.SuspectCold("s", now)
	_, shared := b.check(now, now, coldFor)
	g.Expect(shared).To(gomega.BeFalse())
	load := b.LoadWarming("s", WarmUp{Until: now.Add(time.Minute)}, now)
	g.Expect(load.Cold).To(gomega.BeFalse())
	g.Expect(load.Limited()).To(gomega.BeFalse())
	g.Expect(load.Permitted).To(gomega.BeTrue())
	b.Began("s", now)
	g.Expect(b.ColdSends()).To(gomega.BeZero())
	g.Expect(b.ColdServers(now)).To(gomega.BeEmpty())
	changes, cold := b.TakeColdChanges(now)
	g.Expect(changes).To(gomega.BeEmpty())
	g.Expect(cold).To(gomega.BeZero())
}

// TestOtherInstancesAreToldOfChangesOnly guards against a datagram for each status check of a
// cold server, and against an end that moves in steps too small to be told.
func TestOtherInstancesAreToldOfChangesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := warmBoard()
	end, told, hints := now.Add(coldFor), time.Time{}, 0
	for range 60 {
		now, end = now.Add(30*time.Millisecond), end.Add(20*time.Millisecond)
		if hint, shared := b.check(now, now, end.Sub(now)); shared {
			told, hints = hint.Until, hints+1
		}
		g.Expect(end.Sub(told)).To(gomega.BeNumerically("<=", coldShareStep))
	}
	g.Expect(hints).To(gomega.BeNumerically("<=", 6))
	_, shared := b.check(now, now, 0)
	g.Expect(shared).To(gomega.BeTrue(), "warm before the end")
	_, shared = b.check(now, now, 0)
	g.Expect(shared).To(gomega.BeFalse())
}

// TestColdChangesAreReportedOnce guards against a server that turns warm unnoticed because its
// time is over, and against a line for each call.
func TestColdChangesAreReportedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	b, now := warmBoard()
	b.SuspectCold("s", now)
	changes, cold := b.TakeColdChanges(now.Add(time.Second))
	g.Expect(cold).To(gomega.Equal(1))
	g.Expect(changes).To(gomega.Equal([]ColdChange{{Server: "s", Cold: true, Source: ColdByNoAnswer, At: now}}))
	b.check(now.Add(time.Second), now.Add(time.Second), coldFor)
	b.Began("s", now.Add(2*time.Second))
	g.Expect(b.ColdSends()).To(gomega.Equal(uint64(1)))
	changes, _ = b.TakeColdChanges(now.Add(2 * time.Second))
	g.Expect(changes).To(gomega.BeEmpty())
	changes, cold = b.TakeColdChanges(now.Add(5 * time.Second))
	g.Expect(cold).To(gomega.BeZero())
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(changes[0].Source).To(gomega.Equal(ColdByCheck))
	g.Expect(changes[0].Requests).To(gomega.Equal(1))
	g.Expect(changes[0].Held).To(gomega.Equal(4 * time.Second))
}
