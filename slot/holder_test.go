package slot

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/slot/slotpb"
)

func noSkip(string) bool { return false }

// grantOf returns a grant of one lease under epoch 1 and session 1.
func grantOf(seq, ack uint64, ids ...leaseID) *slotpb.Grant {
	g := &slotpb.Grant{Group: simGroup.proto(), Epoch: 1, Seq: seq, Ack: ack, Session: 1}
	for _, id := range ids {
		g.Leases = append(g.Leases, &slotpb.Lease{Id: uint64(id), Server: "server-0"})
	}
	return g
}

// askAt makes the holder send an ask at the given time.
func askAt(h *holder, now time.Time) *slotpb.Ask {
	h.due = true
	return h.ask(now)
}

func TestLeaseCountsFromBeforeTheAsk(t *testing.T) {
	start := time.Unix(1000, 0)
	h := newHolder(simGroup, simDrain, minIdleTime)
	ask := askAt(h, start)
	h.onGrant("entry-0", grantOf(1, ask.GetSeq(), firstSlot), start.Add(leaseTTL/2))
	if h.take(noSkip, start.Add(leaseTTL)) != nil {
		t.Errorf("a lease was used %v after its ask was sent", leaseTTL)
	}
	if h.take(noSkip, start.Add(leaseTTL-time.Millisecond)) == nil {
		t.Errorf("a valid lease was not used")
	}
}

func TestDelayedGrantIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newHolder(simGroup, simDrain, minIdleTime)
	ask := askAt(h, now)
	h.onGrant("entry-0", grantOf(2, ask.GetSeq()), now)
	h.onGrant("entry-0", grantOf(1, ask.GetSeq(), firstSlot), now)
	if h.take(noSkip, now) != nil {
		t.Errorf("a grant that the coordinator takes for lost was used")
	}
}

func TestChargedSlotIsNotReused(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newHolder(simGroup, simDrain, minIdleTime)
	ask := askAt(h, now)
	h.onGrant("entry-0", grantOf(1, ask.GetSeq(), firstSlot), now)
	l := h.take(noSkip, now)
	h.release(l, loadbalancer.Result{Class: loadbalancer.ClassCancelled, ChargedFor: 100 * time.Millisecond}, now)
	h.tick(now.Add(50 * time.Millisecond))
	if h.take(noSkip, now.Add(50*time.Millisecond)) != nil {
		t.Errorf("a slot was reused while the server may run the cancelled request")
	}
	if held := askAt(h, now.Add(50*time.Millisecond)).GetHeld(); len(held) != 1 {
		t.Errorf("a charged slot was returned")
	}
	h.tick(now.Add(100 * time.Millisecond))
	if h.take(noSkip, now.Add(100*time.Millisecond)) == nil {
		t.Errorf("the slot stayed charged")
	}
}

func TestGrantUnderWayStaysCharged(t *testing.T) {
	d := newDesk(coordinatorConfig{recorded: []string{"a", "b"}, fresh: true})
	d.ask("a", &slotpb.Ask{})
	early := d.last["a"].GetSeq()
	session := d.holders["a"].session
	d.ask("a", &slotpb.Ask{Session: session, Want: 1})
	d.onAsk("a", &slotpb.Ask{Epoch: d.epoch, Seq: d.seq + 1, Ack: early, Session: session}, d.now)
	if d.granted("a") != 1 {
		t.Errorf("a lease was freed before the holder can have seen its grant")
	}
}

func TestHandoverContinuesNumbers(t *testing.T) {
	d := newDesk(coordinatorConfig{recorded: []string{"a", "b"}, fresh: true})
	for range 5 {
		d.askProof()
		d.pass(2 * gatherInterval)
	}
	seen := d.last["b"].GetSeq()
	next := resume(d.handover(d.now), "entry-1", d.now)
	next.askProof()
	for _, out := range next.flush(d.now) {
		if out.grant.GetSeq() <= seen {
			t.Errorf("%s ignores the successor's grant %d after %d", out.to, out.grant.GetSeq(), seen)
		}
	}
}

func TestRecordKeepsUnsettledEpochs(t *testing.T) {
	record := &slotpb.Record{Epoch: 1, Holders: []string{"a", "b"}}
	record = &slotpb.Record{Epoch: 2, Holders: []string{"a", "b", "c"}, Earlier: earlierSets(record)}
	if sets := earlierSets(record); len(sets) != 2 {
		t.Errorf("the third epoch blocks %v, want the holders of both before", sets)
	}
}

// TestSettledHolderDoesNotSuspectItsCoordinator covers a holder that returned
// its last lease while an ask was under way: nobody owes it an answer.
func TestSettledHolderDoesNotSuspectItsCoordinator(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	h := newHolder(group{service: "stock", dataCentre: "dc-1"}, time.Second, 50*time.Millisecond)
	h.setWant(1, nil)
	g.Expect(h.ask(now).GetSuspect()).To(gomega.BeFalse())
	h.onGrant("entry-1", &slotpb.Grant{Epoch: 1, Seq: 1, Session: 1, Ack: 1, Leases: []*slotpb.Lease{{Id: 1, Server: "a"}}}, now)
	h.setWant(0, nil)
	h.due = true
	g.Expect(h.ask(now)).NotTo(gomega.BeNil())
	now = now.Add(time.Second / 10)
	h.tick(now)
	g.Expect(h.ask(now).GetHeld()).To(gomega.BeEmpty())
	now = now.Add(time.Minute)
	h.setWant(1, nil)
	g.Expect(h.suspect(now)).To(gomega.BeFalse())
	g.Expect(h.ask(now).GetSuspect()).To(gomega.BeFalse())
}
