package peer

import (
	"net"
	"sync/atomic"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// kindLimit is the number of kinds with counters of their own. Higher kinds
// count as unspecified.
const kindLimit = 128

// Traffic counts messages and their encoded bytes including frame headers.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// KindStats is the traffic of one kind of message.
type KindStats struct {
	Kind     peerpb.Kind
	Sent     Traffic
	Received Traffic
}

// Stats are the totals of a mesh since its start.
type Stats struct {
	// Sessions is the number of open sessions.
	Sessions int
	// Opened and Lost count the sessions that were opened and that ended
	// for any reason.
	Opened, Lost uint64
	// DialFailures counts failed attempts to open a session.
	DialFailures uint64
	// Refused counts incoming connections that did not become sessions,
	// including failed handshakes.
	Refused uint64
	// Dropped counts messages that were dropped because a send queue was
	// full or MaxHandlers was reached.
	Dropped uint64
	// WireSent and WireReceived are the bytes of the TCP connections,
	// including multiplexing and TLS overhead.
	WireSent, WireReceived uint64
	// Kinds holds the kinds with traffic in ascending order. Heartbeats
	// count as KIND_UNSPECIFIED.
	Kinds []KindStats
}

type trafficCounter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

func (c *trafficCounter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (c *trafficCounter) load() Traffic {
	return Traffic{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
}

type counters struct {
	opened, lost, dialFailures, refused, dropped atomic.Uint64
	wireSent, wireReceived                       atomic.Uint64
	sent, received                               [kindLimit]trafficCounter
}

func kindIndex(kind peerpb.Kind) int {
	if kind < 0 || kind >= kindLimit {
		return 0
	}
	return int(kind)
}

func (c *counters) snapshot(sessions int) Stats {
	stats := Stats{
		Sessions:     sessions,
		Opened:       c.opened.Load(),
		Lost:         c.lost.Load(),
		DialFailures: c.dialFailures.Load(),
		Refused:      c.refused.Load(),
		Dropped:      c.dropped.Load(),
		WireSent:     c.wireSent.Load(),
		WireReceived: c.wireReceived.Load(),
	}
	for i := range kindLimit {
		kind := KindStats{Kind: peerpb.Kind(i), Sent: c.sent[i].load(), Received: c.received[i].load()}
		if kind.Sent.Messages > 0 || kind.Received.Messages > 0 {
			stats.Kinds = append(stats.Kinds, kind)
		}
	}
	return stats
}

// countedConn adds the bytes read and written to the wire totals.
type countedConn struct {
	net.Conn
	counters *counters
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.wireReceived.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.wireSent.Add(uint64(n))
	return n, err
}
