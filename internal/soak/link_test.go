package soak

import (
	"net"
	"sync"
	"time"
)

// fault is what a link does to its connections.
type fault int

const (
	faultNone fault = iota
	// faultReset resets connections, open ones and new ones.
	faultReset
	// faultSilent passes nothing on and closes nothing.
	faultSilent
	// faultOneWay passes nothing back from the server.
	faultOneWay
	// faultSlow delays what is passed on.
	faultSlow
	faultCount
)

const (
	slowBy    = 60 * time.Millisecond
	linkBytes = 16 << 10
	// recheck is how often a silent link looks whether it is whole again.
	recheck = 20 * time.Millisecond
)

// link is a loopback proxy to one address.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	fault    fault
	conns    map[net.Conn]bool
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

func (l *link) now() fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// set changes what the link does. Connections that went silent are reset when
// the link is whole again.
func (l *link) set(f fault) {
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
		if l.now() == faultReset {
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
		go l.pass(conn, server, faultSilent)
		go l.pass(server, conn, faultOneWay)
	}
}

// pass copies bytes one way and holds them up while the link has the fault or is
// silent.
func (l *link) pass(from, to net.Conn, stopAt fault) {
	defer func() {
		from.Close()
		to.Close()
		l.mu.Lock()
		delete(l.conns, from)
		l.mu.Unlock()
	}()
	buf := make([]byte, linkBytes)
	for {
		n, err := from.Read(buf)
		for f := l.now(); f == faultSilent || f == stopAt; f = l.now() {
			time.Sleep(recheck)
		}
		if l.now() == faultSlow {
			time.Sleep(slowBy)
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
	l.set(faultReset)
	l.listener.Close()
}
