package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/memory"
)

const (
	// idleBytes is the memory of an instance without load: the tables, the servers, the loads of
	// other instances and the runtime. The users allow 64 MB for control. With little memory,
	// idleShare of it is assumed.
	idleBytes = 64 << 20
	idleShare = 0.25
	// garbageShare is the share of the runtime's soft limit that is left for what has been
	// released and not yet collected. Without it, the collector would run all the time when the
	// account is full.
	garbageShare = 1.0 / 8
	// callerConnBytes and serverConnBytes are the memory of an open connection of a caller or a
	// peer, and of one to a server: buffers and the stack of the goroutine that reads it.
	callerConnBytes = 16 << 10
	serverConnBytes = 12 << 10
	// scavengeInterval is the time between two looks at whether memory is to be returned.
	scavengeInterval = time.Second
)

// softMemoryLimit returns the soft memory limit of the runtime in bytes.
func softMemoryLimit(memoryMB int64) int64 { return int64(float64(memoryMB<<20) * memoryShare) }

// loadMemory returns the bytes that may be used by what grows with the load, or 0 if the memory
// that the process may use is not known.
func loadMemory(memoryMB int64) int64 {
	if memoryMB <= 0 {
		return 0
	}
	idle := min(idleBytes, idleShare*float64(memoryMB<<20))
	return int64((1-garbageShare)*float64(softMemoryLimit(memoryMB)) - idle)
}

// chargedListener charges the connections that it accepts to an account.
type chargedListener struct {
	net.Listener
	account *memory.Account
}

// Accept implements [net.Listener].
func (l *chargedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return charge(conn, l.account, callerConnBytes), nil
}

// dialCharged returns a function that opens connections with dial and charges them.
func dialCharged(account *memory.Account, dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return charge(conn, account, serverConnBytes), nil
	}
}

// charge charges a connection until it is closed.
func charge(conn net.Conn, account *memory.Account, n int64) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	account.Add(memory.Connections, n)
	c := &chargedConn{TCPConn: tcp}
	c.release = sync.OnceFunc(func() { account.Add(memory.Connections, -n) })
	return c
}

// chargedConn is a connection that is charged until it is closed. It has all methods of a TCP
// connection, some of which its users look for.
type chargedConn struct {
	*net.TCPConn
	release func()
}

// Close implements [net.Conn].
func (c *chargedConn) Close() error {
	c.release()
	return c.TCPConn.Close()
}

// returnMemory returns the memory of a burst to the system once the load has fallen.
func (d *Daemon) returnMemory(ctx context.Context) error {
	scavenger := memory.NewScavenger(gcPercent)
	for sleep(ctx, scavengeInterval) {
		began := time.Now()
		r, returned := scavenger.Check(d.memory.Load(), began)
		if !returned {
			continue
		}
		d.memoryReturns.Add(1)
		d.logger.Info("memory returned", "held_before", r.Before.Held, "held_after", r.After.Held, "reachable", r.After.Live,
			"load", r.Before.Load, "calm", r.Calm, "took", time.Since(began))
	}
	return nil
}
