package soak

import (
	"net"
	"sync"
	"time"
)

// fault is the fault that a link injects into its connections.
type fault int

const (
	faultNone fault = iota
	// faultReset resets open and new connections.
	faultReset
	// faultSilent blocks both directions and keeps connections open.
	faultSilent
	// faultOneWay blocks the direction from the server.
	faultOneWay
	// faultSlow delays each chunk by slowDelay.
	faultSlow
	faultCount
)

const (
	slowDelay       = 60 * time.Millisecond
	copyBufferBytes = 16 << 10
	// recheckInterval is how often a blocked connection checks whether the fault
	// has ended.
	recheckInterval = 20 * time.Millisecond
)

// link is a TCP proxy on loopback that injects faults on the way to one address.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	fault    fault
	conns    map[net.Conn]bool
	// refuses reports whether a connection is refused; nil if none is.
	refuses func(conn net.Conn) bool
}

func newLink(ip, target string) (*link, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) currentFault() fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// refuse sets which connections are refused, and resets those that are open.
func (l *link) refuse(refuses func(conn net.Conn) bool) {
	l.setFault(faultReset)
	l.mu.Lock()
	l.refuses = refuses
	l.mu.Unlock()
	l.setFault(faultNone)
}

// setFault changes the fault. When a blocking fault is cleared, all open connections
// are reset.
func (l *link) setFault(f fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == faultReset || f == faultNone && (l.fault == faultSilent || l.fault == faultOneWay) {
		for c := range l.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	l.fault = f
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		refuses := l.refuses
		l.mu.Unlock()
		if l.currentFault() == faultReset || refuses != nil && refuses(conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			continue
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			continue
		}
		l.mu.Lock()
		l.conns[conn], l.conns[server] = true, true
		l.mu.Unlock()
		go l.copyData(conn, server, faultSilent)
		go l.copyData(server, conn, faultOneWay)
	}
}

// copyData copies data in one direction. It blocks while the link's fault is
// blockedBy or faultSilent.
func (l *link) copyData(from, to net.Conn, blockedBy fault) {
	defer func() {
		from.Close()
		to.Close()
		l.mu.Lock()
		delete(l.conns, from)
		l.mu.Unlock()
	}()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		for f := l.currentFault(); f == faultSilent || f == blockedBy; f = l.currentFault() {
			time.Sleep(recheckInterval)
		}
		if l.currentFault() == faultSlow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) close() {
	l.setFault(faultReset)
	l.listener.Close()
}
