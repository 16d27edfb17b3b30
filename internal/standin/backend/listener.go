package backend

import (
	"net"
	"sync"
	"time"
)

// Listener limits the number of open connections and delays the first read of
// each one by the cost of opening a connection.
type Listener struct {
	net.Listener
	slots *slots
	limit int
	cost  time.Duration
}

// Listen wraps listener with the server's connection limit and delay.
func (s *Server) Listen(listener net.Listener) *Listener {
	return &Listener{Listener: listener, slots: s.slots, limit: s.opts.Connections, cost: s.opts.ConnectCost}
}

// Accept returns the next connection within the limit. It closes connections
// that exceed the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		conn.Close()
	}
}

func (l *Listener) admit() bool {
	admitted := false
	l.slots.count(func(c *Counts) {
		if c.Connections >= l.limit {
			c.ConnectionsRefused++
			return
		}
		admitted = true
		c.ConnectionsOpened++
		c.Connections++
		c.MaxConnections = max(c.MaxConnections, c.Connections)
	})
	return admitted
}

type limitedConn struct {
	net.Conn
	listener *Listener
	delay    sync.Once
	closed   sync.Once
}

// Read delays the first read by the cost of opening a connection.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.delay.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(p)
}

// Close closes the connection, which no longer counts against the limit.
func (c *limitedConn) Close() error {
	c.closed.Do(func() { c.listener.slots.count(func(counts *Counts) { counts.Connections-- }) })
	return c.Conn.Close()
}
