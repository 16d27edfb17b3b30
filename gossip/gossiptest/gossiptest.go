// Package gossiptest provides a network in memory for tests of instances that exchange
// datagrams. It needs no sockets, so that tests can run in a synctest bubble.
package gossiptest

import (
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength is the number of datagrams that a connection holds; further ones are lost.
const queueLength = 1024

// Network carries datagrams between its connections. The zero value is not usable.
type Network struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*Conn
}

// NewNetwork returns a network without connections.
func NewNetwork() *Network { return &Network{conns: make(map[netip.AddrPort]*Conn)} }

type datagram struct {
	data []byte
	from netip.AddrPort
}

// Conn is a connection of one instance. It implements [gossip.Conn].
type Conn struct {
	network  *Network
	address  netip.AddrPort
	received chan datagram
	// expired is closed by a deadline, which ends all reads.
	expired chan struct{}
	once    sync.Once
	cut     atomic.Bool
}

// Listen returns a connection with an address of its own.
func (n *Network) Listen() *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(n.conns) >> 8), byte(len(n.conns))}), 7200)
	c := &Conn{network: n, address: address, received: make(chan datagram, queueLength), expired: make(chan struct{})}
	n.conns[address] = c
	return c
}

// Cut sets whether the datagrams from and to the connection are lost.
func (c *Conn) Cut(cut bool) { c.cut.Store(cut) }

// Address returns the address of the connection.
func (c *Conn) Address() netip.AddrPort { return c.address }

// ReadFromUDPAddrPort implements [gossip.Conn].
func (c *Conn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-c.received:
		return copy(b, d.data), d.from, nil
	case <-c.expired:
		return 0, netip.AddrPort{}, os.ErrDeadlineExceeded
	}
}

// WriteToUDPAddrPort implements [gossip.Conn]. Datagrams to unknown addresses are lost.
func (c *Conn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	c.network.mu.Lock()
	target := c.network.conns[to]
	c.network.mu.Unlock()
	if target == nil || target.cut.Load() || c.cut.Load() {
		return len(b), nil
	}
	select {
	case target.received <- datagram{data: append([]byte(nil), b...), from: c.address}:
	default:
	}
	return len(b), nil
}

// SetReadDeadline implements [gossip.Conn]. Any deadline ends all reads.
func (c *Conn) SetReadDeadline(time.Time) error {
	c.once.Do(func() { close(c.expired) })
	return nil
}
