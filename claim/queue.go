package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// submit queues a claim and waits for its decision.
func (p *partition) submit(ctx context.Context, c *claimpb.Claim) (Decision, error) {
	o := &op{ctx: ctx, claim: c, reply: make(chan result, 1)}
	select {
	case p.ops <- o:
	default:
		return Decision{}, errQueueFull
	}
	select {
	case r := <-o.reply:
		return r.decision, r.err
	case <-p.stopped:
		return Decision{}, errStopped
	case <-ctx.Done():
		return Decision{}, ctx.Err()
	}
}

// finish queues an end and reports whether there was room.
func (p *partition) finish(end *claimpb.End) bool {
	select {
	case p.ends <- end:
		return true
	default:
		return false
	}
}

// wait blocks until there is something to do.
func (p *partition) wait(ctx context.Context, upkeep <-chan time.Time) (flushed chan struct{}, ok bool) {
	p.armFlush()
	for {
		var ends chan *claimpb.End
		if p.takesEnds() {
			ends = p.ends
		}
		select {
		case <-ctx.Done():
			return nil, false
		case o := <-p.ops:
			p.claims = append(p.claims, o)
			return nil, true
		case end := <-ends:
			p.addEnd(end)
			if !p.takesEnds() {
				return nil, true
			}
		case <-p.flushDue:
			p.flushDue = nil
			return nil, true
		case flushed := <-p.flush:
			return flushed, true
		case <-p.warm:
			p.preload(ctx)
		case <-upkeep:
			p.upkeep(ctx)
		}
	}
}

// armFlush bounds the time that ends wait for a claim to share its write.
func (p *partition) armFlush() {
	if len(p.pending) > 0 && p.flushDue == nil {
		p.flushDue = time.After(p.opts.FlushInterval)
	}
}

// collect takes what has queued up meanwhile, up to one batch.
func (p *partition) collect() {
	for len(p.claims) < p.opts.MaxBatch {
		select {
		case o := <-p.ops:
			p.claims = append(p.claims, o)
			continue
		default:
		}
		break
	}
	for p.takesEnds() {
		select {
		case end := <-p.ends:
			p.addEnd(end)
			continue
		default:
		}
		return
	}
}

// takesEnds reports whether the next batch has room for an end.
func (p *partition) takesEnds() bool {
	return len(p.pending) < p.opts.MaxBatch && p.pendingBytes < p.opts.TailBytes
}

func (p *partition) addEnd(end *claimpb.End) {
	p.pending = append(p.pending, pendingEnd{end: end})
	p.pendingBytes += proto.Size(end)
	p.armFlush()
}

func (p *partition) clearEnds() {
	p.pending = nil
	p.pendingBytes = 0
	p.flushDue = nil
}

// preloadSoon asks the partition's goroutine to read the journal.
func (p *partition) preloadSoon() {
	select {
	case p.warm <- struct{}{}:
	default:
	}
}

// flushNow writes the queued ends and returns once that was tried.
func (p *partition) flushNow(ctx context.Context) error {
	flushed := make(chan struct{})
	select {
	case p.flush <- flushed:
		return await(ctx, flushed)
	case <-ctx.Done():
		return ctx.Err()
	}
}
