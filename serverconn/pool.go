package serverconn

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/internal/idset"
	"github.com/pomelolock/pomelolock/internal/respcheck"
)

const (
	// dialTimeout bounds the opening of a connection. It is far above the round
	// trip time between data centres and below the second after which a lost SYN
	// is retransmitted.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// doesn't announce its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's idle timeout, so that a request
	// isn't sent while the server closes the connection.
	idleMargin = 700 * time.Millisecond
	bufferSize = 4 << 10
)

const (
	// defaultPerServer is the default limit of connections to one server.
	defaultPerServer = 64
	// maxRequests is the number of requests after which a connection is not used again. It bounds
	// the memory for their IDs to 8 KiB a connection.
	maxRequests = 1024
)

// FullError reports that the limit of connections to a server is reached and all of
// them are in use.
type FullError struct{ Address string }

func (e *FullError) Error() string { return "serverconn: connection limit reached for " + e.Address }

// DialError reports that a connection could not be opened. Nothing was sent.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return "serverconn: dial " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Pool is a pool of connections to all backend servers. It is safe for concurrent use.
type Pool struct {
	// Opened counts the connections opened, Reused the uses of idle connections
	// and Checks the status checks sent.
	Opened, Reused, Checks atomic.Uint64

	// Dial opens connections. It may be replaced before the first use.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is called with the result of each attempt to open a connection that was not
	// cancelled. It must be set before the first use, if at all, and must not block.
	OnDial func(address string, ok bool)

	mu      sync.Mutex
	servers map[string]*server
}

type server struct {
	idle []*Conn
	open int
	// validSince is the earliest time at which a connection may have been opened
	// to be reused.
	validSince time.Time
}

// Conn is a connection to a backend server.
type Conn struct {
	raw     net.Conn
	pool    *Pool
	address string
	heads   *respcheck.Reader
	limit   *hop.HeadReader
	reader  *bufio.Reader
	// Number identifies the connection in the process. Uses counts how
	// often it was taken from the pool, for a request or a status check, including the
	// present use. IdleTime is how long it was idle before.
	Number   uint64
	Uses     int
	IdleTime time.Duration
	// Early reports whether the response of the present use began before the whole request
	// was written.
	Early bool
	// MayWrite, if set, is called immediately before the first byte of the present use is
	// written. If it fails, nothing is written, and the round trip fails with its error.
	MayWrite  func() error
	written   atomic.Int64
	idleSince time.Time
	// expires is the time from which an idle connection must not be reused, because
	// the server may close it.
	expires time.Time
	opened  time.Time
	closed  bool
	// carried holds hashes of the IDs of the requests that were sent on the connection,
	// request that of the request for which it was taken from the pool, 0 for a status check.
	carried idset.Set
	request idset.Hash
	// carriedHead is set if one of the requests was HEAD.
	carriedHead bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	dialer := &net.Dialer{KeepAlive: -1}
	return &Pool{servers: make(map[string]*server), Dial: dialer.DialContext}
}

func (p *Pool) serverLocked(address string) *server {
	s := p.servers[address]
	if s == nil {
		s = &server{}
		p.servers[address] = s
	}
	return s
}

// Get returns an idle connection to the address for a status check, or opens a new one. limit
// is the limit of connections to the address; 0 selects the default. Get fails with [FullError]
// or [DialError].
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	return p.get(ctx, address, limit, func(*Conn) bool { return true })
}

// GetFor is like Get for a request with the given ID. A connection carries each ID at most
// once: a server may write a response once more, and on a connection that has carried the ID
// before, its copy could not be told from the response to the present attempt. For the same
// reason a request without an ID gets a new connection.
func (p *Pool) GetFor(ctx context.Context, address string, limit int, id string) (*Conn, error) {
	hash := idset.HashOf(id)
	c, err := p.get(ctx, address, limit, func(c *Conn) bool { return id != "" && !c.carried.Contains(hash) })
	if err == nil {
		c.request = hash
	}
	return c, err
}

// carry records the request for which the connection was taken from the pool.
func (c *Conn) carry() {
	if c.request != 0 {
		c.carried.Add(c.request)
	}
}

// lastNumber is the number of the connection that was opened last.
var lastNumber atomic.Uint64

// get returns an idle connection to the address for which fits returns true, or opens a new
// one.
func (p *Pool) get(ctx context.Context, address string, limit int, fits func(*Conn) bool) (*Conn, error) {
	if limit <= 0 {
		limit = defaultPerServer
	}
	for {
		c, open := p.takeIdle(address, limit, fits)
		if c == nil && !open {
			return nil, &FullError{Address: address}
		}
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.reuse(time.Now()) {
			return c, nil
		}
	}
}

// reuse prepares an idle connection for its next use. It reports false and closes the
// connection if it can't be used again.
func (c *Conn) reuse(now time.Time) bool {
	if !c.usable(now) {
		c.Close()
		return false
	}
	c.Uses++
	c.request = 0
	c.Early = false
	c.MayWrite = nil
	c.written.Store(0)
	c.IdleTime = now.Sub(c.idleSince)
	c.pool.Reused.Add(1)
	return true
}

// Reused reports whether the connection has carried a request or a status check before.
func (c *Conn) Reused() bool { return c.Uses > 1 }

// Written returns the time immediately before the first byte of the present use was written,
// the zero time if none was.
func (c *Conn) Written() time.Time {
	if at := c.written.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// IdleAddresses returns the addresses to which there are idle connections.
func (p *Pool) IdleAddresses() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make(map[string]bool)
	for address, s := range p.servers {
		if len(s.idle) > 0 {
			addresses[address] = true
		}
	}
	return addresses
}

// Idle reports whether there is an idle connection to the address.
func (p *Pool) Idle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	return s != nil && len(s.idle) > 0
}

// takeIdle returns that of the idle connections for which fits returns true which was used
// last. If there is none, it reports whether a new connection may be opened, and counts it as
// open. At the limit it closes an idle connection for that.
func (p *Pool) takeIdle(address string, limit int, fits func(*Conn) bool) (c *Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.serverLocked(address)
	for i, idle := range slices.Backward(s.idle) {
		if fits(idle) {
			s.idle = slices.Delete(s.idle, i, i+1)
			return idle, false
		}
	}
	switch {
	case s.open < limit:
		s.open++
	case len(s.idle) > 0:
		// The new connection takes the place of the closed one.
		s.idle[0].closed = true
		s.idle[0].raw.Close()
		s.idle = slices.Delete(s.idle, 0, 1)
	default:
		return nil, false
	}
	return nil, true
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := p.Dial(limited, "tcp", address)
	cancel()
	if p.OnDial != nil && ctx.Err() == nil {
		p.OnDial(address, err == nil)
	}
	if err != nil {
		p.release(address)
		return nil, &DialError{Address: address, Err: err}
	}
	p.Opened.Add(1)
	heads := respcheck.NewReader(conn)
	limit := hop.NewHeadReader(heads)
	return &Conn{
		Number: lastNumber.Add(1), Uses: 1,
		raw: conn, pool: p, address: address, heads: heads, limit: limit, reader: bufio.NewReaderSize(limit, bufferSize), opened: time.Now(),
	}, nil
}

// release counts a connection to the address as closed.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.serverLocked(address)
	s.open--
	if s.open <= 0 && len(s.idle) == 0 && s.validSince.IsZero() {
		delete(p.servers, address)
	}
}

// put returns a connection to the pool for at most the given time.
func (p *Pool) put(c *Conn, idle time.Duration) {
	c.MayWrite = nil
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(idle)
	p.mu.Lock()
	s := p.serverLocked(c.address)
	keep := !c.opened.Before(s.validSince) && c.carried.Len() < maxRequests
	if keep {
		s.idle = append(s.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// Invalidate closes the idle connections to an address and prevents the reuse of those
// that are in use. It is called if a connection to the address no longer responds.
func (p *Pool) Invalidate(address string) {
	p.mu.Lock()
	s := p.serverLocked(address)
	s.validSince = time.Now()
	idle := s.idle
	s.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// InvalidateAll is like Invalidate for all addresses.
func (p *Pool) InvalidateAll() {
	p.mu.Lock()
	addresses := slices.Collect(maps.Keys(p.servers))
	p.mu.Unlock()
	for _, address := range addresses {
		p.Invalidate(address)
	}
}

// Sweep closes the idle connections that have expired and those to addresses for which
// keep returns false.
func (p *Pool) Sweep(now time.Time, keep func(address string) bool) {
	var expired []*Conn
	p.mu.Lock()
	for address, s := range p.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.After(c.expires) || !keep(address) {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		s.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Close closes the connection; it is not returned to the pool. Closing it again has no
// effect.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.release(c.address)
	c.raw.Close()
}

// usable reports whether an idle connection has not expired, is still open and has no
// unread data. It reads from the socket without blocking.
func (c *Conn) usable(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var noData bool
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		noData = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// idleTimeout returns how long a connection may stay idle after a response with the
// given Keep-Alive header.
func idleTimeout(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
