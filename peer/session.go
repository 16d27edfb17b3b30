package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// maxPayloadBytes reserves 1 KiB of a frame for the envelope's other
	// fields.
	maxPayloadBytes = MaxFrameBytes - 1024
	// maxErrorBytes bounds the error text of a reply.
	maxErrorBytes = 512
	// readBufferBytes and flushBytes are the sizes of the read and write
	// buffers of a session.
	readBufferBytes = 4 << 10
	flushBytes      = 8 << 10
	// missedHeartbeatLimit is the number of heartbeat intervals without data
	// after which a peer counts as lost.
	missedHeartbeatLimit = 3
	// maxHeartbeatTimeout bounds the timeout that follows from a peer's
	// announced heartbeat interval.
	maxHeartbeatTimeout = time.Minute
)

// session is an open connection to one peer. Four goroutines serve it: reader,
// writer, heartbeat and closer. Each message in a handler takes one more.
type session struct {
	mesh   *Mesh
	peer   storage.Instance
	id     uint64
	dialed bool

	conn   net.Conn
	mux    *yamux.Session
	input  *yamux.Stream
	output *yamux.Stream

	ctx      context.Context
	cancel   context.CancelCauseFunc
	queue    chan *outgoing
	pending  *pendingCalls
	handlers chan struct{}
	// heartbeatTimeout is how long the peer may send nothing, in
	// nanoseconds.
	heartbeatTimeout atomic.Int64
	// lastReceived is when data was last received and lastSent when a frame
	// was last written, in nanoseconds since started.
	started      time.Time
	lastReceived atomic.Int64
	lastSent     atomic.Int64
}

func newSession(m *Mesh, link *link, hello *peerpb.Hello) *session {
	ctx, cancel := context.WithCancelCause(m.ctx)
	s := &session{
		mesh: m,
		peer: storage.Instance{
			ID:         hello.GetInstanceId(),
			Role:       storage.RoleEntry,
			Region:     hello.GetRegion(),
			DataCentre: hello.GetDataCentre(),
		},
		id:       hello.GetSession(),
		dialed:   link.dialed,
		conn:     link.conn,
		mux:      link.mux,
		input:    link.input,
		output:   link.output,
		ctx:      ctx,
		cancel:   cancel,
		queue:    make(chan *outgoing, m.opts.QueueSize),
		pending:  newPendingCalls(),
		handlers: make(chan struct{}, m.opts.MaxHandlers),
		started:  time.Now(),
	}
	s.setPeerHeartbeat(hello.GetHeartbeatMs())
	return s
}

// setPeerHeartbeat derives the timeout from the heartbeat interval that the peer
// announced, in milliseconds. The interval is at least the local one.
func (s *session) setPeerHeartbeat(ms uint32) {
	heartbeat := max(s.mesh.opts.Heartbeat, time.Duration(ms)*time.Millisecond)
	s.heartbeatTimeout.Store(int64(min(maxHeartbeatTimeout, missedHeartbeatLimit*heartbeat)))
}

// run serves the session until it is closed.
func (s *session) run() {
	var wg sync.WaitGroup
	wg.Go(func() { s.close(s.readLoop()) })
	wg.Go(func() { s.close(s.writeLoop()) })
	wg.Go(func() { s.close(s.runHeartbeat()) })
	<-s.ctx.Done()
	s.conn.Close()
	_ = s.mux.Close()
	wg.Wait()
}

// close closes the session. Only the first cause is kept.
func (s *session) close(err error) {
	s.cancel(&ClosedError{InstanceID: s.peer.ID, Err: err})
}

// Read reads from the peer's stream and records when data was last received.
func (s *session) Read(p []byte) (int, error) {
	n, err := s.input.Read(p)
	if n > 0 {
		s.lastReceived.Store(int64(time.Since(s.started)))
	}
	return n, err
}

// readLoop receives and dispatches messages until the stream fails.
func (s *session) readLoop() error {
	reader := bufio.NewReaderSize(s, readBufferBytes)
	for {
		envelope := &peerpb.Envelope{}
		n, err := readFrame(reader, envelope)
		if err != nil {
			return err
		}
		s.mesh.counters.received[kindIndex(envelope.GetKind())].add(n)
		s.dispatch(envelope)
	}
}

// dispatch routes a received message: replies to their calls, heartbeats to the
// timeout, and all others to a handler goroutine. It never blocks the reader.
func (s *session) dispatch(envelope *peerpb.Envelope) {
	if envelope.GetReply() {
		s.pending.deliver(envelope)
		return
	}
	if envelope.GetKind() == peerpb.Kind_KIND_UNSPECIFIED {
		s.setPeerHeartbeat(envelope.GetTimeoutMs())
		return
	}
	select {
	case s.handlers <- struct{}{}:
		s.mesh.wg.Go(func() {
			defer func() { <-s.handlers }()
			s.handle(envelope)
		})
	default:
		s.mesh.counters.dropped.Add(1)
		s.rejectCall(envelope)
	}
}

// handle runs the handler of a message and sends its reply.
func (s *session) handle(envelope *peerpb.Envelope) {
	ctx := s.ctx
	if ms := envelope.GetTimeoutMs(); ms > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	reply := &peerpb.Envelope{Id: envelope.GetId(), Kind: envelope.GetKind()}
	payload, err := s.mesh.serveLocal(ctx, s.peer.ID, envelope.GetKind(), envelope.GetPayload())
	if err != nil {
		reply.Error = errorText(err)
	}
	reply.Payload = payload
	s.sendReply(reply)
}

// errorText returns the error's text as valid UTF-8 of at most maxErrorBytes. It
// is never empty, because an empty text would mark the reply as a success.
func errorText(err error) string {
	text := err.Error()
	text = strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")
	if text == "" {
		return "unnamed error"
	}
	return text
}

// rejectCall tells the caller that its call was not handled, because MaxHandlers
// is reached. It drops the reply rather than block the reader.
func (s *session) rejectCall(envelope *peerpb.Envelope) {
	if envelope.GetId() != 0 {
		s.enqueue(&peerpb.Envelope{Id: envelope.GetId(), Kind: envelope.GetKind(), Reply: true, Refused: true})
	}
}

// sendReply queues the reply to a call and blocks while the queue is full.
// Envelopes with ID zero belong to one-way messages and are dropped.
func (s *session) sendReply(envelope *peerpb.Envelope) {
	if envelope.GetId() == 0 {
		return
	}
	envelope.Reply = true
	select {
	case s.queue <- &outgoing{envelope: envelope}:
	case <-s.ctx.Done():
	}
}

// writeLoop writes queued messages and flushes the buffer when the queue is
// empty.
func (s *session) writeLoop() error {
	writer := bufio.NewWriterSize(s.output, flushBytes)
	var frame []byte
	for {
		var message *outgoing
		select {
		case message = <-s.queue:
		default:
			if err := writer.Flush(); err != nil {
				return err
			}
			select {
			case message = <-s.queue:
			case <-s.ctx.Done():
				return s.ctx.Err()
			}
		}
		if !message.markWritten() {
			continue
		}
		var err error
		if frame, err = s.writeFrame(writer, frame[:0], message.envelope); err != nil {
			return err
		}
	}
}

// writeFrame writes an envelope to w and counts it. frame is an encoding buffer;
// writeFrame returns it for reuse, or nil if it grew beyond flushBytes.
func (s *session) writeFrame(w io.Writer, frame []byte, envelope *peerpb.Envelope) ([]byte, error) {
	frame, err := appendFrame(frame, envelope)
	if err != nil {
		return frame, err
	}
	s.lastSent.Store(int64(time.Since(s.started)))
	s.mesh.counters.sent[kindIndex(envelope.GetKind())].add(len(frame))
	_, err = w.Write(frame)
	if cap(frame) > flushBytes {
		frame = nil
	}
	return frame, err
}

// runHeartbeat sends heartbeats while nothing else is sent or when the interval
// changes. It fails with [HeartbeatTimeoutError] if nothing is received from the
// peer for too long.
func (s *session) runHeartbeat() error {
	interval := s.mesh.heartbeatInterval()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
		now := time.Since(s.started)
		if timeout := time.Duration(s.heartbeatTimeout.Load()); now-time.Duration(s.lastReceived.Load()) > timeout {
			return &HeartbeatTimeoutError{InstanceID: s.peer.ID, Timeout: timeout}
		}
		next := s.mesh.heartbeatInterval()
		if next != interval || now-time.Duration(s.lastSent.Load()) >= interval/2 {
			s.enqueue(&peerpb.Envelope{TimeoutMs: uint32(next.Milliseconds())})
		}
		interval = next
		timer.Reset(interval)
	}
}

// serveLocal runs the local handler of a kind and returns the encoded response.
// It fails with [RemoteError] if there is no handler.
func (m *Mesh) serveLocal(ctx context.Context, from string, kind peerpb.Kind, payload []byte) ([]byte, error) {
	m.mu.Lock()
	handler := m.handlers[kind]
	m.mu.Unlock()
	if handler == nil {
		return nil, &RemoteError{InstanceID: m.opts.Self.ID, Message: "no handler for " + kind.String()}
	}
	resp, err := handler(ctx, from, payload)
	if err != nil || resp == nil {
		return nil, err
	}
	encoded, err := proto.Marshal(resp)
	if err == nil && len(encoded) > maxPayloadBytes {
		return nil, &OversizeFrameError{Bytes: len(encoded)}
	}
	return encoded, err
}
