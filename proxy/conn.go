package proxy

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// SendRefusal tells why a connection refused to send bytes.
type SendRefusal string

func (s SendRefusal) Error() string { return "proxy: " + string(s) }

const (
	errConnSealed SendRefusal = "connection sealed"
	errSendLate   SendRefusal = "deadline passed before sending"
)

// countedConn counts the bytes handed to the network. It can be sealed, after
// which no further byte leaves, and sends nothing after the present attempt's
// deadline, however long the process was stopped meanwhile.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
	// notAfter is the deadline of the present attempt.
	notAfter time.Time
}

// Write implements [net.Conn].
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errConnSealed
	}
	if !c.notAfter.IsZero() && time.Now().After(c.notAfter) {
		c.mu.Unlock()
		return 0, errSendLate
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin starts an attempt with the given deadline and returns the bytes
// written before it.
func (c *countedConn) begin(deadline time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAfter = deadline
	return c.written
}

// seal stops all later writes and returns the bytes written so far.
func (c *countedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// connUse is a connection that an attempt obtained.
type connUse struct {
	conn  *countedConn
	start int64
}

// sendRecord proves whether any byte of an attempt left the instance.
type sendRecord struct {
	deadline time.Time

	mu       sync.Mutex
	uses     []connUse
	answered bool
}

// trace returns a context that fills the record during a round trip.
func (s *sendRecord) trace(ctx context.Context) context.Context {
	s.deadline, _ = ctx.Deadline()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              s.gotConn,
		GotFirstResponseByte: s.gotFirstByte,
	})
}

func (s *sendRecord) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses = append(s.uses, connUse{conn: conn, start: conn.begin(s.deadline)})
}

func (s *sendRecord) gotFirstByte() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = true
}

// sealUnsent seals the attempt's connections and reports whether no byte of
// the attempt was written to any of them. Call it after a failed round trip.
func (s *sendRecord) sealUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unsent := true
	for _, use := range s.uses {
		if use.conn.seal() != use.start {
			unsent = false
		}
	}
	return unsent
}

// cutUnanswered reports whether bytes were written and none came back.
func (s *sendRecord) cutUnanswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.uses) > 0 && !s.answered
}
