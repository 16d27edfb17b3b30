package quota

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/quota/quotapb"
)

// Each instance owns an equal part of each cap. It lends its part to one relay, and a relay lends what
// it has to one allocator for each cap, for a short time. Whoever lends waits until a loan has ended
// before it lends the same to another, so that the parts that all allocators have add up to at most one,
// whoever hears whom.

const (
	// ownerLoan and relayLoan are how long an owner lends to a relay and a relay to an allocator.
	ownerLoan = 1800 * time.Millisecond
	relayLoan = 900 * time.Millisecond
	// ownerInterval and relayInterval are the times between two messages of an owner and of a relay
	// about a loan.
	ownerInterval = 300 * time.Millisecond
	relayInterval = 200 * time.Millisecond
	// tickTolerance is the part of an interval by which a tick may be early.
	tickTolerance = 50 * time.Millisecond
	// maxLists bounds the lists of allocators under which loans may be under way.
	maxLists = 4
	// maxMarks bounds the messages to an instance that may be echoed. Older ones lend nothing more.
	maxMarks = 16
	// silentTime is the time without an answer after which a relay lends to the next allocators.
	silentTime = 500 * time.Millisecond
	// partnerTTL is the time after which an instance is forgotten that sent nothing.
	partnerTTL = 30 * time.Second
)

// PartsOptions configure [Parts]. All are required.
type PartsOptions struct {
	// ID is the ID of the instance, Process identifies its process.
	ID      string
	Process uint32
	// Send sends a message to another instance. It must not block.
	Send   func(to string, msg *quotapb.Loan)
	Logger *slog.Logger
}

// PartsView is what an instance knows of the fleet.
type PartsView struct {
	// Own is the part of each cap that the instance owns, from 0 to 1.
	Own float64
	// Relays are the IDs of the relays that the instance can lend to, Allocators those of the
	// instances that can be allocators, sorted. Live are those of all live instances.
	Relays, Allocators, Live []string
}

// Parts holds the parts of caps that an instance owns and those that it has on loan. It is safe for
// concurrent use. The times that its methods take have to count the suspension of the machine.
type Parts struct {
	opts PartsOptions

	mu      sync.Mutex
	view    PartsView
	started time.Time
	// ownRenewed and relayRenewed are when loans of either kind were last renewed.
	ownRenewed, relayRenewed time.Time
	number                   uint64
	// patron is the relay that has the part of this instance, which may be itself, until patronUntil
	// at the latest.
	patron      string
	patronUntil time.Time
	// released is the number of the message that has taken the part back from the last relay.
	released uint64
	partners map[string]*partner
	// lists holds the present list of allocators first, and those under which loans may go on.
	lists []allocatorList
	// owned and lent are the loans of owners to this relay and of relays to this allocator, by the
	// lender.
	owned, lent map[string]loan
	outbox      []partMessage
}

// partner is another instance with which messages are exchanged.
type partner struct {
	process uint32
	// echo is the number of the last message that arrived, at heardAt.
	echo    uint64
	heardAt time.Time
	// marks holds the times of the last messages to it.
	marks []mark
	// echoed is set once a message with an echo was sent to this process.
	echoed bool
	// holds is set if the partner has a loan of an earlier process of this instance.
	holds bool
	// owned and lent are the numbers of the last messages with a loan of either kind.
	owned, lent uint64
	// tookOwn and tookLists are the numbers of the last loans of this process that it has taken: of
	// the own part, and of what this relay lends on. unanswered is when the first message was sent
	// since its last one; zero if there is none.
	tookOwn, tookLists uint64
	unanswered         time.Time
}

type mark struct {
	number uint64
	at     time.Time
}

// allocatorList is a list of allocators under which parts are lent.
type allocatorList struct {
	ids []string
	// lent holds until when each allocator may have a loan that does not know a later list, at the
	// latest, named the number of the first message to it that names this list.
	lent  map[string]time.Time
	named map[string]uint64
}

// loan is a part that another instance has lent to this one.
type loan struct {
	process uint32
	part    float64
	until   time.Time
	// lists are those of the allocators that the lender knows, or knew lately.
	lists [][]string
}

type partMessage struct {
	to  string
	msg *quotapb.Loan
}

// NewParts returns the parts of a process that has just started.
func NewParts(opts PartsOptions) *Parts {
	return &Parts{opts: opts, partners: make(map[string]*partner), owned: make(map[string]loan), lent: make(map[string]loan)}
}

// Tick renews the loans. It has to be called several times in relayLoan.
func (p *Parts) Tick(view PartsView, now time.Time) {
	p.mu.Lock()
	defer p.send()
	if p.started.IsZero() {
		p.started = now
	}
	p.view = view
	p.introduce(now)
	patron := p.patron
	p.choosePatron(now)
	if p.chooseList(now) || now.Sub(p.relayRenewed) >= relayInterval-tickTolerance {
		p.relayRenewed = now
		for _, to := range p.borrowers() {
			p.lendOn(to, now)
		}
	}
	if p.patron != patron || now.Sub(p.ownRenewed) >= ownerInterval-tickTolerance {
		p.ownRenewed = now
		p.sweep(now)
		p.lendOwn(now)
	}
}

// introduce asks those to whom an earlier process of this instance may have lent, while its loans may go
// on. Those that have answered know that they have ended.
func (p *Parts) introduce(now time.Time) {
	if now.Sub(p.started) >= ownerLoan {
		return
	}
	for _, ids := range [][]string{p.view.Relays, p.view.Allocators} {
		for _, id := range ids {
			if id != p.opts.ID && !p.answered(id) {
				p.post(id, &quotapb.Loan{}, now)
			}
		}
	}
}

// answered reports whether an instance has sent a message to this process.
func (p *Parts) answered(id string) bool {
	partner := p.partners[id]
	return id == p.opts.ID || partner != nil && !partner.heardAt.IsZero()
}

// send releases the lock and sends the messages of the outbox.
func (p *Parts) send() {
	outbox := p.outbox
	p.outbox = nil
	p.mu.Unlock()
	for _, m := range outbox {
		p.opts.Send(m.to, m.msg)
	}
}

// choosePatron chooses the relay that gets the part of this instance, once no other one has it. A relay
// that has it keeps it while it lives, so that it is not lent to nobody for a time.
func (p *Parts) choosePatron(now time.Time) {
	relaying := slices.Contains(p.view.Relays, p.opts.ID)
	switch {
	case p.patron == "":
	case p.patron == p.opts.ID && (relaying || len(p.view.Relays) == 0),
		p.patron != p.opts.ID && !relaying && (slices.Contains(p.view.Live, p.patron) || slices.Contains(p.view.Relays, p.patron)):
		p.released = 0
		return
	case !p.free(now):
		return
	}
	before := p.patron
	p.patron, p.released, p.patronUntil = p.nextPatron(now), 0, now
	if p.patron != before {
		p.opts.Logger.Info("part of caps lent to another relay", "relay", p.patron, "before", before, "part", p.view.Own)
	}
}

// free takes the part of this instance back and reports whether nobody has it any more.
func (p *Parts) free(now time.Time) bool {
	if p.released == 0 {
		p.released = p.number + 1
		if p.patron != p.opts.ID {
			p.post(p.patron, &quotapb.Loan{ForMs: milliseconds(ownerLoan)}, now)
		}
	}
	if p.patron == p.opts.ID {
		// Messages from then on lend less.
		for _, list := range p.lists {
			for id, until := range list.lent {
				if partner := p.partners[id]; now.Before(until) && (partner == nil || partner.tookLists < p.released) {
					return false
				}
			}
		}
		return true
	}
	if partner := p.partners[p.patron]; partner != nil && partner.tookOwn >= p.released {
		// What the relay has lent on ends within relayLoan.
		if end := partner.heardAt.Add(relayLoan); end.Before(p.patronUntil) {
			p.patronUntil = end
		}
	}
	return !now.Before(p.patronUntil)
}

// nextPatron returns the relay to lend to, or "" if none is known or another one may have a loan of an
// earlier process of this instance.
func (p *Parts) nextPatron(now time.Time) string {
	relays := p.view.Relays
	if len(relays) == 0 {
		return ""
	}
	first := membership.Ranked("quota/part/"+p.opts.ID, relays)[0]
	if slices.Contains(relays, p.opts.ID) {
		first = p.opts.ID
	}
	if now.Sub(p.started) >= ownerLoan || p.patron != "" {
		return first
	}
	for _, relay := range relays {
		if partner := p.partners[relay]; partner != nil && partner.holds {
			// Its loan is replaced.
			return relay
		}
	}
	if slices.ContainsFunc(relays, func(id string) bool { return !p.answered(id) }) {
		return ""
	}
	return first
}

// chooseList puts the present list of allocators first, and drops those under which no loan goes on. It
// reports whether loans should be renewed at once.
func (p *Parts) chooseList(now time.Time) (changed bool) {
	ids := slices.DeleteFunc(slices.Clone(p.view.Allocators), func(id string) bool { return p.silent(id, now) })
	if len(p.lists) == 0 || !slices.Equal(p.lists[0].ids, ids) {
		next := allocatorList{ids: ids, lent: make(map[string]time.Time), named: make(map[string]uint64)}
		p.lists = append([]allocatorList{next}, p.lists...)
		changed = true
	}
	named := p.lists[0].named
	p.lists = append(p.lists[:1], slices.DeleteFunc(p.lists[1:], func(l allocatorList) bool {
		for id, until := range l.lent {
			// One that knows the present list has no loan that conflicts with it.
			if number := named[id]; !now.Before(until) || number != 0 && p.partners[id] != nil && p.partners[id].tookLists >= number {
				delete(l.lent, id)
			}
		}
		return len(l.lent) == 0
	})...)
	return changed || p.released != 0 && p.patron == p.opts.ID
}

// silent reports whether an instance has not answered for silentTime.
func (p *Parts) silent(id string, now time.Time) bool {
	partner := p.partners[id]
	return id != p.opts.ID && partner != nil && !partner.unanswered.IsZero() && now.Sub(partner.unanswered) >= silentTime
}

// lendOwn lends the part of this instance to its relay.
func (p *Parts) lendOwn(now time.Time) {
	if p.patron == "" || p.patron == p.opts.ID || p.released != 0 || p.view.Own <= 0 {
		return
	}
	if partner := p.post(p.patron, &quotapb.Loan{Part: p.view.Own, ForMs: milliseconds(ownerLoan)}, now); partner.echo != 0 {
		p.patronUntil = later(p.patronUntil, partner.heardAt.Add(ownerLoan))
	}
}

// lendOn lends what this relay has to an allocator, or tells one that it gets nothing any more. What an
// earlier process has lent ends first, or is replaced at those that have answered.
func (p *Parts) lendOn(to string, now time.Time) {
	young := now.Sub(p.started) < relayLoan
	if to == p.opts.ID || len(p.lists) > maxLists || young && slices.ContainsFunc(p.view.Allocators, func(id string) bool { return !p.answered(id) }) {
		return
	}
	part, until := p.lendable(now)
	if part <= 0 && !p.borrows(to, now) {
		return
	}
	length := relayLoan
	if partner := p.partners[to]; partner != nil && partner.echo != 0 {
		// The loan counts from before heardAt.
		length = min(length, until.Sub(partner.heardAt))
	}
	present := p.lists[0]
	if length <= 0 || !slices.Contains(present.ids, to) {
		part = 0
	}
	msg := &quotapb.Loan{Part: part, ForMs: uint32(max(length.Milliseconds(), 1))}
	for _, list := range p.lists {
		msg.Lists = append(msg.Lists, &quotapb.AllocatorList{Ids: list.ids})
	}
	partner := p.post(to, msg, now)
	if partner.echo != 0 && part > 0 {
		present.lent[to] = later(present.lent[to], partner.heardAt.Add(length))
	}
	if present.named[to] == 0 {
		present.named[to] = msg.GetNumber()
	}
}

// borrows reports whether an allocator may have a loan of this relay.
func (p *Parts) borrows(id string, now time.Time) bool {
	return slices.ContainsFunc(p.lists, func(l allocatorList) bool { return now.Before(l.lent[id]) })
}

// borrowers returns the allocators that get loans, or may have one under an earlier list.
func (p *Parts) borrowers() []string {
	ids := slices.Clone(p.view.Allocators)
	for _, list := range p.lists[1:] {
		for id := range list.lent {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// lendable returns the part that this relay can lend on for long enough, and until when.
func (p *Parts) lendable(now time.Time) (part float64, until time.Time) {
	until = now.Add(relayLoan)
	if p.patron == p.opts.ID && p.released == 0 {
		part = p.view.Own
	}
	for _, l := range p.owned {
		if l.until.Sub(now) >= relayLoan/2 {
			part += l.part
			if l.until.Before(until) {
				until = l.until
			}
		}
	}
	return part, until
}

// held returns the part that this relay has now.
func (p *Parts) held(now time.Time) (part float64) {
	if p.patron == p.opts.ID {
		part = p.view.Own
	}
	for _, l := range p.owned {
		if now.Before(l.until) {
			part += l.part
		}
	}
	return part
}

// post puts a message into the outbox, with the echo of the last one from the receiver.
func (p *Parts) post(to string, msg *quotapb.Loan, now time.Time) *partner {
	partner := p.partner(to)
	p.number++
	msg.Process, msg.Number = p.opts.Process, p.number
	msg.Echo, msg.EchoProcess = partner.echo, partner.process
	msg.TakenOwn, msg.TakenLists = partner.owned, partner.lent
	if held, ok := p.owned[to]; ok && held.process != partner.process && now.Before(held.until) {
		msg.Holds = true
	}
	partner.marks = append(partner.marks, mark{p.number, now})
	if len(partner.marks) > maxMarks {
		partner.marks = slices.Delete(partner.marks, 0, len(partner.marks)-maxMarks)
	}
	partner.echoed = partner.echoed || partner.echo != 0
	if partner.unanswered.IsZero() && (msg.GetForMs() > 0 || msg.GetEcho() == 0) {
		partner.unanswered = now
	}
	p.outbox = append(p.outbox, partMessage{to, msg})
	return partner
}

func (p *Parts) partner(id string) *partner {
	known := p.partners[id]
	if known == nil {
		known = &partner{}
		p.partners[id] = known
	}
	return known
}

// Receive handles a message of another instance.
func (p *Parts) Receive(from string, msg *quotapb.Loan, now time.Time) {
	p.mu.Lock()
	defer p.send()
	partner := p.partner(from)
	if partner.process != msg.GetProcess() {
		partner.process, partner.echo, partner.echoed = msg.GetProcess(), 0, false
		partner.tookOwn, partner.tookLists = 0, 0
		partner.owned, partner.lent = 0, 0
	}
	partner.unanswered = time.Time{}
	if msg.GetEchoProcess() == p.opts.Process {
		partner.tookOwn = max(partner.tookOwn, msg.GetTakenOwn())
		partner.tookLists = max(partner.tookLists, msg.GetTakenLists())
	}
	if msg.GetNumber() > partner.echo {
		partner.echo, partner.heardAt, partner.holds = msg.GetNumber(), now, msg.GetHolds()
	}
	if msg.GetForMs() > 0 {
		p.take(from, partner, msg)
	}
	switch {
	case msg.GetEcho() == 0 || msg.GetForMs() > 0:
		p.post(from, &quotapb.Loan{}, now)
	case !partner.echoed:
		// The first answer, from which on a loan counts.
		if from == p.patron {
			p.lendOwn(now)
		}
		if slices.Contains(p.view.Allocators, from) {
			p.lendOn(from, now)
		}
	}
}

// take records a loan, which replaces the one before. It counts from the sending of the message that it
// echoes, which was before the lender sent it, so that it ends here before it ends there, however late it
// arrives.
func (p *Parts) take(from string, partner *partner, msg *quotapb.Loan) {
	loans, last := p.owned, &partner.owned
	if len(msg.GetLists()) > 0 {
		loans, last = p.lent, &partner.lent
	}
	if msg.GetNumber() <= *last {
		return
	}
	*last = msg.GetNumber()
	delete(loans, from)
	n := slices.IndexFunc(partner.marks, func(m mark) bool { return m.number == msg.GetEcho() })
	if n < 0 || msg.GetEchoProcess() != p.opts.Process {
		return
	}
	l := loan{
		process: msg.GetProcess(), part: min(max(msg.GetPart(), 0), 1),
		until: partner.marks[n].at.Add(time.Duration(min(msg.GetForMs(), milliseconds(ownerLoan))) * time.Millisecond),
	}
	for _, list := range msg.GetLists() {
		l.lists = append(l.lists, list.GetIds())
	}
	loans[from] = l
}

// sweep forgets loans that have ended and instances that are gone.
func (p *Parts) sweep(now time.Time) {
	for _, loans := range []map[string]loan{p.owned, p.lent} {
		for id, l := range loans {
			if !now.Before(l.until) {
				delete(loans, id)
			}
		}
	}
	for id, partner := range p.partners {
		last := partner.heardAt
		if len(partner.marks) > 0 {
			last = later(last, partner.marks[len(partner.marks)-1].at)
		}
		if now.Sub(last) > partnerTTL {
			delete(p.partners, id)
		}
	}
}

// Share returns the part of the cap of a workspace that this allocator has now, from 0 to 1.
func (p *Parts) Share(workspace uint64, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := 0.0
	if len(p.lists) > 0 && len(p.lists) <= maxLists && p.firstByAll(workspace, func(yield func([]string) bool) {
		for _, l := range p.lists {
			if !yield(l.ids) {
				return
			}
		}
	}) {
		share = p.held(now)
	}
	for _, l := range p.lent {
		if now.Before(l.until) && p.firstByAll(workspace, slices.Values(l.lists)) {
			share += l.part
		}
	}
	return min(share, 1)
}

// firstByAll reports whether this instance is the first allocator of a workspace by all lists.
func (p *Parts) firstByAll(workspace uint64, lists func(yield func([]string) bool)) bool {
	for ids := range lists {
		if len(ids) == 0 || ranked(workspace, ids)[0] != p.opts.ID {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
