package claim

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	"github.com/pomelolock/pomelolock/peer/peerpb"
)

const (
	// maxFinishBatch bounds the ends of one message.
	maxFinishBatch = 128
	// maxHeaderBytes is the room for the headers of a replayed answer.
	maxHeaderBytes = 64 << 10
)

// finishItem is an end to be sent, or a mark that is closed once all ends
// before it have been.
type finishItem struct {
	end  *claimpb.End
	mark chan struct{}
}

// sendFinishes sends ends to the owners of their partitions.
func (j *Journal) sendFinishes(ctx context.Context, s *started) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-j.finishes:
			j.sendBatch(ctx, s, item)
		}
	}
}

func (j *Journal) sendBatch(ctx context.Context, s *started, first finishItem) {
	ends := make(map[string][]*claimpb.End)
	var marks []chan struct{}
	item, n := first, 0
	for {
		if item.mark != nil {
			marks = append(marks, item.mark)
		} else {
			target := j.finishTarget(s, item.end)
			ends[target] = append(ends[target], item.end)
		}
		if n++; n >= maxFinishBatch || !j.nextFinish(&item) {
			break
		}
	}
	for target, batch := range ends {
		j.sendEnds(ctx, s, target, batch)
	}
	for _, mark := range marks {
		close(mark)
	}
}

func (j *Journal) nextFinish(item *finishItem) bool {
	select {
	case *item = <-j.finishes:
		return true
	default:
		return false
	}
}

func (j *Journal) finishTarget(s *started, end *claimpb.End) string {
	self := j.opts.Messenger.Self()
	number := partitionOf(keyID(end.GetKey()), len(s.partitions))
	for _, target := range j.router.targets(number, len(s.partitions), self) {
		if !j.router.isSilent(target, time.Now()) {
			return target
		}
	}
	return self
}

// sendEnds sends ends to one instance, and writes those that it did not take
// to the journal itself.
func (j *Journal) sendEnds(ctx context.Context, s *started, target string, ends []*claimpb.End) {
	var queued []bool
	if target != j.opts.Messenger.Self() {
		ctx, cancel := context.WithTimeout(ctx, j.opts.PeerTimeout)
		defer cancel()
		reply := new(claimpb.FinishReply)
		err := j.opts.Messenger.Call(ctx, target, peerpb.Kind_KIND_CLAIM_FINISH, &claimpb.FinishRequest{Ends: ends}, reply)
		if err == nil {
			queued = reply.GetQueued()
		} else if ctx.Err() != nil {
			j.router.noteSilent(target, time.Now())
		}
	}
	for i, end := range ends {
		if i < len(queued) && queued[i] {
			continue
		}
		if !s.of(end.GetKey()).finish(end) {
			j.stats.dropped.Add(1)
		}
	}
}

func (j *Journal) handleFinish(_ context.Context, _ string, payload []byte) (proto.Message, error) {
	var req claimpb.FinishRequest
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, fmt.Errorf("decode finish: %w", err)
	}
	reply := &claimpb.FinishReply{Queued: make([]bool, len(req.GetEnds()))}
	s := j.ready.Load()
	if s == nil || j.leaving.Load() {
		return reply, nil
	}
	for i, end := range req.GetEnds() {
		reply.Queued[i] = validEnd(end) && s.of(end.GetKey()).finish(end)
	}
	return reply, nil
}

// Handover writes what is queued and tells the next owners to load the
// partitions of this instance. Peers are told to ask another instance from
// then on; local claims are still decided until Run ends.
func (j *Journal) Handover(ctx context.Context) error {
	j.leaving.Store(true)
	s := j.ready.Load()
	if s == nil {
		return nil
	}
	mark := make(chan struct{})
	select {
	case j.finishes <- finishItem{mark: mark}:
	case <-ctx.Done():
		return fmt.Errorf("claim: handover: %w", ctx.Err())
	}
	if err := await(ctx, mark); err != nil {
		return err
	}
	for _, p := range s.partitions {
		if err := p.flushNow(ctx); err != nil {
			return err
		}
	}
	j.announce(s)
	return nil
}

func await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("claim: handover: %w", ctx.Err())
	}
}

// announce tells the successors of the owned partitions to load them.
func (j *Journal) announce(s *started) {
	self := j.opts.Messenger.Self()
	successors := make(map[string]*claimpb.Handover)
	for number := range s.partitions {
		owner, successor := succession(headKey(number), j.opts.View, self)
		if owner != self || successor == "" {
			continue
		}
		if successors[successor] == nil {
			successors[successor] = &claimpb.Handover{}
		}
		successors[successor].Partitions = append(successors[successor].Partitions, uint32(number))
	}
	for successor, msg := range successors {
		if err := j.opts.Messenger.Send(successor, peerpb.Kind_KIND_CLAIM_HANDOVER, msg); err != nil {
			j.opts.Logger.Warn("claim_handover_failed", "successor", successor, "err", err)
		}
	}
}

func (j *Journal) handleHandover(_ context.Context, _ string, payload []byte) (proto.Message, error) {
	var msg claimpb.Handover
	if err := proto.Unmarshal(payload, &msg); err != nil {
		return nil, fmt.Errorf("decode handover: %w", err)
	}
	s := j.ready.Load()
	if s == nil {
		return nil, nil
	}
	for _, number := range msg.GetPartitions() {
		if int(number) < len(s.partitions) {
			s.partitions[number].preloadSoon()
		}
	}
	return nil, nil
}
