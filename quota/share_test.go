package quota

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/quota/quotapb"
)

// newTestShare returns the share of one of several instances, which lends nothing.
func newTestShare(c Cap, instances int) *Share {
	s := NewShare(ShareOptions{Started: epoch.Add(-loanTTL), Random: rand.New(rand.NewPCG(3, 4)), Logger: slog.New(slog.DiscardHandler)})
	s.SetLimits(testLimits)
	s.SetTable(NewTable(1, map[string]Cap{"w": c}), epoch)
	s.Poll(Fleet{Instances: instances}, epoch)
	return s
}

// take takes requests at one time and returns how many were allowed.
func take(s *Share, count int, now time.Time) int {
	allowed := 0
	for range count {
		if s.Take("w", now).OK {
			allowed++
		}
	}
	return allowed
}

// TestCapLoweredInATableHoldsAtOnce guards against grants and stored requests of before that
// outlive the lowered cap: each instance receives the table at another time, the allocator
// last.
func TestCapLoweredInATableHoldsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	const lowered, applied = 6 * time.Second, 7 * time.Second
	f := newFleet(5, 103, 40)
	f.keep(0, 1, 10, 73)
	f.at(4*time.Second, func() { f.multiply(7) })
	f.at(lowered, func() {
		caps := make(map[string]Cap)
		for _, t := range f.tenants {
			caps[t.name] = Cap{t.cap.PerSecond / 4, t.cap.Burst / 4}
		}
		f.caps = NewTable(2, caps)
		for _, n := range f.nodes {
			f.after(time.Duration(f.random.Int64N(int64(applied-lowered))), func() { n.share.SetTable(f.caps, f.now) })
			f.after(applied-lowered, func() { n.allocator.SetTable(f.caps) })
		}
	})
	f.at(applied, func() {
		for _, t := range f.tenants {
			t.cap = Cap{t.cap.PerSecond / 4, t.cap.Burst / 4}
			t.served = nil
		}
		f.watchShares()
	})
	f.run(14 * time.Second)
	f.expectBound(t)
	g.Expect(f.highestRate).To(gomega.BeNumerically("<=", 1+1e-6))
	g.Expect(f.highestDepth).To(gomega.BeNumerically("<=", 1+1e-6))
	g.Expect(len(f.tenants[0].served)).To(gomega.BeNumerically(">", 0.7*f.tenants[0].cap.PerSecond*7), "requests within the new cap are served")
}

// TestRestartedAllocatorAwaitsTheGrantsBefore guards against an allocator that grants what the
// process before it granted to others, who still use it.
func TestRestartedAllocatorAwaitsTheGrantsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	grantedAt := func(after time.Duration) float64 {
		a := NewAllocator(epoch)
		a.SetLimits(testLimits)
		a.SetTable(NewTable(1, map[string]Cap{"w": {PerSecond: 100, Burst: 10}}))
		req := &quotapb.ShareRequest{Number: 1, Process: 7, Shards: 1}
		a.Receive("b", req, epoch.Add(after))
		// A demand that is not a number must not make the sums invalid.
		a.Receive("c", &quotapb.ShareRequest{Number: 1, Shards: 1, Demands: []*quotapb.Demand{{Workspace: hash("w"), PerSecond: float32(math.NaN())}}}, epoch.Add(after))
		req = &quotapb.ShareRequest{Number: 2, Process: 7, Shards: 1, Instances: 1, Demands: []*quotapb.Demand{
			acknowledgement(1), {Workspace: hash("w"), PerSecond: 50},
		}}
		a.Receive("b", req, epoch.Add(after+time.Millisecond))
		// The sum lent is taken into account with a delay.
		req.Number = 200_002
		reply := a.Receive("b", req, epoch.Add(after+200*time.Millisecond))
		if len(reply.GetGrants()) == 0 {
			return 0
		}
		return float64(reply.GetGrants()[0].GetPerSecond())
	}
	g.Expect(grantedAt(0)).To(gomega.BeZero())
	g.Expect(grantedAt(grantTTL)).To(gomega.BeNumerically(">", 30))
}

// TestLoanOfUnknownAgeDoesNotCount guards against grants made of a request that waited, which
// its sender no longer counts as lent.
func TestLoanOfUnknownAgeDoesNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewAllocator(epoch.Add(-grantTTL))
	a.SetLimits(testLimits)
	a.SetTable(NewTable(1, map[string]Cap{"w": {PerSecond: 100, Burst: 10}}))
	send := func(number, acknowledged uint64, at time.Duration) float64 {
		reply := a.Receive("b", &quotapb.ShareRequest{Number: number, Process: 7, Shards: 1, Instances: 1, Demands: []*quotapb.Demand{
			acknowledgement(acknowledged), {Workspace: hash("w"), PerSecond: 50},
		}}, epoch.Add(at))
		return float64(reply.GetGrants()[0].GetPerSecond())
	}
	g.Expect(send(1, 99, time.Second)).To(gomega.BeZero(), "acknowledges an answer of another process")
	g.Expect(send(2, 99, 1100*time.Millisecond)).To(gomega.BeZero())
	send(100_002, 2, 1200*time.Millisecond)
	g.Expect(send(400_002, 100_002, 1500*time.Millisecond)).To(gomega.BeNumerically(">", 30))
	// These requests were sent some 2 s before they arrive.
	send(500_002, 100_002, 3300*time.Millisecond)
	g.Expect(send(600_002, 100_002, 3400*time.Millisecond)).To(gomega.BeZero())
}

// TestRepeatedDatagramDoesNotRenewALoan guards against a second copy of a request that makes the
// requests after it, which waited with it at a stopped allocator, look as recent as itself.
func TestRepeatedDatagramDoesNotRenewALoan(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewAllocator(epoch.Add(-grantTTL))
	a.SetLimits(testLimits)
	a.SetTable(NewTable(1, map[string]Cap{"w": {PerSecond: 100, Burst: 10}}))
	send := func(number, acknowledged uint64, at time.Duration) float64 {
		reply := a.Receive("b", &quotapb.ShareRequest{Number: number, Process: 7, Shards: 1, Instances: 1, Demands: []*quotapb.Demand{
			acknowledgement(acknowledged), {Workspace: hash("w"), PerSecond: 50},
		}}, epoch.Add(at))
		return float64(reply.GetGrants()[0].GetPerSecond())
	}
	send(2, 99, 0)
	send(400_002, 2, 400*time.Millisecond)
	g.Expect(send(800_002, 400_002, 800*time.Millisecond)).To(gomega.BeNumerically(">", 30))
	// The allocator was stopped. The last request was sent 1.5 s before it arrives.
	send(800_002, 400_002, 2600*time.Millisecond)
	send(1_100_002, 800_002, 2600*time.Millisecond)
	g.Expect(send(1_200_002, 800_002, 2700*time.Millisecond)).To(gomega.BeZero())
}

// TestDriftOfClocksDoesNotProlongLoans guards against a bound of the offset between two clocks
// that is no longer one after hours, because one runs faster.
func TestDriftOfClocksDoesNotProlongLoans(t *testing.T) {
	g := gomega.NewWithT(t)
	const drift, interval = 1e-4, 400 * time.Millisecond
	a := NewAllocator(epoch.Add(-grantTTL))
	a.SetLimits(testLimits)
	a.SetTable(NewTable(1, map[string]Cap{"w": {PerSecond: 100, Burst: 10}}))
	before := uint64(0)
	send := func(sent, arrived time.Duration) float64 {
		number := uint64(float64(sent.Microseconds())*(1+drift)) + 1
		reply := a.Receive("b", &quotapb.ShareRequest{Number: number, Process: 7, Shards: 1, Instances: 1, Demands: []*quotapb.Demand{
			acknowledgement(before), {Workspace: hash("w"), PerSecond: 50},
		}}, epoch.Add(arrived))
		before = number
		return float64(reply.GetGrants()[0].GetPerSecond())
	}
	at, granted := time.Duration(0), 0.0
	for ; at < 2*time.Hour; at += interval {
		granted = send(at, at+time.Millisecond)
	}
	g.Expect(granted).To(gomega.BeNumerically(">", 30))
	g.Expect(send(at, at+time.Second)).To(gomega.BeZero())
}

// TestShallowBucketsHoldTheirSum guards against buckets that, shallower than one request, never
// allow one, or of which many allow one at the same time.
func TestShallowBucketsHoldTheirSum(t *testing.T) {
	g := gomega.NewWithT(t)
	const instances = 472
	c := Cap{PerSecond: 60, Burst: 30}
	at := epoch.Add(30 * time.Second)
	stored, later := 0, 0
	for i := range instances {
		s := NewShare(ShareOptions{Started: epoch.Add(-loanTTL), Random: rand.New(rand.NewPCG(uint64(i), 4)), Logger: slog.New(slog.DiscardHandler)})
		s.SetLimits(testLimits)
		s.SetTable(NewTable(1, map[string]Cap{"w": c}), epoch)
		s.Poll(Fleet{Instances: instances}, epoch)
		stored += take(s, 3, at)
		for ms := range 500 {
			later += take(s, 1, at.Add(time.Duration(10*ms)*time.Millisecond))
		}
	}
	g.Expect(stored).To(gomega.BeNumerically("<=", testLimits.depth(c)))
	g.Expect(float64(later)).To(gomega.BeNumerically("~", c.PerSecond*5, 0.15*c.PerSecond*5))
	g.Expect(float64(stored + later)).To(gomega.BeNumerically("<=", bound(c)))
}

// TestFloorServesSomeRequestsOfEachInstance guards against an instance without any share that
// serves nothing, and against permits that together exceed what the bound leaves.
func TestFloorServesSomeRequestsOfEachInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	c := Cap{PerSecond: 400, Burst: 400}
	served := 0
	for i := range 103 {
		s := NewShare(ShareOptions{Started: epoch, Random: rand.New(rand.NewPCG(uint64(i), 5)), Logger: slog.New(slog.DiscardHandler)})
		s.SetLimits(testLimits)
		s.SetTable(NewTable(1, map[string]Cap{"w": c}), epoch)
		for tick := range 150 {
			now := epoch.Add(time.Duration(10*tick) * time.Millisecond)
			s.Poll(Fleet{Instances: 103, Readers: []string{"other"}}, now)
			served += take(s, 1, now)
		}
	}
	// Half of the excess and a quarter of the slack, in 5 s.
	want := (0.5*0.1*(400*5+400) + 0.25*20) / 5 * 1.5
	g.Expect(float64(served)).To(gomega.BeNumerically("~", want, 0.5*want))
}

// TestReturnedRequestIsTakenAgain guards against requests that did not run but use up the cap.
func TestReturnedRequestIsTakenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestShare(Cap{PerSecond: 2, Burst: 5}, 1)
	now := epoch.Add(time.Minute)
	whole := int(testLimits.depth(Cap{Burst: 5}))
	g.Expect(take(s, 100, now)).To(gomega.Equal(whole))
	s.Return("w", now)
	g.Expect(take(s, 100, now)).To(gomega.Equal(1))
	for range 100 {
		s.Return("w", now)
	}
	g.Expect(take(s, 100, now)).To(gomega.Equal(whole), "never more than the depth")
}

// TestRetryAfterIsSpread guards against refused callers that all return at once, or before
// there is room.
func TestRetryAfterIsSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestShare(Cap{PerSecond: 10, Burst: 1}, 1)
	now := epoch.Add(time.Minute)
	take(s, 11, now)
	d := s.Take("w", now)
	g.Expect(d.OK).To(gomega.BeFalse())
	g.Expect(d.RetryAfter).To(gomega.BeNumerically(">=", minRetryAfter))
	g.Expect(d.Source).To(gomega.Equal(SourceOwn))
	late, highest := 0, time.Duration(0)
	for range 200 {
		wait := s.Take("w", now).RetryAfter
		highest = max(highest, wait)
		if wait > time.Second {
			late++
		}
	}
	g.Expect(late).To(gomega.BeNumerically(">", 100), "there is room for 10 of them in a second")
	g.Expect(highest).To(gomega.BeNumerically("<=", maxRetryAfter))
}

// TestWorkspaceWithoutCapIsNotLimited guards against limits that no table asks for.
func TestWorkspaceWithoutCapIsNotLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestShare(Cap{}, 100)
	g.Expect(take(s, 1000, epoch)).To(gomega.Equal(1000))
	s = newTestShare(Cap{PerSecond: 1}, 100)
	s.SetLimits(Limits{})
	g.Expect(take(s, 1000, epoch)).To(gomega.Equal(1000), "the settings have no window")
}

// TestStateIsBounded guards against memory that grows with workspaces or with instances that
// are gone.
func TestStateIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	caps := make(map[string]Cap)
	for i := range 10_000 {
		caps[fmt.Sprint("w", i)] = Cap{PerSecond: 1, Burst: 1}
	}
	table := NewTable(1, caps)
	s := newTestShare(Cap{}, 1)
	s.SetTable(NewTable(2, caps), epoch)
	a := NewAllocator(epoch.Add(-grantTTL))
	a.SetLimits(testLimits)
	a.SetTable(table)
	for i := range 10_000 {
		s.Take(fmt.Sprint("w", i), epoch)
		req := &quotapb.ShareRequest{Number: uint64(i + 1), Shards: 1, Demands: []*quotapb.Demand{{Workspace: hash(fmt.Sprint("w", i)), PerSecond: 1}}}
		a.Receive(fmt.Sprint("i", i), req, epoch)
	}
	g.Expect(s.Counts()).To(gomega.HaveLen(shownCounts + 1))
	var sum uint64
	for _, c := range s.Counts() {
		sum += c.Served + c.Refused
	}
	g.Expect(sum).To(gomega.BeEquivalentTo(10_000))
	g.Expect(a.members).To(gomega.HaveLen(maxMembers))
	for i := range maxMembers {
		req := &quotapb.ShareRequest{Number: uint64(i + 1), Shards: 1}
		for j := range maxDemands {
			req.Demands = append(req.Demands, &quotapb.Demand{Workspace: uint64(j), PerSecond: 1})
		}
		a.Receive(fmt.Sprint("i", i), req, epoch)
	}
	g.Expect(a.claims).To(gomega.Equal(maxClaims))
	s.Poll(Fleet{Instances: 1, Readers: []string{"a"}}, epoch.Add(idleTime))
	g.Expect(s.buckets).To(gomega.BeEmpty())
	a.Receive("i", &quotapb.ShareRequest{Number: 1, Shards: 1}, epoch.Add(memberTTL))
	g.Expect(a.members).To(gomega.HaveLen(1))
	g.Expect(a.claims).To(gomega.BeZero())
	g.Expect(a.groups).To(gomega.HaveLen(1))
	for _, p := range a.groups {
		g.Expect(p.workspaces).To(gomega.BeEmpty())
	}
}

// TestUnansweredRequestIsRepeatedAndThenTheNextIsAsked guards against an instance that waits for
// an allocator which is gone, and against shares that are lent to two or used while they are
// lent.
func TestUnansweredRequestIsRepeatedAndThenTheNextIsAsked(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestShare(Cap{PerSecond: 100, Burst: 10}, 2)
	fleet := Fleet{Instances: 2, Lend: true, Readers: []string{"a", "b"}}
	// One plane is simulated; all its requests are answered at once until the allocator is gone.
	var first string
	var sent []time.Duration
	var lent, asked []time.Duration
	const gone = 3 * time.Second
	for at := time.Duration(0); at < 6*time.Second; at += 10 * time.Millisecond {
		now := epoch.Add(at)
		s.Take("w", now)
		for _, m := range s.Poll(fleet, now) {
			if m.Request.GetShard() != 0 {
				continue
			}
			if first == "" {
				first = m.To
			}
			switch {
			case m.To != first && m.Request.GetInstances() == 0:
				asked = append(asked, at-gone)
			case m.To != first:
				lent = append(lent, at-gone)
			case at >= gone:
				sent = append(sent, at-gone)
			}
			if m.To != first || at < gone {
				s.Receive(m.To, &quotapb.ShareGrant{Number: m.Request.GetNumber(), Process: m.Request.GetProcess(), TableVersion: 1}, now)
			}
		}
	}
	g.Expect(len(sent)).To(gomega.BeNumerically(">=", 2))
	g.Expect(sent[1]-sent[0]).To(gomega.Equal(minAnswerTimeout), "repeated")
	g.Expect(asked[0]-sent[0]).To(gomega.Equal(2*minAnswerTimeout), "the next is asked")
	g.Expect(lent[0]-sent[1]).To(gomega.BeNumerically(">=", loanTTL), "and lent to after the loan")
}
