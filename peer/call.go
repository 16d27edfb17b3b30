package peer

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// States of an outgoing message. A message is written at most once and never
// after its caller abandoned it.
const (
	messageQueued int32 = iota
	messageWritten
	messageAbandoned
)

// outgoing is an entry of a session's send queue.
type outgoing struct {
	envelope *peerpb.Envelope
	state    atomic.Int32
}

// markWritten moves a queued message to the written state and reports whether
// it was still queued.
func (o *outgoing) markWritten() bool {
	return o.state.CompareAndSwap(messageQueued, messageWritten)
}

// abandon withdraws a queued message. It reports false if the message may
// already have been written to the peer.
func (o *outgoing) abandon() bool {
	return o.state.CompareAndSwap(messageQueued, messageAbandoned)
}

// pendingCalls matches replies to outstanding calls by ID.
type pendingCalls struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]chan *peerpb.Envelope
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{calls: make(map[uint64]chan *peerpb.Envelope)}
}

func (p *pendingCalls) add() (uint64, <-chan *peerpb.Envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	reply := make(chan *peerpb.Envelope, 1)
	p.calls[p.next] = reply
	return p.next, reply
}

func (p *pendingCalls) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}

// deliver passes a reply to the call that waits for it. Replies to abandoned
// calls are dropped.
func (p *pendingCalls) deliver(envelope *peerpb.Envelope) {
	p.mu.Lock()
	reply, ok := p.calls[envelope.GetId()]
	delete(p.calls, envelope.GetId())
	p.mu.Unlock()
	if ok {
		reply <- envelope
	}
}

// call sends a request on the session, waits for the reply and decodes it into
// resp.
func (s *session) call(ctx context.Context, kind peerpb.Kind, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return &OversizeFrameError{Bytes: len(payload)}
	}
	id, reply := s.pending.add()
	defer s.pending.remove(id)
	message := &outgoing{envelope: &peerpb.Envelope{
		Id: id, Kind: kind, Payload: payload, TimeoutMs: timeoutMS(ctx),
	}}
	select {
	case s.queue <- message:
	case <-ctx.Done():
		return &UnreachableError{InstanceID: s.peer.ID, Reason: "send queue full: " + ctx.Err().Error()}
	case <-s.ctx.Done():
		return &UnreachableError{InstanceID: s.peer.ID, Reason: "session closed"}
	}
	select {
	case envelope := <-reply:
		return s.decodeReply(envelope, resp)
	case <-ctx.Done():
		return s.abortError(message, ctx.Err())
	case <-s.ctx.Done():
		return s.abortError(message, context.Cause(s.ctx))
	}
}

func (s *session) decodeReply(envelope *peerpb.Envelope, resp proto.Message) error {
	if envelope.GetRefused() {
		return &UnreachableError{InstanceID: s.peer.ID, Reason: "peer is at its limit of concurrent handlers"}
	}
	if envelope.GetError() != "" {
		return &RemoteError{InstanceID: s.peer.ID, Message: envelope.GetError()}
	}
	if err := proto.Unmarshal(envelope.GetPayload(), resp); err != nil {
		return &LostError{InstanceID: s.peer.ID, Err: &MalformedFrameError{Err: err}}
	}
	return nil
}

// abortError returns the error of a call that ended without a reply:
// [UnreachableError] if its message was not written, otherwise [LostError].
func (s *session) abortError(message *outgoing, cause error) error {
	if message.abandon() {
		return &UnreachableError{InstanceID: s.peer.ID, Reason: "not sent: " + cause.Error()}
	}
	return &LostError{InstanceID: s.peer.ID, Err: cause}
}

// send queues a one-way message without blocking. It fails with
// [UnreachableError] if the queue is full or the session is closed.
func (s *session) send(kind peerpb.Kind, msg proto.Message) error {
	payload, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return &OversizeFrameError{Bytes: len(payload)}
	}
	if !s.enqueue(&peerpb.Envelope{Kind: kind, Payload: payload}) {
		return &UnreachableError{InstanceID: s.peer.ID, Reason: "send queue full or session closed"}
	}
	return nil
}

// enqueue adds a message to the send queue without blocking. It reports false
// if the session is closed or the queue is full.
func (s *session) enqueue(envelope *peerpb.Envelope) bool {
	if s.ctx.Err() != nil {
		return false
	}
	select {
	case s.queue <- &outgoing{envelope: envelope}:
		return true
	default:
		s.mesh.counters.dropped.Add(1)
		return false
	}
}

// timeoutMS returns the time until the deadline of ctx in milliseconds, at
// least 1, or 0 if ctx has no deadline.
func timeoutMS(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	ms := time.Until(deadline).Milliseconds() + 1
	return uint32(max(1, min(ms, math.MaxUint32)))
}
