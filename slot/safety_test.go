package slot

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pomelolock/pomelolock/loadbalancer"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/slot/slotpb"
)

const (
	simMaxRunTime = 400 * time.Millisecond
	simInstances  = 4
	simServers    = 2
	simSlots      = 2
)

var simGroup = group{"lookup", "dc-1"}

// simRequest is a request that runs on a server until end, even if its holder is
// frozen or loses the lease.
type simRequest struct {
	holder int
	lease  *lease
	end    time.Time
	// released is set once the holder has seen the end.
	released bool
}

type simMessage struct {
	from, to int
	ask      *slotpb.Ask
	grant    *slotpb.Grant
	handover *slotpb.Handover
}

// simWrite is a write that took effect and whose response is under way.
type simWrite struct {
	instance   int
	record     *slotpb.Record
	started    time.Time
	takeOver   bool
	firstEpoch bool
}

type simInstance struct {
	id     string
	h      *holder
	c      *coordinator
	frozen bool
}

// sim is a fleet of holders and coordinators on a simulated lossy network.
type sim struct {
	now       time.Time
	instances []*simInstance
	network   []simMessage
	writes    []simWrite
	record    *slotpb.Record
	storeDown bool
	cut       map[[2]int]bool
	requests  []*simRequest
	started   int
	// long makes every request take the maximum time.
	long bool
}

func newSim() *sim {
	s := &sim{now: time.Unix(1000, 0), record: &slotpb.Record{}, cut: make(map[[2]int]bool)}
	for i := range simInstances {
		s.instances = append(s.instances, &simInstance{
			id: fmt.Sprintf("entry-%d", i),
			h:  newHolder(simGroup, simMaxRunTime, minIdleTime),
		})
	}
	return s
}

func simSpecs() []serverSpec {
	var specs []serverSpec
	for i := range simServers {
		specs = append(specs, serverSpec{name: fmt.Sprintf("server-%d", i), slots: simSlots, weight: 1, usable: true})
	}
	return specs
}

func (s *sim) index(id string) int {
	return slices.IndexFunc(s.instances, func(i *simInstance) bool { return i.id == id })
}

func (s *sim) post(m simMessage) {
	if !s.cut[[2]int{m.from, m.to}] && len(s.network) < 200 {
		s.network = append(s.network, m)
	}
}

func (s *sim) postGrants(from int, out []outgoingGrant) {
	for _, o := range out {
		s.post(simMessage{from: from, to: s.index(o.to), grant: proto.Clone(o.grant).(*slotpb.Grant)})
	}
}

// advance moves the time and ends the requests whose holders are not frozen.
func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, r := range s.requests {
		if i := s.instances[r.holder]; !r.released && !i.frozen && !r.end.After(s.now) {
			r.released = true
			i.h.release(r.lease, loadbalancer.Result{Latency: simMaxRunTime / 4}, s.now)
		}
	}
	s.requests = slices.DeleteFunc(s.requests, func(r *simRequest) bool { return r.released })
}

// step runs the periodic work of one instance and starts requests. Its Ask goes
// to instance askTo, or to the coordinator it knows if askTo is negative.
func (s *sim) step(i int, askTo int) {
	in := s.instances[i]
	if in.frozen {
		return
	}
	if in.c != nil {
		in.c.tick(s.now)
		s.postGrants(i, in.c.flush(s.now))
		if in.c.resigned {
			in.c = nil
		}
	}
	in.h.tick(s.now)
	s.serve(i)
	if ask := in.h.ask(s.now); ask != nil {
		if known := s.index(in.h.coordinator); known >= 0 && askTo < 0 {
			askTo = known
		}
		if askTo >= 0 {
			s.post(simMessage{from: i, to: askTo, ask: ask})
		}
	}
}

func (s *sim) serve(i int) {
	in := s.instances[i]
	for in.h.want > 0 {
		l := in.h.take(func(string) bool { return false }, s.now)
		if l == nil {
			return
		}
		in.h.setWant(in.h.want-1, nil)
		s.started++
		length := simMaxRunTime
		if !s.long {
			length /= time.Duration(1 + s.started%4)
		}
		s.requests = append(s.requests, &simRequest{holder: i, lease: l, end: s.now.Add(length)})
	}
}

func (s *sim) deliver(at int) {
	m := s.network[at]
	in := s.instances[m.to]
	if in.frozen || s.cut[[2]int{m.from, m.to}] {
		return
	}
	s.network = slices.Delete(s.network, at, at+1)
	switch {
	case m.ask != nil && in.c != nil:
		in.c.tick(s.now)
		in.c.onAsk(s.instances[m.from].id, m.ask, s.now)
		s.postGrants(m.to, in.c.flush(s.now))
	case m.grant != nil:
		in.h.onGrant(s.instances[m.from].id, m.grant, s.now)
		s.serve(m.to)
	case m.handover != nil && (in.c == nil || in.c.epoch < m.handover.GetEpoch()):
		in.c = resume(m.handover, in.id, s.now)
		in.c.setServers(simSpecs(), s.now)
	}
}

// write simulates a conditional write of the record by instance i, as a takeover
// or by its coordinator. It takes effect at once; deliverWriteResult delivers the
// response.
func (s *sim) write(i int, takeOver bool) {
	in := s.instances[i]
	if in.frozen || s.storeDown {
		return
	}
	next := &slotpb.Record{Epoch: s.record.GetEpoch() + 1, Owner: in.id, DrainMs: simMaxRunTime.Milliseconds()}
	next.Earlier = earlierSets(s.record)
	next.Holders = append(slices.Clone(s.record.GetHolders()), in.id)
	if !takeOver {
		if in.c == nil || in.c.epoch != s.record.GetEpoch() || in.c.pending != nil {
			return
		}
		next.Epoch, next.Earlier = in.c.epoch, s.record.GetEarlier()
		if in.c.active {
			next.Earlier = nil
		}
		next.Holders = append(next.Holders, in.c.unrecorded()...)
	}
	slices.Sort(next.Holders)
	next.Holders = slices.Compact(next.Holders)
	if !takeOver {
		in.c.setPending(next.GetHolders())
	}
	w := simWrite{instance: i, record: next, started: s.now, takeOver: takeOver, firstEpoch: s.record.GetEpoch() == 0}
	s.record = next
	s.writes = append(s.writes, w)
}

func (s *sim) deliverWriteResult(at int) {
	w := s.writes[at]
	in := s.instances[w.instance]
	if in.frozen {
		return
	}
	s.writes = slices.Delete(s.writes, at, at+1)
	if !w.takeOver {
		if in.c != nil && in.c.epoch == w.record.GetEpoch() {
			in.c.setRecorded(w.record.GetHolders(), s.now)
			in.c.confirm(w.started)
		}
		return
	}
	in.c = newCoordinator(coordinatorConfig{
		group: simGroup, self: in.id, epoch: w.record.GetEpoch(), maxRunTime: simMaxRunTime,
		recorded: w.record.GetHolders(), earlier: holderSets(w.record), takeoverDone: w.firstEpoch, confirmedAt: w.started,
	}, s.now)
	in.c.setServers(simSpecs(), s.now)
}

// check fails if two requests run on one slot, or a server runs more requests
// than it has slots.
func (s *sim) check(t *rapid.T) {
	bySlot := make(map[leaseID]int)
	byServer := make(map[serverID]int)
	for _, r := range s.requests {
		if !r.end.After(s.now) {
			continue
		}
		bySlot[r.lease.id]++
		byServer[r.lease.id.server()]++
		if bySlot[r.lease.id] > 1 {
			t.Fatalf("slot %d of %s runs two requests", r.lease.id.slot(), r.lease.server)
		}
		if byServer[r.lease.id.server()] > simSlots {
			t.Fatalf("%s runs more than %d requests", r.lease.server, simSlots)
		}
	}
}

// settleDown ends every fault and runs the fleet for the given time.
func (s *sim) settleDown(d time.Duration) {
	clear(s.cut)
	s.storeDown = false
	for _, in := range s.instances {
		in.frozen = false
	}
	owner := s.index(s.record.GetOwner())
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(20 * time.Millisecond)
		for len(s.writes) > 0 {
			s.deliverWriteResult(0)
		}
		if owner < 0 || s.instances[owner].c == nil || s.instances[owner].c.epoch != s.record.GetEpoch() {
			owner = 0
			s.write(0, true)
		} else if c := s.instances[owner].c; c.needsProof(s.now) || len(c.unrecorded()) > 0 {
			s.write(owner, false)
		}
		for i := range s.instances {
			s.step(i, owner)
		}
		for n := len(s.network); n > 0; n-- {
			s.deliver(0)
		}
	}
}

// round runs every instance that is not frozen once, with demand for all slots,
// and delivers messages in order where links are not cut. prove says how
// coordinators renew their proofs: by "store" writes, by their "holders", or not.
func (s *sim) round(prove string) {
	for i, in := range s.instances {
		if in.frozen {
			continue
		}
		in.h.setWant(simServers*simSlots, nil)
		if in.c != nil && in.c.needsProof(s.now) {
			switch prove {
			case "store":
				s.write(i, false)
			case "holders":
				in.c.requestProof()
			}
		}
		s.step(i, -1)
	}
	for at := 0; at < len(s.network); {
		before := len(s.network)
		s.deliver(at)
		if len(s.network) >= before {
			at++
		}
	}
	if prove == "store" {
		for at := len(s.writes) - 1; at >= 0; at-- {
			s.deliverWriteResult(at)
		}
	}
	if len(s.network) > 40 {
		s.network = s.network[len(s.network)-40:]
	}
}

// simActions returns the actions that the property test draws from. Those that
// are listed several times are drawn more often.
func simActions(s *sim) map[string]func(*rapid.T) {
	instance := rapid.IntRange(0, simInstances-1)
	step := func(t *rapid.T) {
		s.step(instance.Draw(t, "instance"), rapid.IntRange(-1, simInstances-1).Draw(t, "ask to"))
	}
	deliver := func(t *rapid.T) {
		if len(s.network) > 0 {
			s.deliver(rapid.IntRange(0, len(s.network)-1).Draw(t, "message"))
		}
	}
	rounds := func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "rounds")
		prove := rapid.SampledFrom([]string{"store", "holders", "nothing"}).Draw(t, "prove")
		for range n {
			s.advance(60 * time.Millisecond)
			s.round(prove)
			s.check(t)
		}
	}
	return map[string]func(*rapid.T){
		"step":     step,
		"step2":    step,
		"deliver":  deliver,
		"deliver2": deliver,
		"rounds":   rounds,
		"rounds2":  rounds,
		"rounds3":  rounds,
		"pass": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
		},
		"lose": func(t *rapid.T) {
			if len(s.network) > 0 {
				at := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
				s.network = slices.Delete(s.network, at, at+1)
			}
		},
		"want": func(t *rapid.T) {
			i := instance.Draw(t, "instance")
			if !s.instances[i].frozen {
				s.instances[i].h.setWant(rapid.IntRange(0, 4).Draw(t, "want"), nil)
				s.serve(i)
			}
		},
		"freeze": func(t *rapid.T) {
			in := s.instances[instance.Draw(t, "instance")]
			in.frozen = !in.frozen
		},
		"cut": func(t *rapid.T) {
			a, b := instance.Draw(t, "a"), instance.Draw(t, "b")
			if a != b {
				cut := !s.cut[[2]int{a, b}]
				s.cut[[2]int{a, b}], s.cut[[2]int{b, a}] = cut, cut
			}
		},
		"store":  func(*rapid.T) { s.storeDown = !s.storeDown },
		"prove":  func(t *rapid.T) { s.prove(instance.Draw(t, "instance")) },
		"write":  func(t *rapid.T) { s.write(instance.Draw(t, "instance"), false) },
		"take":   func(t *rapid.T) { s.write(instance.Draw(t, "instance"), true) },
		"answer": func(t *rapid.T) { s.deliverAnyWriteResult(t) },
		"handover": func(t *rapid.T) {
			a, b := instance.Draw(t, "from"), instance.Draw(t, "to")
			in := s.instances[a]
			if in.frozen || in.c == nil || !in.c.takeoverDone || a == b {
				return
			}
			state := in.c.handover(s.now)
			in.c = nil
			s.post(simMessage{from: a, to: b, handover: state})
		},
		"": func(t *rapid.T) { s.check(t) },
	}
}

func (s *sim) prove(i int) {
	if in := s.instances[i]; !in.frozen && in.c != nil {
		in.c.requestProof()
	}
}

func (s *sim) deliverAnyWriteResult(t *rapid.T) {
	if len(s.writes) > 0 {
		s.deliverWriteResult(rapid.IntRange(0, len(s.writes)-1).Draw(t, "write"))
	}
}

// TestSlotsNeverRunTwoRequests runs holders and coordinators under message loss,
// delay and reordering, pauses, cut links, outages of the table service,
// takeovers by several instances and handovers. No slot may ever run two
// requests, and once all faults have ended, every holder must get a lease.
func TestSlotsNeverRunTwoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim()
		s.write(0, true)
		s.deliverWriteResult(0)
		t.Repeat(simActions(s))
		s.settleDown(2*(authorityTTL+leaseTTL+simMaxRunTime) + time.Second)
		for i, in := range s.instances {
			before := s.started
			in.h.setWant(1, nil)
			s.settleDown(time.Second)
			if s.started == before {
				t.Fatalf("holder %d got no lease within %v after all faults had ended", i, time.Second)
			}
		}
		s.check(t)
	})
}

func TestQuorumsAndBlockingSetsIntersect(t *testing.T) {
	for n := range 100 {
		if left := n - blocking(n); left >= quorum(n) {
			t.Errorf("of %d holders, the %d left after the successor gathered a blocking set are a quorum", n, left)
		}
		if n >= 2 && quorum(n) > n {
			t.Errorf("%d holders are less than their quorum", n)
		}
	}
	if got := idOfServer("s").lease(maxSlots - 1); got.slot() != maxSlots-1 || got.server() != idOfServer("s") || got > math.MaxUint64>>1 {
		t.Errorf("lease ID %x does not round-trip", got)
	}
}
