package callerconn

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPipelined bounds the requests of one connection that are handled
	// concurrently.
	maxPipelined = 32
	// timeoutSlack is the factor applied to the idle and header timeouts, so that
	// data sent in time isn't rejected because of network delay.
	timeoutSlack = 1.25
	// shutdownPollInterval is the time between two checks for open connections
	// during a shutdown.
	shutdownPollInterval = 20 * time.Millisecond
	// acceptRetryDelay is the delay before accepting again after an error.
	acceptRetryDelay = 10 * time.Millisecond
)

// Options configure a [Server]. All are required.
type Options struct {
	Handler http.Handler
	// Limits returns the limits currently in effect.
	Limits func() Limits
	Logger *slog.Logger
}

// Limits are the limits on the connections and requests of callers.
type Limits struct {
	// IdleTimeout is how long a connection may stay idle. HeaderTimeout is how long
	// the caller may take to send the request line and headers.
	IdleTimeout, HeaderTimeout time.Duration
	// HeaderBytes is the maximum size of the request line and headers in bytes.
	HeaderBytes int64
}

// Server serves the connections of callers.
type Server struct {
	opts     Options
	stopping atomic.Bool
	inFlight atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
}

// NewServer returns a server, which [Server.Serve] starts.
func NewServer(opts Options) *Server {
	return &Server{opts: opts, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed, and returns nil then.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.opts.Logger.Warn("accepting a connection failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		accepted := newConn(s, c)
		s.mu.Lock()
		s.conns[accepted] = struct{}{}
		s.mu.Unlock()
		go accepted.serve()
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Leave makes each connection accept no further requests from its next response on, and
// close after the response to the last request read from it.
func (s *Server) Leave() { s.stopping.Store(true) }

// Shutdown closes the listener, drains the connections and waits until all are closed. If ctx
// ends first, it returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.mu.Lock()
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		// Connections that were just accepted are drained in a later round.
		if s.drain() == 0 && s.inFlight.Load() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// drain drains the connections and returns their number.
func (s *Server) drain() int {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.drain()
	}
	return len(conns)
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.raw.Close()
	}
}
