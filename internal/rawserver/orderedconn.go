package rawserver

import (
	"net"
	"sync"
)

// OrderedConn is a connection of a client that decides which call meets a reset of the server first: a
// write or a read. The kernel reports a reset to that one only.
type OrderedConn struct {
	net.Conn
	writeFirst bool
	// free is the number of bytes that may still be read, or written if writeFirst is not set, before
	// the other side has failed.
	free   int
	once   sync.Once
	failed chan struct{}
}

// NewOrderedConn returns a connection whose reads wait, after the given number of bytes, until a write
// has failed. If writeFirst is not set, writes wait until a read has failed.
func NewOrderedConn(conn net.Conn, writeFirst bool, bytes int) *OrderedConn {
	return &OrderedConn{Conn: conn, writeFirst: writeFirst, free: bytes, failed: make(chan struct{})}
}

// Read implements [net.Conn].
func (c *OrderedConn) Read(p []byte) (int, error) {
	if !c.writeFirst {
		return c.first(c.Conn.Read(p))
	}
	return c.second(p, c.Conn.Read)
}

// Write implements [net.Conn].
func (c *OrderedConn) Write(p []byte) (n int, err error) {
	if c.writeFirst {
		return c.first(c.Conn.Write(p))
	}
	for n < len(p) && err == nil {
		var m int
		m, err = c.second(p[n:], c.Conn.Write)
		n += m
	}
	return n, err
}

// Close implements [net.Conn].
func (c *OrderedConn) Close() error {
	c.once.Do(func() { close(c.failed) })
	return c.Conn.Close()
}

func (c *OrderedConn) first(n int, err error) (int, error) {
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

func (c *OrderedConn) second(p []byte, call func([]byte) (int, error)) (int, error) {
	if c.free <= 0 {
		<-c.failed
	} else {
		p = p[:min(len(p), c.free)]
	}
	n, err := call(p)
	c.free -= n
	return n, err
}
