package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

// Defaults of [Options].
const (
	DefaultHeartbeat   = 300 * time.Millisecond
	DefaultDialTimeout = time.Second
	DefaultRedialMin   = 50 * time.Millisecond
	DefaultRedialMax   = 2 * time.Second
	DefaultQueueSize   = 1024
	DefaultMaxHandlers = 512
	// maxHandshakes bounds the incoming connections in the handshake.
	maxHandshakes = 64
	// heartbeatPerSession is the least heartbeat interval per open session.
	// It keeps the heartbeats of all sessions below 70 per second.
	heartbeatPerSession = 15 * time.Millisecond
)

// Options configure a [Mesh]. Fleet and Self are required.
type Options struct {
	// Fleet is the name of the fleet. Peers of other fleets are refused.
	Fleet string
	// Self is the local instance.
	Self storage.Instance
	// TLS encrypts sessions; nil means plain TCP. For mutual
	// authentication set ClientAuth, ClientCAs and RootCAs. The dialler
	// verifies the peer's certificate for ServerName, by default Fleet.
	TLS *tls.Config
	// Logger receives log events; nil discards them.
	Logger *slog.Logger
	// Heartbeat is the shortest heartbeat interval of a session. The
	// interval is 15 ms per open session if that is longer. A peer counts
	// as lost when nothing arrives from it for three intervals.
	Heartbeat time.Duration
	// DialTimeout bounds the dial together with the handshake, and the
	// handshake of an incoming connection.
	DialTimeout time.Duration
	// RedialMin and RedialMax bound the exponential backoff between dials
	// before jitter.
	RedialMin, RedialMax time.Duration
	// QueueSize is the capacity of the send queue of each peer.
	QueueSize int
	// MaxHandlers bounds the messages of one peer that are handled
	// concurrently.
	MaxHandlers int
	// Dial opens a connection to a peer address; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// version is the protocol version; tests override it.
	version uint32
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	o.Heartbeat = defaultDuration(o.Heartbeat, DefaultHeartbeat)
	o.DialTimeout = defaultDuration(o.DialTimeout, DefaultDialTimeout)
	o.RedialMin = defaultDuration(o.RedialMin, DefaultRedialMin)
	o.RedialMax = max(o.RedialMin, defaultDuration(o.RedialMax, DefaultRedialMax))
	if o.QueueSize <= 0 {
		o.QueueSize = DefaultQueueSize
	}
	if o.MaxHandlers <= 0 {
		o.MaxHandlers = DefaultMaxHandlers
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.version == 0 {
		o.version = ProtocolVersion
	}
}

func defaultDuration(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Mesh keeps one session with each target instance and implements
// [Messenger]. It is safe for concurrent use.
type Mesh struct {
	opts     Options
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	handlers map[peerpb.Kind]Handler
	sessions map[string]*session
	targets  map[string]*target
	events   []chan Event
	// lastRefusalLog is when a refused connection was last logged, for
	// rate limiting.
	lastRefusalLog time.Time
}

var _ Messenger = (*Mesh)(nil)

// NewMesh returns a mesh without targets. Call Serve to accept sessions,
// SetTargets to dial them and Close to release the mesh.
func NewMesh(opts Options) *Mesh {
	opts.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		opts:     opts,
		ctx:      ctx,
		cancel:   cancel,
		handlers: make(map[peerpb.Kind]Handler),
		sessions: make(map[string]*session),
		targets:  make(map[string]*target),
	}
}

// Serve accepts sessions on l until ctx ends or the mesh is closed, and then
// closes l and returns nil. It fails if l is closed by others.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	stopMesh := context.AfterFunc(m.ctx, func() { l.Close() })
	defer stopMesh()
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil || m.ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			m.opts.Logger.Warn("peer_accept_failed", "error", err)
			time.Sleep(m.opts.RedialMin)
			continue
		}
		m.handleConn(conn, handshakes)
	}
}

// handleConn performs the handshake of an incoming connection and serves its
// session in a new goroutine. handshakes is the semaphore that bounds concurrent
// handshakes; connections above the limit are closed.
func (m *Mesh) handleConn(conn net.Conn, handshakes chan struct{}) {
	select {
	case handshakes <- struct{}{}:
	default:
		m.counters.refused.Add(1)
		conn.Close()
		return
	}
	started := m.goTracked(func() {
		s, err := m.acceptSession(m.ctx, conn)
		<-handshakes
		if err != nil {
			m.recordRefused(conn.RemoteAddr(), err)
			return
		}
		m.serveSession(s)
	})
	if !started {
		<-handshakes
		conn.Close()
	}
}

// recordRefused counts an incoming connection whose handshake failed or was
// refused, and logs at most one per second. Duplicate sessions are not logged.
func (m *Mesh) recordRefused(remote net.Addr, err error) {
	m.counters.refused.Add(1)
	var duplicate *DuplicateError
	if m.ctx.Err() != nil || errors.As(err, &duplicate) {
		return
	}
	m.mu.Lock()
	loggedRecently := time.Since(m.lastRefusalLog) < time.Second
	if !loggedRecently {
		m.lastRefusalLog = time.Now()
	}
	m.mu.Unlock()
	if !loggedRecently {
		m.opts.Logger.Warn("peer_refused", "remote", remote, "error", err)
	}
}

// goTracked runs f in a goroutine that Close waits for. It reports false without
// running f if the mesh is closed.
func (m *Mesh) goTracked(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.wg.Go(f)
	return true
}

// Close closes all sessions and waits for their goroutines and handlers.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
}

// Self implements [Messenger].
func (m *Mesh) Self() string { return m.opts.Self.ID }

// Handle implements [Messenger].
func (m *Mesh) Handle(kind peerpb.Kind, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = h
}

// Subscribe implements [Messenger].
func (m *Mesh) Subscribe(size int) <-chan Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := make(chan Event, size)
	m.events = append(m.events, events)
	return events
}

// Connected implements [Messenger].
func (m *Mesh) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]string, 0, len(m.sessions))
	for id := range m.sessions {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Call implements [Messenger].
func (m *Mesh) Call(ctx context.Context, to string, kind peerpb.Kind, req, resp proto.Message) error {
	if to == m.Self() {
		return m.callSelf(ctx, kind, req, resp)
	}
	s, err := m.session(to)
	if err != nil {
		return err
	}
	return s.call(ctx, kind, req, resp)
}

// callSelf runs the local handler for a call of the local instance to itself.
func (m *Mesh) callSelf(ctx context.Context, kind peerpb.Kind, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	respPayload, err := m.serveLocal(ctx, m.Self(), kind, payload)
	if err != nil {
		return &RemoteError{InstanceID: m.Self(), Message: err.Error()}
	}
	return proto.Unmarshal(respPayload, resp)
}

// Send implements [Messenger].
func (m *Mesh) Send(to string, kind peerpb.Kind, msg proto.Message) error {
	if to != m.Self() {
		s, err := m.session(to)
		if err != nil {
			return err
		}
		return s.send(kind, msg)
	}
	payload, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	if !m.goTracked(func() { _, _ = m.serveLocal(m.ctx, to, kind, payload) }) {
		return &UnreachableError{InstanceID: to, Reason: "mesh closed"}
	}
	return nil
}

// heartbeatInterval returns the current interval between heartbeats.
func (m *Mesh) heartbeatInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.opts.Heartbeat, time.Duration(len(m.sessions))*heartbeatPerSession)
}

// session returns the open session with a peer or fails with
// [UnreachableError].
func (m *Mesh) session(id string) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.sessions[id]; s != nil {
		return s, nil
	}
	return nil, &UnreachableError{InstanceID: id, Reason: "no session"}
}

// Stats returns the number of open sessions and the totals since the start of
// the mesh.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	sessions := len(m.sessions)
	m.mu.Unlock()
	return m.counters.snapshot(sessions)
}
