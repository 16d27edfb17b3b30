package gossip

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/readings"
)

const (
	// viewTTL is the time for which the view of the other instances is used again.
	viewTTL = 150 * time.Millisecond
	// centreHeartbeat is the time between two datagrams of a relay to the relays of
	// other data centres.
	centreHeartbeat = 300 * time.Millisecond
	// remotePerInstance is the part of the interval between two readings of a server
	// in other data centres that each instance of the fleet adds. It keeps the bytes
	// that an instance receives nearly independent of the number of data centres.
	remotePerInstance = 2 * time.Millisecond
	// minRemoteContent and maxRemoteContent bound that interval.
	minRemoteContent = 100 * time.Millisecond
	maxRemoteContent = time.Second
)

// viewCache caches the view of the other instances.
type viewCache struct {
	mu   sync.Mutex
	at   time.Time
	last view
	// returns is the number of instances that had been heard again when the view was
	// made.
	returns int
}

// view is the state of the fleet that sending depends on.
type view struct {
	// local lists the addresses of the other live instances of the data centre.
	local []netip.AddrPort
	// relays are the relays of the data centre, possibly including this instance.
	relays []presence
	// relaying is set if this instance is one of them.
	relaying bool
	// interval and remoteInterval are the times between two datagrams to the own
	// data centre and to each other one.
	interval, remoteInterval time.Duration
	// remoteContent is the time between two readings of a server in other data
	// centres.
	remoteContent time.Duration
	// known is the number of instances of the fleet.
	known int
	// readers are the IDs of the instances that read the store for all.
	readers []string
}

// relayed reports whether the data centre has too many instances for each to send to all
// others directly.
func (v view) relayed() bool { return len(v.local) >= maxAtBaseInterval && len(v.relays) > 0 }

// currentView returns the view of the other instances, at most viewTTL old and with all that
// are alive.
func (e *Exchange) currentView(now time.Time) view {
	e.viewCache.mu.Lock()
	defer e.viewCache.mu.Unlock()
	returns := e.members.returns()
	if since := now.Sub(e.viewCache.at); 0 <= since && since < viewTTL && returns == e.viewCache.returns {
		return e.viewCache.last
	}
	v := view{
		local:  e.members.liveAddresses(e.opts.DataCentre, now),
		relays: e.members.relays(e.opts.DataCentre, e.self(), now),
	}
	v.relaying = slices.ContainsFunc(v.relays, func(r presence) bool { return r.ID == e.opts.ID })
	v.interval = sendInterval(len(v.local)+1, len(v.relays) > 0)
	v.remoteInterval = sendInterval(e.members.countAlive(now)+1, len(v.relays) > 0)
	if v.relayed() {
		v.remoteInterval = centreHeartbeat
	}
	v.known = max(e.members.count()+1, e.size.total(e.opts.DataCentre, e.members.countIn))
	v.remoteContent = min(max(time.Duration(v.known)*remotePerInstance, minRemoteContent), maxRemoteContent)
	v.readers = e.readers(v, now)
	if last := e.viewCache.last; v.relayed() && v.relaying != (last.relayed() && last.relaying) {
		e.opts.Logger.Info("relaying", "relay", v.relaying, "relays", strings.Join(ids(v.relays), " "), "instances", len(v.local)+1)
	}
	e.viewCache.at, e.viewCache.last, e.viewCache.returns = now, v, returns
	return v
}

// readers returns the IDs of the instances that read the store for all.
func (e *Exchange) readers(v view, now time.Time) []string {
	if v.known < largeFleetReaders || len(v.relays) == 0 {
		return e.Alive("")
	}
	readers := ids(v.relays)
	for _, centre := range e.members.dataCentres(now) {
		if centre != e.opts.DataCentre {
			readers = append(readers, ids(e.members.relays(centre, presence{}, now))...)
		}
	}
	return readers
}

// self returns the presence of this instance.
func (e *Exchange) self() presence {
	return presence{
		Member:        Member{ID: e.opts.ID, DataCentre: e.opts.DataCentre, Address: e.opts.Address},
		leaving:       e.leaving.Load(),
		cutOff:        e.cutOff.Load(),
		relayCapacity: e.opts.RelayCapacity,
	}
}

// sendAsRelay sends what the instances of the data centre recorded: to all of them, and to
// the relays of the other data centres.
func (e *Exchange) sendAsRelay(v view, fraction float64, now time.Time) {
	if fraction == 0 || e.localUpdates.due(now, scale(fraction, v.interval), false) {
		e.sendDigest(v, now)
	}
	if fraction == 0 || now.Sub(e.remoteUpdates.sent) >= centreHeartbeat {
		e.sendToCentres(v, now)
	}
}

// sendDigest sends the pending updates, the backlogs of the fleet and, at intervals, the
// roster to all instances of the data centre.
func (e *Exchange) sendDigest(v view, now time.Time) {
	msg := e.updateDatagram(now)
	e.localUpdates.take(msg, now)
	msg.Scope = gossippb.Scope_SCOPE_FLEET
	msg.Known = uint32(v.known)
	msg.Backlogs = encodeBacklogs(e.opts.Backlogs.Fleet(now))
	if v.relays[0].ID == e.opts.ID && now.Sub(e.rosterSent) >= rosterInterval {
		e.rosterSent = now
		msg.Roster = e.completeRoster(now)
	}
	e.sendTo(msg, append(e.members.silent(now, e.probedByOthers(v)), v.local...))
}

// sendToCentres sends to the relays of each other data centre. One of them, in turn, gets
// the readings too, if they are due, and passes them on.
func (e *Exchange) sendToCentres(v view, now time.Time) {
	msg := e.updateDatagram(now)
	msg.Scope = gossippb.Scope_SCOPE_DATA_CENTRE
	msg.Known = uint32(e.members.countIn(e.opts.DataCentre) + 1)
	msg.Backlogs = encodeBacklogs(e.opts.Backlogs.DataCentre(now))
	e.remoteTurn++
	var chosen, others []netip.AddrPort
	for _, centre := range e.members.dataCentres(now) {
		if centre == e.opts.DataCentre {
			continue
		}
		targets := e.members.remoteTargets(centre, now)
		for i, address := range targets {
			if i == e.remoteTurn%len(targets) {
				chosen = append(chosen, address)
			} else if i < maxRelays {
				others = append(others, address)
			}
		}
	}
	e.sendTo(msg, others)
	// All relays of the data centre send its readings in turn.
	if interval := v.remoteContent * time.Duration(len(v.relays)); now.Sub(e.remoteUpdates.contentSent) >= interval {
		e.remoteUpdates.take(msg, now)
	}
	e.remoteUpdates.sent = now
	msg.PassOn = true
	e.sendTo(msg, chosen)
}

// sendToRelay sends the pending updates to one relay of the data centre, in turn.
func (e *Exchange) sendToRelay(v view, now time.Time) {
	msg := e.updateDatagram(now)
	e.localUpdates.take(msg, now)
	msg.Backlogs = encodeBacklogs(e.opts.Backlogs.Own())
	msg.PassOn = true
	e.localTurn++
	e.sendTo(msg, []netip.AddrPort{v.relays[e.localTurn%len(v.relays)].Address})
	if silent := e.members.silent(now, e.probedByOthers(v)); len(silent) > 0 {
		msg.PassOn = false
		e.sendTo(msg, silent)
	}
}

// probedByOthers returns a function that reports whether this instance leaves it to others
// to send datagrams to an instance that is silent. In a large data centre, relays do so in
// the data centre, and other instances send only to those that could be relays.
func (e *Exchange) probedByOthers(v view) func(presence) bool {
	weakest := v.relays[len(v.relays)-1].relayCapacity
	return func(p presence) bool {
		if v.relaying && p.DataCentre == e.opts.DataCentre {
			return false
		}
		return p.relayCapacity < weakest
	}
}

// passOn passes on what another instance asked to be passed on. In a small data centre, the
// datagram is sent to the others as it is. In a large one, its content goes along with what
// this instance recorded itself.
func (e *Exchange) passOn(msg *gossippb.Datagram, now time.Time) {
	v := e.currentView(now)
	if !v.relayed() {
		e.sendTo(msg, v.local)
		return
	}
	e.collect(msg, now)
}

// collect adds the readings and results of a datagram to the pending updates.
func (e *Exchange) collect(msg *gossippb.Datagram, now time.Time) {
	e.sending.Lock()
	defer e.sending.Unlock()
	groups := []*pendingUpdates{e.localUpdates}
	if msg.GetDataCentre() == e.opts.DataCentre {
		groups = append(groups, e.remoteUpdates)
	}
	for _, pending := range groups {
		e.logInvalid(msg, unpackReadings(msg.GetReadings(), now, pending.addReceived))
		e.logInvalid(msg, unpackResults(msg.GetResults(), pending.addResults))
		for _, d := range msg.GetDepartures() {
			pending.addDeparture(d.GetServer(), d.GetBornMs())
		}
		for _, encoded := range msg.GetLimits() {
			pending.addLimit(decodeLimit(encoded, now))
		}
		for _, encoded := range msg.GetCold() {
			pending.addCold(decodeCold(encoded, now), relayedColdRepeats)
		}
	}
}

func (e *Exchange) logInvalid(msg *gossippb.Datagram, err error) {
	if err != nil {
		e.opts.Logger.Warn("received datagram is invalid", "from", msg.GetInstance(), "error", err)
	}
}

// receiveUpdates records the readings and results of a datagram.
func (e *Exchange) receiveUpdates(msg *gossippb.Datagram, now time.Time) {
	e.logInvalid(msg, unpackReadings(msg.GetReadings(), now, e.opts.Board.Receive))
	fromFleet := msg.GetScope() == gossippb.Scope_SCOPE_FLEET
	e.sending.Lock()
	defer e.sending.Unlock()
	e.logInvalid(msg, unpackResults(msg.GetResults(), func(r readings.Results) {
		if fromFleet {
			r = e.ownResults.subtract(r, now)
		}
		e.opts.Board.ReceiveResults(r, now)
	}))
}
