package proxy

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/idset"
	"github.com/pomelolock/pomelolock/internal/respcheck"
)

// WriteRefusedError is the reason why a connection refused to write.
type WriteRefusedError string

func (e WriteRefusedError) Error() string { return "proxy: " + string(e) }

const (
	errWritesStopped  WriteRefusedError = "writes on the connection were stopped"
	errDeadlinePassed WriteRefusedError = "deadline passed before the request was sent"
	errIDCarried      WriteRefusedError = "the connection has carried the ID of the request before"
)

// maxCarried is the number of IDs that a connection may carry. It bounds the memory for them to 8 KiB a
// connection.
const maxCarried = 1024

// countingConn counts the bytes written to the network. Once it is stopped, or
// after the deadline of the current attempt, it writes nothing. The deadline is
// checked before each write because the process may have been suspended since
// the attempt began.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	// stopped is the reason why nothing more is written; "" if there is none.
	stopped WriteRefusedError
	// attemptDeadline is the deadline of the current attempt.
	attemptDeadline time.Time
	// attempts counts the attempts that got the connection. answered counts those, from the first
	// one on without a gap, that ended with their own complete response, which was no refusal.
	attempts, answered int
	// carried holds hashes of the IDs of the attempts.
	carried idset.Set
}

// Write implements [net.Conn].
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.stopped != "" {
		defer c.mu.Unlock()
		return 0, c.stopped
	}
	if !c.attemptDeadline.IsZero() && time.Now().After(c.attemptDeadline) {
		c.mu.Unlock()
		return 0, errDeadlinePassed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// beginAttempt begins the use of the connection by a new attempt with the given
// deadline, for a request with the given ID. If the connection may have carried the ID before and
// onlyOnce is set, it is stopped.
func (c *countingConn) beginAttempt(deadline time.Time, id string, onlyOnce bool) connUse {
	hash := idset.HashOf(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptDeadline = deadline
	c.attempts++
	use := connUse{conn: c, start: c.written, number: c.attempts}
	use.repeated = c.carried.Len() >= maxCarried || c.carried.Contains(hash)
	switch {
	case !use.repeated:
		c.carried.Add(hash)
	case onlyOnce:
		use.refused = true
		c.stopLocked(errIDCarried)
	}
	return use
}

func (c *countingConn) stopLocked(reason WriteRefusedError) {
	if c.stopped == "" {
		c.stopped = reason
	}
}

// stopWrites makes all later writes fail and returns the number of bytes
// written so far.
func (c *countingConn) stopWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopLocked(errWritesStopped)
	return c.written
}

// connUse is the use of a connection by an attempt.
type connUse struct {
	conn *countingConn
	// start is the number of bytes written before the attempt.
	start int64
	// number is 1 for the first attempt on the connection.
	number int
	// repeated is set if the connection may have carried the ID of the request before, refused if it
	// was stopped for that before the attempt wrote anything.
	repeated, refused bool
}

// end closes the connection unless the transport has handed it to a later attempt.
func (u connUse) end() {
	u.conn.mu.Lock()
	last := u.number == u.conn.attempts
	if last {
		u.conn.stopLocked(errWritesStopped)
	}
	u.conn.mu.Unlock()
	if last {
		_ = u.conn.Close()
	}
}

// sendRecord records the connections of an attempt, to determine whether any
// byte of its request was written.
type sendRecord struct {
	// id is the ID of the request. onlyOnce is set if the request goes to another connection if one
	// may have carried the ID before.
	id       string
	onlyOnce bool
	deadline time.Time

	mu              sync.Mutex
	uses            []connUse
	responseStarted bool
	// refused is set if the last connection of the present round trip is stopped because it may have
	// carried the ID before.
	refused bool
}

// trace returns a context whose trace hooks fill the record during a round
// trip.
func (s *sendRecord) trace(ctx context.Context) context.Context {
	s.deadline, _ = ctx.Deadline()
	s.mu.Lock()
	s.refused = false
	s.mu.Unlock()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              s.gotConn,
		GotFirstResponseByte: s.gotFirstByte,
	})
}

func (s *sendRecord) gotConn(info httptrace.GotConnInfo) {
	conn, ok := respcheck.Dialed(info.Conn).(*countingConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	use := conn.beginAttempt(s.deadline, s.id, s.onlyOnce)
	s.uses = append(s.uses, use)
	s.refused = use.refused
}

// refusedConn reports whether the round trip ended on a connection that may have carried the ID
// before. Nothing was sent then, and a response is one to an earlier attempt.
func (s *sendRecord) refusedConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
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

// confirmRefusal reports whether a refusal that the attempt received proves that its request did
// not run. hasID is set if the refusal bears the ID of the request. A server may write a response
// once more, and the transport may hand a connection out again before the attempt before has seen
// its response. So a refusal is certainly that of the attempt only if nothing came before it on the
// connection, or nothing but the responses of earlier attempts, which were no refusals.
func (s *sendRecord) confirmRefusal(hasID bool) bool {
	use, ok := s.lastUse()
	if !ok {
		return false
	}
	defer use.end()
	use.conn.mu.Lock()
	defer use.conn.mu.Unlock()
	return use.number == 1 || hasID && use.conn.answered >= use.number-1
}

// confirmAnswer records that the attempt ended with a complete response that bears the ID of its
// request and was no refusal. If the connection may have carried the ID before, the response may be that
// of an earlier attempt, so that the attempt's own is still to come: the connection is closed then.
func (s *sendRecord) confirmAnswer() {
	use, ok := s.lastUse()
	if !ok {
		return
	}
	if use.repeated {
		use.end()
		return
	}
	use.conn.mu.Lock()
	defer use.conn.mu.Unlock()
	if use.conn.answered == use.number-1 {
		use.conn.answered = use.number
	}
}

// endUse closes the connection of the attempt, on which further responses may arrive, unless a
// later attempt has it.
func (s *sendRecord) endUse() {
	if use, ok := s.lastUse(); ok {
		use.end()
	}
}

func (s *sendRecord) lastUse() (connUse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.uses) == 0 {
		return connUse{}, false
	}
	return s.uses[len(s.uses)-1], true
}

// noResponse reports whether the attempt got a connection and received no byte
// of a response.
func (s *sendRecord) noResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.uses) > 0 && !s.responseStarted
}
