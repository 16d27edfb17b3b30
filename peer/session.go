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
	// maxPayloadBytes leaves room for the envelope's other fields.
	maxPayloadBytes = MaxFrameBytes - 1024
	// maxErrorBytes bounds the text of a handler's error.
	maxErrorBytes = 512
	// readBufferBytes and flushBytes size the buffers of a session.
	readBufferBytes = 4 << 10
	flushBytes      = 8 << 10
	// missedHeartbeats is how many heartbeats may stay away before a peer
	// counts as lost.
	missedHeartbeats = 3
	// maxSilence bounds what a peer may ask for.
	maxSilence = time.Minute
)

// session is an open connection to one peer. Four goroutines serve it: the
// reader, the writer, the heartbeat and the closer; handlers add to them.
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
	// silence is how long the peer may be silent, in nanoseconds.
	silence atomic.Int64
	// heard and wrote are when bytes last arrived and left, in nanoseconds
	// since started.
	started time.Time
	heard   atomic.Int64
	wrote   atomic.Int64
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

// setPeerHeartbeat takes over the heartbeat that the peer announced.
func (s *session) setPeerHeartbeat(ms uint32) {
	heartbeat := max(s.mesh.opts.Heartbeat, time.Duration(ms)*time.Millisecond)
	s.silence.Store(int64(min(maxSilence, missedHeartbeats*heartbeat)))
}

// run serves the session until it closes.
func (s *session) run() {
	var wg sync.WaitGroup
	wg.Go(func() { s.close(s.read()) })
	wg.Go(func() { s.close(s.write()) })
	wg.Go(func() { s.close(s.heartbeat()) })
	<-s.ctx.Done()
	s.conn.Close()
	_ = s.mux.Close()
	wg.Wait()
}

// close ends the session; the first cause is kept.
func (s *session) close(err error) {
	s.cancel(&ClosedError{InstanceID: s.peer.ID, Err: err})
}

// Read notes the time at which bytes arrive.
func (s *session) Read(p []byte) (int, error) {
	n, err := s.input.Read(p)
	if n > 0 {
		s.heard.Store(int64(time.Since(s.started)))
	}
	return n, err
}

func (s *session) read() error {
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

func (s *session) dispatch(envelope *peerpb.Envelope) {
	if envelope.GetReply() {
		s.pending.resolve(envelope)
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
		s.refuse(envelope)
	}
}

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
	s.reply(reply)
}

// errorText returns a non-empty text that fits the envelope.
func errorText(err error) string {
	text := err.Error()
	text = strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")
	if text == "" {
		return "unnamed error"
	}
	return text
}

// refuse answers a call for which there is no handler goroutine. It never
// blocks the reader.
func (s *session) refuse(envelope *peerpb.Envelope) {
	if envelope.GetId() != 0 {
		s.enqueue(&peerpb.Envelope{Id: envelope.GetId(), Kind: envelope.GetKind(), Reply: true, Refused: true})
	}
}

// reply answers a call and drops the answer of a one-way message.
func (s *session) reply(envelope *peerpb.Envelope) {
	if envelope.GetId() == 0 {
		return
	}
	envelope.Reply = true
	select {
	case s.queue <- &outgoing{envelope: envelope}:
	case <-s.ctx.Done():
	}
}

// write sends queued messages and flushes when the queue is empty.
func (s *session) write() error {
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
		if !message.claimWrite() {
			continue
		}
		var err error
		if frame, err = s.writeFrame(writer, frame[:0], message.envelope); err != nil {
			return err
		}
	}
}

func (s *session) writeFrame(w io.Writer, frame []byte, envelope *peerpb.Envelope) ([]byte, error) {
	frame, err := appendFrame(frame, envelope)
	if err != nil {
		return frame, err
	}
	s.wrote.Store(int64(time.Since(s.started)))
	s.mesh.counters.sent[kindIndex(envelope.GetKind())].add(len(frame))
	_, err = w.Write(frame)
	if cap(frame) > flushBytes {
		frame = nil
	}
	return frame, err
}

// heartbeat keeps an idle session audible and ends one whose peer is silent.
func (s *session) heartbeat() error {
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
		if limit := time.Duration(s.silence.Load()); now-time.Duration(s.heard.Load()) > limit {
			return &SilenceError{InstanceID: s.peer.ID, Limit: limit}
		}
		next := s.mesh.heartbeatInterval()
		if next != interval || now-time.Duration(s.wrote.Load()) >= interval/2 {
			s.enqueue(&peerpb.Envelope{TimeoutMs: uint32(next.Milliseconds())})
		}
		interval = next
		timer.Reset(interval)
	}
}

// serveLocal runs the handler of a kind.
func (m *Mesh) serveLocal(ctx context.Context, from string, kind peerpb.Kind, payload []byte) ([]byte, error) {
	m.mu.Lock()
	handler := m.handlers[kind]
	m.mu.Unlock()
	if handler == nil {
		return nil, &RemoteError{InstanceID: m.opts.Self.ID, Message: "no handler for " + kind.String()}
	}
	answer, err := handler(ctx, from, payload)
	if err != nil || answer == nil {
		return nil, err
	}
	encoded, err := proto.Marshal(answer)
	if err == nil && len(encoded) > maxPayloadBytes {
		return nil, &OversizeFrameError{Bytes: len(encoded)}
	}
	return encoded, err
}
