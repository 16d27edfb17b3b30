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

// refusalLinger is how long an acceptor waits for the dialler to read a
// refusal.
const refusalLinger = time.Second

// link is a connection with its two streams before it becomes a session.
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

// newLink secures conn if TLS is set and starts the multiplexer. conn is
// closed on failure.
func (m *Mesh) newLink(ctx context.Context, conn net.Conn, dialed bool) (*link, error) {
	l := &link{dialed: dialed, conn: conn}
	var rw net.Conn = &countedConn{Conn: conn, counters: &m.counters}
	if m.opts.TLS != nil {
		secured, err := m.secure(ctx, rw, dialed)
		if err != nil {
			conn.Close()
			return nil, err
		}
		rw = secured
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

func (m *Mesh) secure(ctx context.Context, conn net.Conn, dialed bool) (net.Conn, error) {
	if !dialed {
		secured := tls.Server(conn, m.opts.TLS)
		return secured, secured.HandshakeContext(ctx)
	}
	config := m.opts.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName = m.opts.Fleet
	}
	secured := tls.Client(conn, config)
	return secured, secured.HandshakeContext(ctx)
}

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

// receiveHello waits for the peer's stream and first frame.
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

// check verifies that the peer speaks the same protocol in the same fleet.
func (m *Mesh) check(hello *peerpb.Hello) error {
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

// dialSession opens a session to the instance want at address. last is the
// session whose loss the dial answers, or zero.
func (m *Mesh) dialSession(ctx context.Context, want, address string, last uint64) (*session, error) {
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
	hello, err := m.greet(ctx, l, last)
	if err == nil && hello.GetInstanceId() != want {
		err = &IdentityError{Want: want, Got: hello.GetInstanceId()}
	}
	if err != nil {
		l.close()
		return nil, err
	}
	return newSession(m, l, hello), nil
}

// greet is the dialler's side of the handshake.
func (m *Mesh) greet(ctx context.Context, l *link, last uint64) (*peerpb.Hello, error) {
	greeting := m.hello("")
	greeting.Session = rand.Uint64()
	greeting.LastSession = last
	if err := l.sendHello(greeting); err != nil {
		return nil, err
	}
	hello, err := l.receiveHello(ctx)
	if err != nil {
		return nil, err
	}
	if err := m.check(hello); err != nil {
		return nil, err
	}
	if hello.GetRefusal() != "" {
		return nil, &RefusedError{InstanceID: hello.GetInstanceId(), Reason: hello.GetRefusal()}
	}
	hello.Session = greeting.Session
	return hello, nil
}

// acceptSession is the acceptor's side of the handshake. It registers the
// session before it answers, so that both sides agree on which one is kept.
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
	if err := m.check(hello); err != nil {
		m.refuse(ctx, l, err)
		return nil, err
	}
	s := newSession(m, l, hello)
	if err := m.register(s, hello.GetLastSession()); err != nil {
		s.close(err)
		m.refuse(ctx, l, err)
		return nil, err
	}
	if err := l.sendHello(m.hello("")); err != nil {
		s.close(err)
	}
	return s, nil
}

// refuse tells the dialler why and closes the link.
func (m *Mesh) refuse(ctx context.Context, l *link, cause error) {
	defer l.close()
	if l.sendHello(m.hello(cause.Error())) != nil {
		return
	}
	timer := time.NewTimer(refusalLinger)
	defer timer.Stop()
	select {
	case <-l.mux.CloseChan():
	case <-timer.C:
	case <-ctx.Done():
	}
}
