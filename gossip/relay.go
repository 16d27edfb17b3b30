package gossip

import (
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
)

const (
	// holdFraction is the fraction of the send interval for which a relay holds
	// datagrams to bundle them. Holding them for the full interval would add that
	// interval to the age of readings.
	holdFraction = 0.5
	// maxBundle bounds the size of the datagrams in one bundle, in bytes. A
	// bundle is lost if any of the frames that carry it is lost, so long ones are
	// lost more often.
	maxBundle = 8 << 10
)

// viewCache caches the view of the other instances.
type viewCache struct {
	mu   sync.Mutex
	at   time.Time
	last view
}

// view is the state of the fleet that sending depends on.
type view struct {
	// local lists the addresses of the other live instances of the data centre.
	local []netip.AddrPort
	// relays are the relays of the data centre, possibly including this instance.
	relays []Member
	// interval and remoteInterval are the times between two datagrams to the own
	// data centre and to each other one.
	interval, remoteInterval time.Duration
}

// large reports whether the data centre has too many instances for each to send to all
// others directly.
func (v view) large() bool { return len(v.local) >= maxAtBaseInterval }

// currentView returns the view of the other instances, at most baseInterval old.
func (e *Exchange) currentView(now time.Time) view {
	e.viewCache.mu.Lock()
	defer e.viewCache.mu.Unlock()
	if since := now.Sub(e.viewCache.at); 0 <= since && since < baseInterval {
		return e.viewCache.last
	}
	self := presence{
		Member:        Member{ID: e.opts.ID, DataCentre: e.opts.DataCentre, Address: e.opts.Address},
		relayCapacity: e.opts.RelayCapacity,
	}
	v := view{
		local:  e.members.liveAddresses(e.opts.DataCentre, now),
		relays: e.members.localRelays(self, now),
	}
	relayed := len(v.relays) > 0
	v.interval = sendInterval(len(v.local)+1, relayed)
	v.remoteInterval = sendInterval(e.members.countAlive(now)+1, relayed)
	e.viewCache.at, e.viewCache.last = now, v
	return v
}

// bundles holds the datagrams to relay with the next bundle. It is safe for concurrent
// use.
type bundles struct {
	mu   sync.Mutex
	held []heldDatagram
}

type heldDatagram struct {
	data []byte
	at   time.Time
}

func (b *bundles) add(data []byte, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = append(b.held, heldDatagram{data: data, at: now})
}

// take removes and returns the held datagrams if the oldest has been held for at least
// the given time, otherwise nil.
func (b *bundles) take(now time.Time, hold time.Duration) []heldDatagram {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.held) == 0 || now.Sub(b.held[0].at) < hold {
		return nil
	}
	held := b.held
	b.held = nil
	return held
}

// relay sends a datagram of another instance to the instances of this data centre. In
// a large data centre, the datagram is held for the next bundle.
func (e *Exchange) relay(msg *gossippb.Datagram, now time.Time) {
	if current := e.currentView(now); !current.large() {
		e.sendTo(msg, current.local)
		return
	}
	e.hold(msg, now)
}

// hold adds a datagram to the next bundle.
func (e *Exchange) hold(msg *gossippb.Datagram, now time.Time) {
	data, err := proto.Marshal(msg)
	if err != nil {
		e.opts.Logger.Error("encoding a datagram failed", "error", err)
		return
	}
	e.bundles.add(data, now)
}

// sendBundles sends the held datagrams in bundles once the hold time has passed.
func (e *Exchange) sendBundles(now time.Time) {
	current := e.currentView(now)
	// Half a tick less than the hold time, so that the bundles are sent at the tick
	// nearest to its end.
	held := e.bundles.take(now, scale(holdFraction, current.interval)-baseInterval/2)
	for len(held) > 0 {
		msg := e.newDatagram()
		size := 0
		for len(held) > 0 && (size == 0 || size+len(held[0].data) <= maxBundle) {
			msg.Bundle = append(msg.Bundle, &gossippb.Held{Datagram: held[0].data, HeldMs: milliseconds(now.Sub(held[0].at))})
			size += len(held[0].data)
			held = held[1:]
		}
		e.sendTo(msg, current.local)
	}
}

// receiveBundle handles the datagrams of a bundle.
func (e *Exchange) receiveBundle(bundle []*gossippb.Held, from netip.AddrPort, now time.Time) {
	for _, held := range bundle {
		msg := &gossippb.Datagram{}
		if err := proto.Unmarshal(held.GetDatagram(), msg); err != nil {
			e.opts.Logger.Warn("datagram in a bundle is invalid", "from", from, "error", err)
			continue
		}
		if len(msg.GetBundle()) > 0 || msg.GetPassOn() {
			e.opts.Logger.Warn("datagram in a bundle is invalid", "from", from, "reason", "nested bundle or relay request")
			continue
		}
		e.receive(msg, from, now.Add(-time.Duration(held.GetHeldMs())*time.Millisecond))
	}
}
