package slot

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// TestSettledHolderDoesNotSuspectItsCoordinator covers a holder that returned
// its last lease while an ask was under way: nobody owes it an answer.
func TestSettledHolderDoesNotSuspectItsCoordinator(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	h := newHolder(group{service: "stock", dataCentre: "dc-1"}, time.Second, 50*time.Millisecond)
	h.setWant(1)
	g.Expect(h.ask(now).GetSuspect()).To(gomega.BeFalse())
	h.onGrant("entry-1", &slotpb.Grant{Epoch: 1, Seq: 1, Session: 1, Ack: 1, Leases: []*slotpb.Lease{{Id: 1, Server: "a"}}}, now)
	h.setWant(0)
	h.due = true
	g.Expect(h.ask(now)).NotTo(gomega.BeNil())
	now = now.Add(time.Second / 10)
	h.tick(now)
	g.Expect(h.ask(now).GetHeld()).To(gomega.BeEmpty())
	now = now.Add(time.Minute)
	h.setWant(1)
	g.Expect(h.suspect(now)).To(gomega.BeFalse())
	g.Expect(h.ask(now).GetSuspect()).To(gomega.BeFalse())
}
