package peer

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// refusalReadTimeout is how long the accepting side keeps a refused connection
// open for the dialler to read the refusal.
const refusalReadTimeout = time.Second

// link is a multiplexed connection with its two streams during the handshake.
// input is nil until the peer's stream is accepted.
type link struct {
	dialed bool
	conn   net.Conn
	mux    *yamux.Session
	input  *yamux.Stream
	output *yamux.Stream
}

func (l *link) close() {
	l.conn.Close()
	if l.mux != nil {
		_ = l.mux.Close()
	}
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.AcceptBacklog = 4
	config.LogOutput = io.Discard
	return config
}

// newLink performs the TLS handshake if TLS is configured, starts the
// multiplexer and opens the outgoing stream. It closes conn on failure.
func (m *Mesh) newLink(ctx context.Context, conn net.Conn, dialed bool) (*link, error) {
	l := &link{dialed: dialed, conn: conn}
	var rw net.Conn = &countedConn{Conn: conn, counters: &m.counters}
	if m.opts.TLS != nil {
		tlsConn, err := m.startTLS(ctx, rw, dialed)
		if err != nil {
			conn.Close()
			return nil, err
		}
		rw = tlsConn
	}
	start := yamux.Server
	if dialed {
		start = yamux.Client
	}
	mux, err := start(rw, muxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	l.mux = mux
	if l.output, err = mux.OpenStream(); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// startTLS performs the TLS handshake and returns the encrypted connection.
func (m *Mesh) startTLS(ctx context.Context, conn net.Conn, dialed bool) (net.Conn, error) {
	if !dialed {
		tlsConn := tls.Server(conn, m.opts.TLS)
		return tlsConn, tlsConn.HandshakeContext(ctx)
	}
	config := m.opts.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName = m.opts.Fleet
	}
	tlsConn := tls.Client(conn, config)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}

// hello returns the local Hello. A non-empty refusal tells the dialler that its
// session is refused.
func (m *Mesh) hello(refusal string) *peerpb.Hello {
	return &peerpb.Hello{
		ProtocolVersion: m.opts.version,
		Fleet:           m.opts.Fleet,
		InstanceId:      m.opts.Self.ID,
		Region:          m.opts.Self.Region,
		DataCentre:      m.opts.Self.DataCentre,
		HeartbeatMs:     uint32(m.opts.Heartbeat.Milliseconds()),
		Refusal:         refusal,
	}
}

func (l *link) sendHello(hello *peerpb.Hello) error {
	frame, err := appendFrame(nil, hello)
	if err != nil {
		return err
	}
	_, err = l.output.Write(frame)
	return err
}

// receiveHello accepts the peer's stream and reads its first frame.
func (l *link) receiveHello(ctx context.Context) (*peerpb.Hello, error) {
	input, err := l.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	l.input = input
	hello := &peerpb.Hello{}
	_, err = readFrame(input, hello)
	return hello, err
}

// checkHello verifies the peer's protocol version, fleet and instance ID.
func (m *Mesh) checkHello(hello *peerpb.Hello) error {
	if hello.GetProtocolVersion() != m.opts.version {
		return &VersionError{InstanceID: hello.GetInstanceId(), Got: hello.GetProtocolVersion()}
	}
	if hello.GetFleet() != m.opts.Fleet {
		return &FleetError{InstanceID: hello.GetInstanceId(), Got: hello.GetFleet()}
	}
	if hello.GetInstanceId() == "" || hello.GetInstanceId() == m.opts.Self.ID {
		return &IdentityError{Got: hello.GetInstanceId()}
	}
	return nil
}

// dialSession opens a session with the instance want at address. lastSession is
// the ID of the previous session with it, or zero. It fails with
// [IdentityError] if another instance listens at address.
func (m *Mesh) dialSession(ctx context.Context, want, address string, lastSession uint64) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.DialTimeout)
	defer cancel()
	conn, err := m.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	l, err := m.newLink(ctx, conn, true)
	if err != nil {
		return nil, err
	}
	hello, err := m.dialHandshake(ctx, l, lastSession)
	if err == nil && hello.GetInstanceId() != want {
		err = &IdentityError{Want: want, Got: hello.GetInstanceId()}
	}
	if err != nil {
		l.close()
		return nil, err
	}
	return newSession(m, l, hello), nil
}

// dialHandshake performs the dialler's side of the handshake and returns the
// peer's Hello with the ID of the new session.
func (m *Mesh) dialHandshake(ctx context.Context, l *link, lastSession uint64) (*peerpb.Hello, error) {
	ownHello := m.hello("")
	ownHello.Session = rand.Uint64()
	ownHello.LastSession = lastSession
	if err := l.sendHello(ownHello); err != nil {
		return nil, err
	}
	hello, err := l.receiveHello(ctx)
	if err != nil {
		return nil, err
	}
	if err := m.checkHello(hello); err != nil {
		return nil, err
	}
	if hello.GetRefusal() != "" {
		return nil, &RefusedError{InstanceID: hello.GetInstanceId(), Reason: hello.GetRefusal()}
	}
	hello.Session = ownHello.Session
	return hello, nil
}

// acceptSession performs the accepting side of the handshake. It registers the
// session before it sends its Hello, so that both sides agree on which of two
// sessions is kept.
func (m *Mesh) acceptSession(ctx context.Context, conn net.Conn) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.DialTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	l, err := m.newLink(ctx, conn, false)
	if err != nil {
		return nil, err
	}
	hello, err := l.receiveHello(ctx)
	if err != nil {
		l.close()
		return nil, err
	}
	if err := m.checkHello(hello); err != nil {
		m.refuseSession(ctx, l, err)
		return nil, err
	}
	s := newSession(m, l, hello)
	if err := m.register(s, hello.GetLastSession()); err != nil {
		s.close(err)
		m.refuseSession(ctx, l, err)
		return nil, err
	}
	if err := l.sendHello(m.hello("")); err != nil {
		s.close(err)
	}
	return s, nil
}

// refuseSession sends the reason to the dialler and closes the link.
func (m *Mesh) refuseSession(ctx context.Context, l *link, cause error) {
	defer l.close()
	if l.sendHello(m.hello(cause.Error())) != nil {
		return
	}
	timer := time.NewTimer(refusalReadTimeout)
	defer timer.Stop()
	select {
	case <-l.mux.CloseChan():
	case <-timer.C:
	case <-ctx.Done():
	}
}
