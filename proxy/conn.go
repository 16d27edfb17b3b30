package proxy

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// WriteRefusedError is the reason why a connection refused to write.
type WriteRefusedError string

func (e WriteRefusedError) Error() string { return "proxy: " + string(e) }

const (
	errWritesStopped  WriteRefusedError = "writes on the connection were stopped"
	errDeadlinePassed WriteRefusedError = "deadline passed before the request was sent"
)

// countingConn counts the bytes written to the network. After stopWrites, or
// after the deadline of the current attempt, it writes nothing. The deadline is
// checked before each write because the process may have been suspended since
// the attempt began.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	stopped bool
	// attemptDeadline is the deadline of the current attempt.
	attemptDeadline time.Time
}

// Write implements [net.Conn].
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return 0, errWritesStopped
	}
	if !c.attemptDeadline.IsZero() && time.Now().After(c.attemptDeadline) {
		c.mu.Unlock()
		return 0, errDeadlinePassed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// beginAttempt sets the deadline of a new attempt and returns the number of
// bytes written before it.
func (c *countingConn) beginAttempt(deadline time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptDeadline = deadline
	return c.written
}

// stopWrites makes all later writes fail and returns the number of bytes
// written so far.
func (c *countingConn) stopWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	return c.written
}

// connUse is the use of a connection by an attempt.
type connUse struct {
	conn *countingConn
	// start is the number of bytes written before the attempt.
	start int64
}

// sendRecord records the connections of an attempt, to determine whether any
// byte of its request was written.
type sendRecord struct {
	deadline time.Time

	mu              sync.Mutex
	uses            []connUse
	responseStarted bool
}

// trace returns a context whose trace hooks fill the record during a round
// trip.
func (s *sendRecord) trace(ctx context.Context) context.Context {
	s.deadline, _ = ctx.Deadline()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              s.gotConn,
		GotFirstResponseByte: s.gotFirstByte,
	})
}

func (s *sendRecord) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses = append(s.uses, connUse{conn: conn, start: conn.beginAttempt(s.deadline)})
}

func (s *sendRecord) gotFirstByte() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseStarted = true
}

// confirmUnsent stops writes on the attempt's connections and reports whether
// no byte of the attempt was written to any of them. Call it after a failed
// round trip.
func (s *sendRecord) confirmUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unsent := true
	for _, use := range s.uses {
		if use.conn.stopWrites() != use.start {
			unsent = false
		}
	}
	return unsent
}

// noResponse reports whether the attempt got a connection and received no byte
// of a response.
func (s *sendRecord) noResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.uses) > 0 && !s.responseStarted
}
