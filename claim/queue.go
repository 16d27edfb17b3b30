package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// submit queues a claim and waits for its decision.
func (p *partition) submit(ctx context.Context, c *claimpb.Claim) (Decision, error) {
	pc := &pendingClaim{ctx: ctx, claim: c, reply: make(chan result, 1)}
	select {
	case p.claimQueue <- pc:
	default:
		return Decision{}, errQueueFull
	}
	select {
	case r := <-pc.reply:
		return r.decision, r.err
	case <-p.stopped:
		return Decision{}, errStopped
	case <-ctx.Done():
		return Decision{}, ctx.Err()
	}
}

// queueEnd queues an end. It returns false if the queue is full.
func (p *partition) queueEnd(end *claimpb.End) bool {
	select {
	case p.endQueue <- end:
		return true
	default:
		return false
	}
}

// waitForWork blocks until a step is needed. If a flush was requested, it
// returns a channel to close after the flush. It returns false if ctx has ended.
func (p *partition) waitForWork(ctx context.Context, maintenance <-chan time.Time) (flushed chan struct{}, ok bool) {
	p.scheduleFlush()
	for {
		var ends chan *claimpb.End
		if p.hasRoomForEnd() {
			ends = p.endQueue
		}
		select {
		case <-ctx.Done():
			return nil, false
		case pc := <-p.claimQueue:
			p.pendingClaims = append(p.pendingClaims, pc)
			return nil, true
		case end := <-ends:
			p.addEnd(end)
			if !p.hasRoomForEnd() {
				return nil, true
			}
		case <-p.flushTimer:
			p.flushTimer = nil
			return nil, true
		case flushed := <-p.flushRequests:
			return flushed, true
		case <-p.preloadRequests:
			p.preload(ctx)
		case <-maintenance:
			p.maintain(ctx)
		}
	}
}

// scheduleFlush starts the flush timer if ends are pending. The timer limits how
// long they wait for a claim to share its write.
func (p *partition) scheduleFlush() {
	if len(p.pendingEnds) > 0 && p.flushTimer == nil {
		p.flushTimer = time.After(p.opts.FlushInterval)
	}
}

// collect moves queued claims and ends to the pending ones, up to one batch.
func (p *partition) collect() {
	for len(p.pendingClaims) < p.opts.MaxBatch {
		select {
		case pc := <-p.claimQueue:
			p.pendingClaims = append(p.pendingClaims, pc)
			continue
		default:
		}
		break
	}
	for p.hasRoomForEnd() {
		select {
		case end := <-p.endQueue:
			p.addEnd(end)
			continue
		default:
		}
		return
	}
}

// hasRoomForEnd reports whether the next batch has room for another end.
func (p *partition) hasRoomForEnd() bool {
	return len(p.pendingEnds) < p.opts.MaxBatch && p.pendingEndBytes < p.opts.TailBytes
}

func (p *partition) addEnd(end *claimpb.End) {
	p.pendingEnds = append(p.pendingEnds, pendingEnd{end: end})
	p.pendingEndBytes += proto.Size(end)
	p.scheduleFlush()
}

func (p *partition) clearPendingEnds() {
	p.pendingEnds = nil
	p.pendingEndBytes = 0
	p.flushTimer = nil
}

// requestPreload makes the partition's goroutine load the partition. It does
// not block.
func (p *partition) requestPreload() {
	select {
	case p.preloadRequests <- struct{}{}:
	default:
	}
}

// flushNow makes the partition's goroutine write the queued ends, and returns
// when it has tried to.
func (p *partition) flushNow(ctx context.Context) error {
	flushed := make(chan struct{})
	select {
	case p.flushRequests <- flushed:
		return await(ctx, flushed)
	case <-ctx.Done():
		return ctx.Err()
	}
}
