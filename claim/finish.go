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
	// maxFinishBatch is the maximum number of ends in one message.
	maxFinishBatch = 128
	// maxHeaderBytes is the space reserved for the headers of a replayed
	// response, beside its body.
	maxHeaderBytes = 64 << 10
)

// finishItem is an end to be sent or a barrier, which is closed once all ends
// queued before it have been sent.
type finishItem struct {
	end     *claimpb.End
	barrier chan struct{}
}

// sendFinishes sends queued ends to the owners of their partitions.
func (j *Journal) sendFinishes(ctx context.Context, s *partitionSet) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-j.finishQueue:
			j.sendBatch(ctx, s, item)
		}
	}
}

func (j *Journal) sendBatch(ctx context.Context, s *partitionSet, first finishItem) {
	ends := make(map[string][]*claimpb.End)
	var barriers []chan struct{}
	item, n := first, 0
	for {
		if item.barrier != nil {
			barriers = append(barriers, item.barrier)
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
	for _, barrier := range barriers {
		close(barrier)
	}
}

func (j *Journal) nextFinish(item *finishItem) bool {
	select {
	case *item = <-j.finishQueue:
		return true
	default:
		return false
	}
}

func (j *Journal) finishTarget(s *partitionSet, end *claimpb.End) string {
	self := j.opts.Messenger.Self()
	number := partitionOf(keyID(end.GetKey()), len(s.partitions))
	for _, target := range j.router.targets(number, len(s.partitions), self) {
		if !j.router.isUnresponsive(target, time.Now()) {
			return target
		}
	}
	return self
}

// sendEnds sends ends to one instance. Ends that the target did not accept are
// queued at the local partition.
func (j *Journal) sendEnds(ctx context.Context, s *partitionSet, target string, ends []*claimpb.End) {
	var queued []bool
	if target != j.opts.Messenger.Self() {
		ctx, cancel := context.WithTimeout(ctx, j.opts.PeerTimeout)
		defer cancel()
		reply := new(claimpb.FinishReply)
		err := j.opts.Messenger.Call(ctx, target, peerpb.Kind_KIND_CLAIM_FINISH, &claimpb.FinishRequest{Ends: ends}, reply)
		if err == nil {
			queued = reply.GetQueued()
		} else if ctx.Err() != nil {
			j.router.markUnresponsive(target, time.Now())
		}
	}
	for i, end := range ends {
		if i < len(queued) && queued[i] {
			continue
		}
		if !s.forKey(end.GetKey()).queueEnd(end) {
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
	s := j.partitions.Load()
	if s == nil || j.draining.Load() {
		return reply, nil
	}
	for i, end := range req.GetEnds() {
		reply.Queued[i] = validEnd(end) && s.forKey(end.GetKey()).queueEnd(end)
	}
	return reply, nil
}

// Handover writes the queued ends and notifies the next owners, so that they
// load the partitions of this instance. Once it has been called, claims of peers
// are redirected to other instances. Local claims are still decided until Run
// returns.
func (j *Journal) Handover(ctx context.Context) error {
	j.draining.Store(true)
	s := j.partitions.Load()
	if s == nil {
		return nil
	}
	barrier := make(chan struct{})
	select {
	case j.finishQueue <- finishItem{barrier: barrier}:
	case <-ctx.Done():
		return fmt.Errorf("claim: handover: %w", ctx.Err())
	}
	if err := await(ctx, barrier); err != nil {
		return err
	}
	for _, p := range s.partitions {
		if err := p.flushNow(ctx); err != nil {
			return err
		}
	}
	j.notifySuccessors(s)
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

// notifySuccessors notifies the successors of the owned partitions, so that
// they load them.
func (j *Journal) notifySuccessors(s *partitionSet) {
	self := j.opts.Messenger.Self()
	successors := make(map[string]*claimpb.Handover)
	for number := range s.partitions {
		owner, successor := ownerAndSuccessor(headKey(number), j.opts.View, self)
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
	s := j.partitions.Load()
	if s == nil {
		return nil, nil
	}
	for _, number := range msg.GetPartitions() {
		if int(number) < len(s.partitions) {
			s.partitions[number].requestPreload()
		}
	}
	return nil, nil
}
