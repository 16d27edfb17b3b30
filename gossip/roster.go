package gossip

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
)

const (
	// rosterInterval is the time between two rosters of a relay to its data centre.
	rosterInterval = 700 * time.Millisecond
	// firstHelloInterval, helloInterval and lateHelloInterval are the times between two
	// requests for a roster of an instance that hears no other instance of its data
	// centre: in the first firstHelloTime and helloTime after its start, and later. Seeds
	// that start at the same time miss the first requests.
	firstHelloInterval = 60 * time.Millisecond
	firstHelloTime     = 500 * time.Millisecond
	helloInterval      = 250 * time.Millisecond
	helloTime          = 3 * time.Second
	lateHelloInterval  = 2 * time.Second
	// settledAfter is the time after the start at which an instance requests a roster
	// once more, since the first one may have lacked instances that started later.
	settledAfter = 600 * time.Millisecond
	// introductionTTL is how long a roster for newcomers is used again.
	introductionTTL = 100 * time.Millisecond
)

// introduction is an encoded datagram with a roster for newcomers.
type introduction struct {
	data []byte
	at   time.Time
}

// sendHello requests a roster from the seeds if it is due.
func (e *Exchange) sendHello(now time.Time) {
	seeds := e.seeds()
	if len(seeds) == 0 {
		return
	}
	age := now.Sub(e.startedAt)
	interval := lateHelloInterval
	switch {
	case age < firstHelloTime:
		interval = firstHelloInterval
	case age < helloTime:
		interval = helloInterval
	}
	settled := age < settledAfter || e.helloSent.Sub(e.startedAt) >= settledAfter
	alone := e.helloSent.IsZero() || len(e.currentView(now).local) == 0
	if settled && (now.Sub(e.helloSent) < interval || !alone) {
		return
	}
	e.helloSent = now
	msg := e.updateDatagram(now)
	msg.Hello = true
	e.sendTo(msg, seeds)
}

// seeds returns the addresses of the instances to ask for a roster, except the own one.
func (e *Exchange) seeds() []netip.AddrPort {
	var others []netip.AddrPort
	if e.opts.Seeds == nil {
		return nil
	}
	for _, seed := range e.opts.Seeds() {
		if seed != e.opts.Address {
			others = append(others, seed)
		}
	}
	return others
}

// introduce sends a newcomer the roster of the instances that it has to know.
func (e *Exchange) introduce(newcomer Member, now time.Time) {
	if e.introduction.data == nil || now.Sub(e.introduction.at) >= introductionTTL {
		msg := e.newDatagram()
		roster, err := encodeRoster(e.introduced(now), false)
		if err != nil {
			e.opts.Logger.Error("encoding a roster failed", "error", err)
			return
		}
		msg.Roster = roster
		data, err := proto.Marshal(msg)
		if err != nil {
			e.opts.Logger.Error("encoding a datagram failed", "error", err)
			return
		}
		e.introduction = introduction{data: data, at: now}
	}
	e.write(e.introduction.data, newcomer.Address)
}

// introduced returns the instances that a newcomer has to know: of each data centre
// all if it is small, otherwise the relays.
func (e *Exchange) introduced(now time.Time) []presence {
	var listed []presence
	for _, centre := range e.members.dataCentres(now) {
		found := e.members.heard(centre, now)
		if len(found) >= maxAtBaseInterval || centre == e.opts.DataCentre && e.currentView(now).relayed() {
			found = e.members.relays(centre, e.self(), now)
		}
		listed = append(listed, found...)
	}
	return append(listed, e.self())
}

// completeRoster returns the roster of a relay: the live instances of its data centre and
// the relays of the others. It returns nil if it can't be encoded.
func (e *Exchange) completeRoster(now time.Time) *gossippb.Roster {
	listed := append(e.members.heard(e.opts.DataCentre, now), e.self())
	for _, centre := range e.members.dataCentres(now) {
		if centre != e.opts.DataCentre {
			listed = append(listed, e.members.relays(centre, presence{}, now)...)
		}
	}
	roster, err := encodeRoster(listed, true)
	if err != nil {
		e.opts.Logger.Error("encoding a roster failed", "error", err)
		return nil
	}
	return roster
}

func encodeRoster(listed []presence, complete bool) (*gossippb.Roster, error) {
	list := &gossippb.RosterList{}
	for _, p := range listed {
		address, err := p.Address.MarshalBinary()
		if err != nil {
			return nil, err
		}
		list.Members = append(list.Members, &gossippb.RosterMember{
			Instance: p.ID, DataCentre: p.DataCentre, Address: address, RelayCapacity: p.relayCapacity, CutOff: p.cutOff,
		})
	}
	packed, err := compress(list)
	if err != nil {
		return nil, err
	}
	return &gossippb.Roster{List: packed, Complete: complete}, nil
}

// receiveRoster records the instances that a roster lists.
func (e *Exchange) receiveRoster(msg *gossippb.Datagram, now time.Time) {
	list := &gossippb.RosterList{}
	if err := decompress(msg.GetRoster().GetList(), list); err != nil {
		e.logInvalid(msg, err)
		return
	}
	var listed []presence
	for _, m := range list.GetMembers() {
		p := presence{Member: Member{ID: m.GetInstance(), DataCentre: m.GetDataCentre()}, relayCapacity: m.GetRelayCapacity(), cutOff: m.GetCutOff()}
		if err := p.Address.UnmarshalBinary(m.GetAddress()); err != nil {
			e.logInvalid(msg, err)
			return
		}
		if p.ID != e.opts.ID {
			listed = append(listed, p)
		}
	}
	e.members.list(listed, msg.GetDataCentre(), msg.GetRoster().GetComplete(), now)
}
