package quota

import (
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/quota/quotapb"
)

// ask records that an allocator has to be asked for the bucket from now on. A request that it has not
// answered is not replaced by a new one: its answer may hand a bucket over, which is told only to
// the request that asked for it.
func (b *bucket) ask(id string, now time.Time) {
	i := b.inquiries[id]
	switch {
	case i == nil:
		b.inquiries[id] = &inquiry{}
	case i.number != 0 && i.sentAt.Before(now):
		i.again, i.askedAt = true, now
	}
}

// inquire asks the allocators that have not answered for the bucket, unless they were just asked.
func (a *Allocator) inquire(key bucketKey, b *bucket, now time.Time) {
	for id, i := range b.inquiries {
		if i.number != 0 && now.Sub(i.sentAt) < repeatAfter {
			continue
		}
		if i.number == 0 {
			a.number++
			i.number, i.askedAt = a.number, now
		}
		i.sentAt = now
		a.outbox = append(a.outbox, outgoing{id, &quotapb.BucketRequest{Number: i.number, Process: a.opts.Process, Workspace: key.workspace}})
	}
}

// offer offers the buckets of an instance that is no longer an allocator to the next ones, which
// ask for them.
func (a *Allocator) offer() {
	if len(a.allocators) == 0 {
		return
	}
	left := maxOffers
	for key := range a.buckets {
		if key.substitute {
			continue
		}
		if left--; left < 0 {
			return
		}
		to := ranked(key.workspace, a.allocators)[0]
		a.outbox = append(a.outbox, outgoing{to, &quotapb.BucketRequest{Process: a.opts.Process, Workspace: key.workspace, Offer: true}})
	}
}

// ReceiveBucketRequest answers the request of another allocator for a bucket, or nil if it needs
// no answer. From the answer on, this instance grants no units of a bucket that it hands over.
func (a *Allocator) ReceiveBucketRequest(from string, req *quotapb.BucketRequest, role Role, now time.Time) *quotapb.BucketReply {
	a.mu.Lock()
	defer a.send()
	a.observe(role, now)
	a.meet(from, now)
	key := bucketKey{workspace: req.GetWorkspace()}
	c, ok := a.capOf(key.workspace)
	if req.GetOffer() {
		if ok {
			a.take(from, key, c, now)
		}
		return nil
	}
	reply := &quotapb.BucketReply{Number: req.GetNumber(), Process: req.GetProcess(), Workspace: key.workspace, Holder: a.opts.Process}
	b := a.buckets[key]
	switch {
	case b == nil:
		h := a.handovers[key.workspace]
		if h != nil && h.to == from && h.process == req.GetProcess() && (h.number == req.GetNumber() || h.number == 0) {
			h.number = req.GetNumber()
			reply.HandedOver, reply.Missing = !h.assumed, h.missing
			return reply
		}
		reply.Clean = a.clean(key, now)
	case b.inquiries[from] != nil && a.precedes(key, from):
		reply.Kept = true
	default:
		reply.Clean = a.clean(key, now)
		a.handOver(reply, from, key, b, c, now)
	}
	return reply
}

// take asks for a bucket that another instance offers.
func (a *Allocator) take(from string, key bucketKey, c Cap, now time.Time) {
	b := a.buckets[key]
	if b == nil {
		b = a.open(key, c, now)
	}
	if b.inquiries[from] == nil {
		a.advance(key, b, c, now)
		b.inquiries[from] = &inquiry{}
	}
	a.inquire(key, b, now)
}

// precedes reports whether this instance keeps a bucket that another one asks for while this one
// asks the other. All instances agree on the order.
func (a *Allocator) precedes(key bucketKey, from string) bool {
	return ranked(key.workspace, []string{a.opts.ID, from})[0] == a.opts.ID
}

// clean reports whether this instance has run for a window and granted no units in it.
func (a *Allocator) clean(key bucketKey, now time.Time) bool {
	if now.Sub(a.running) < a.limits.Window {
		return false
	}
	return !a.grantedWithin(key.workspace, now)
}

// handOver hands a bucket over. One whose level is not known yet is only given up.
func (a *Allocator) handOver(reply *quotapb.BucketReply, to string, key bucketKey, b *bucket, c Cap, now time.Time) {
	a.advance(key, b, c, now)
	reply.HandedOver, reply.Missing = !b.assumed, a.missing(b, c)
	a.giveUp(&handover{to: to, at: now, process: reply.Process, number: reply.Number, missing: reply.Missing, assumed: b.assumed, grantedAt: b.grantedAt}, key, b)
}

func (a *Allocator) giveUp(h *handover, key bucketKey, b *bucket) {
	delete(a.buckets, key)
	a.handovers[key.workspace] = h
	a.stats.HandedOver++
	a.opts.Logger.Info("bucket handed over", "workspace_hash", fmt.Sprintf("%x", key.workspace), "bucket", fmt.Sprintf("%08x", b.id), "to", h.to,
		"missing", h.missing, "assumed", h.assumed, "granted", b.granted, "held", h.at.Sub(b.openedAt))
}

// ReceiveBucketReply handles the answer of another allocator.
func (a *Allocator) ReceiveBucketReply(from string, reply *quotapb.BucketReply, role Role, now time.Time) {
	a.mu.Lock()
	defer a.send()
	a.observe(role, now)
	key := bucketKey{workspace: reply.GetWorkspace()}
	b := a.buckets[key]
	if b == nil || reply.GetProcess() != a.opts.Process {
		return
	}
	i := b.inquiries[from]
	if i == nil || i.number != reply.GetNumber() {
		return
	}
	c, _ := a.capOf(key.workspace)
	a.advance(key, b, c, now)
	if reply.GetKept() {
		a.giveUp(&handover{to: from, at: now, process: reply.GetHolder(), missing: a.missing(b, c), assumed: b.assumed, grantedAt: b.grantedAt}, key, b)
		return
	}
	delete(b.inquiries, from)
	if reply.GetHandedOver() {
		a.learn(b, c, reply.GetMissing())
	} else if !reply.GetClean() {
		b.unclean = true
	}
	if i.again {
		b.ask(from, now)
		a.inquire(key, b, now)
	}
	a.settle(b, c, now)
	if len(b.inquiries) == 0 || reply.GetHandedOver() {
		a.opts.Logger.Info("bucket taken over", "workspace_hash", fmt.Sprintf("%x", key.workspace), "bucket", fmt.Sprintf("%08x", b.id), "from", from,
			"handed_over", reply.GetHandedOver(), "missing", reply.GetMissing(), "level", b.level, "asking", len(b.inquiries), "after", now.Sub(b.openedAt))
	}
}
