package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	"github.com/pomelolock/pomelolock/storage"
)

// append writes the plan's batch on top of the head that the index reflects and
// returns the number of store writes it used. On error the index is unchanged,
// and the batch may or may not have been written.
func (s *partitionStore) append(ctx context.Context, p *plan) (int, error) {
	p.batch.Writer = s.self
	base, unused := expireSegments(s.head, p.nowMS, p.retentionMS)
	base, replaced := s.applyMerged(base)
	next, writes, err := s.nextHead(ctx, base, p.batch)
	if err != nil {
		return writes, err
	}
	version, err := s.put(ctx, next)
	if err != nil {
		return writes, err
	}
	s.version, s.head = version, next
	s.index.apply(p.batch)
	s.stats.addRecords(p.batch)
	s.countKeys()
	s.unusedObjects = append(s.unusedObjects, append(unused, replaced...)...)
	return writes, nil
}

// nextHead returns the head with one more batch and the number of store writes
// that storing it uses in total. If the head would grow too large, its earlier
// batches are first moved to a segment.
func (s *partitionStore) nextHead(ctx context.Context, base *claimpb.Head, batch *claimpb.Batch) (*claimpb.Head, int, error) {
	next := headWithBatch(base, batch)
	size := proto.Size(next)
	if size <= s.opts.TailBytes+segmentListBytes(base) || len(base.GetBatches()) == 0 {
		return next, 1, nil
	}
	full := size > maxTailGrowth*s.opts.TailBytes+segmentListBytes(base)
	if !full && time.Now().Before(s.nextRotateAttempt) {
		return next, 1, nil
	}
	moved, err := s.rotate(ctx, base)
	if err == nil {
		return headWithBatch(moved, batch), 2, nil
	}
	s.nextRotateAttempt = time.Now().Add(rotateRetryDelay)
	if full {
		return nil, 1, &storage.UnavailableError{Op: "append", Err: fmt.Errorf("%w: %w", errHeadFull, err)}
	}
	return next, 2, nil
}

// applyMerged replaces segments of head by the merged segment, if there is one,
// and returns the names of the replaced segments.
func (s *partitionStore) applyMerged(head *claimpb.Head) (*claimpb.Head, []string) {
	if s.merged == nil {
		return head, nil
	}
	next, ok := s.merged.replaceIn(head)
	if !ok {
		// The segment was added by an earlier append, or it can't be
		// added any more. In the latter case, sweep deletes its object.
		s.merged = nil
		return head, nil
	}
	var replaced []string
	for _, segment := range s.merged.replaced {
		replaced = append(replaced, segment.GetName())
	}
	return next, replaced
}

func (s *partitionStore) put(ctx context.Context, head *claimpb.Head) (storage.Version, error) {
	data, err := proto.Marshal(head)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.addHeadWrite(len(data))
	version, err := s.opts.Tables.Put(ctx, headKey(s.number), data, s.version)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		s.stats.conflicts.Add(1)
		s.minVersion = s.version + 1
	}
	return version, err
}

// rotate stores the batches of head as a segment object and returns a head that
// refers to it.
func (s *partitionStore) rotate(ctx context.Context, head *claimpb.Head) (*claimpb.Head, error) {
	data, err := proto.Marshal(&claimpb.SegmentData{Batches: head.GetBatches()})
	if err != nil {
		return nil, err
	}
	name := segmentName(s.number, head.GetSequence())
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.rotations.Add(1)
	if err := s.opts.Objects.PutObject(ctx, name, data); err != nil {
		return nil, err
	}
	return headAfterRotation(head, name, len(data)), nil
}
