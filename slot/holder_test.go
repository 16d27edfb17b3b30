package slot

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/slot/slotpb"
)

func noSkip(string) bool { return false }

// grantOf returns a grant of leases under epoch 1 and session 1.
func grantOf(seq, ack uint64, ids ...leaseID) *slotpb.Grant {
	g := &slotpb.Grant{Group: simGroup.proto(), Epoch: 1, Seq: seq, Ack: ack, Session: 1}
	for _, id := range ids {
		g.Leases = append(g.Leases, &slotpb.Lease{Id: uint64(id), Server: "server-0"})
	}
	return g
}

// askAt returns an Ask that the holder sends at the given time.
func askAt(h *holder, now time.Time) *slotpb.Ask {
	h.askDue = true
	return h.ask(now)
}

func TestLeaseTTLCountsFromSendingTheAsk(t *testing.T) {
	start := time.Unix(1000, 0)
	h := newHolder(simGroup, simMaxRunTime, minIdleTime)
	ask := askAt(h, start)
	h.onGrant("entry-0", grantOf(1, ask.GetSeq(), firstSlot), start.Add(leaseTTL/2))
	if h.take(noSkip, start.Add(leaseTTL)) != nil {
		t.Errorf("a lease was used %v after its Ask was sent", leaseTTL)
	}
	if h.take(noSkip, start.Add(leaseTTL-time.Millisecond)) == nil {
		t.Errorf("a valid lease was not used")
	}
}

func TestDelayedGrantIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newHolder(simGroup, simMaxRunTime, minIdleTime)
	ask := askAt(h, now)
	h.onGrant("entry-0", grantOf(2, ask.GetSeq()), now)
	h.onGrant("entry-0", grantOf(1, ask.GetSeq(), firstSlot), now)
	if h.take(noSkip, now) != nil {
		t.Errorf("a grant was used though a later one had been received")
	}
}

func TestChargedSlotIsNotReused(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newHolder(simGroup, simMaxRunTime, minIdleTime)
	ask := askAt(h, now)
	h.onGrant("entry-0", grantOf(1, ask.GetSeq(), firstSlot), now)
	l := h.take(noSkip, now)
	h.release(l, loadbalancer.Result{Class: loadbalancer.ClassCancelled, ChargedFor: 100 * time.Millisecond}, now)
	h.tick(now.Add(50 * time.Millisecond))
	if h.take(noSkip, now.Add(50*time.Millisecond)) != nil {
		t.Errorf("a slot was reused while the server may run the cancelled request")
	}
	if held := askAt(h, now.Add(50*time.Millisecond)).GetHeld(); len(held) != 1 {
		t.Errorf("a slot was returned while the server may run the cancelled request")
	}
	h.tick(now.Add(100 * time.Millisecond))
	if h.take(noSkip, now.Add(100*time.Millisecond)) == nil {
		t.Errorf("the slot was still reserved after its time")
	}
}

func TestUnacknowledgedGrantStaysCharged(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	d.ask("a", &slotpb.Ask{})
	early := d.last["a"].GetSeq()
	session := d.holders["a"].session
	d.ask("a", &slotpb.Ask{Session: session, Want: 1})
	d.onAsk("a", &slotpb.Ask{Epoch: d.epoch, Seq: d.seq + 1, Ack: early, Session: session}, d.now)
	if d.granted("a") != 1 {
		t.Errorf("a lease was freed before the holder acknowledged its grant")
	}
}

func TestHandoverContinuesSequenceNumbers(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	for range 5 {
		d.requestProof()
		d.advance(2 * gatherInterval)
	}
	seen := d.last["b"].GetSeq()
	next := resume(d.handover(d.now), "entry-1", d.now)
	next.requestProof()
	for _, out := range next.flush(d.now) {
		if out.grant.GetSeq() <= seen {
			t.Errorf("%s would ignore the successor's grant %d after grant %d", out.to, out.grant.GetSeq(), seen)
		}
	}
}

func TestRecordKeepsEarlierEpochs(t *testing.T) {
	record := &slotpb.Record{Epoch: 1, Holders: []string{"a", "b"}}
	record = &slotpb.Record{Epoch: 2, Holders: []string{"a", "b", "c"}, Earlier: earlierSets(record)}
	if sets := earlierSets(record); len(sets) != 2 {
		t.Errorf("the third epoch blocks %v, want the holders of both earlier epochs", sets)
	}
}

// TestIdleHolderDoesNotSuspectCoordinator covers a holder that returned its
// last lease while an Ask was under way. No response is due to it, so silence
// must not make it suspect the coordinator later.
func TestIdleHolderDoesNotSuspectCoordinator(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	h := newHolder(group{service: "stock", dataCentre: "dc-1"}, time.Second, 50*time.Millisecond)
	h.setWant(1, nil)
	g.Expect(h.ask(now).GetSuspect()).To(gomega.BeFalse())
	h.onGrant("entry-1", &slotpb.Grant{Epoch: 1, Seq: 1, Session: 1, Ack: 1, Leases: []*slotpb.Lease{{Id: 1, Server: "a"}}}, now)
	h.setWant(0, nil)
	h.askDue = true
	g.Expect(h.ask(now)).NotTo(gomega.BeNil())
	now = now.Add(time.Second / 10)
	h.tick(now)
	g.Expect(h.ask(now).GetHeld()).To(gomega.BeEmpty())
	now = now.Add(time.Minute)
	h.setWant(1, nil)
	g.Expect(h.suspect(now)).To(gomega.BeFalse())
	g.Expect(h.ask(now).GetSuspect()).To(gomega.BeFalse())
}

// TestRecalledTrialServesOneRequest guards against a closed server that stays closed
// after its recovery: the coordinator recalls a trial as soon as it has granted it, and a
// trial that is returned unused tells it nothing. The same holds if no request waits
// when the grant arrives.
func TestRecalledTrialServesOneRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newHolder(simGroup, simMaxRunTime, minIdleTime)
	ask := askAt(h, now)
	trial := grantOf(1, ask.GetSeq(), firstSlot)
	trial.Leases[0].Trial = true
	h.onGrant("entry-0", trial, now)
	recall := grantOf(2, ask.GetSeq())
	recall.Recall = []uint64{uint64(firstSlot)}
	h.onGrant("entry-0", recall, now)
	now = now.Add(minIdleTime / 2)
	h.tick(now)
	if !h.anyIdle(now) {
		t.Errorf("the holder returned the recalled trial without a request")
	}
	l := h.take(noSkip, now)
	if l == nil {
		t.Fatal("a request did not get the recalled trial")
	}
	h.release(l, loadbalancer.Result{Latency: time.Millisecond}, now)
	if held := askAt(h, now).GetHeld(); len(held) != 0 {
		t.Errorf("the recalled trial was kept after its request: %v", held)
	}
}

// TestUnusedTrialIsReturnedWhenIdle guards against a recalled trial that occupies the
// only slot of a closed server for longer than other idle leases.
func TestUnusedTrialIsReturnedWhenIdle(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newHolder(simGroup, simMaxRunTime, minIdleTime)
	ask := askAt(h, now)
	trial := grantOf(1, ask.GetSeq(), firstSlot)
	trial.Leases[0].Trial = true
	trial.Recall = []uint64{uint64(firstSlot)}
	h.onGrant("entry-0", trial, now)
	now = now.Add(minIdleTime)
	h.tick(now)
	if held := askAt(h, now).GetHeld(); len(held) != 0 {
		t.Errorf("the unused trial was kept after %v: %v", minIdleTime, held)
	}
}
