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

// append writes the plan's batch to the head that the index reflects and
// returns the number of store writes it took. On error the index is unchanged
// and the batch may have been written or not.
func (s *partitionStore) append(ctx context.Context, p *plan) (int, error) {
	p.batch.Writer = s.self
	base, unused := expireSegments(s.head, p.nowMS, p.retentionMS)
	base, replaced := s.takeMerged(base)
	next, writes, err := s.next(ctx, base, p.batch)
	if err != nil {
		return writes, err
	}
	version, err := s.put(ctx, next)
	if err != nil {
		return writes, err
	}
	s.version, s.head = version, next
	s.index.apply(p.batch)
	s.stats.appended(p.batch)
	s.countKeys()
	s.unused = append(s.unused, append(unused, replaced...)...)
	return writes, nil
}

// next returns the head after one more batch, with the earlier batches moved to
// a segment if it would grow too large.
func (s *partitionStore) next(ctx context.Context, base *claimpb.Head, batch *claimpb.Batch) (*claimpb.Head, int, error) {
	next := appended(base, batch)
	size := proto.Size(next)
	if size <= s.opts.TailBytes+segmentListBytes(base) || len(base.GetBatches()) == 0 {
		return next, 1, nil
	}
	full := size > tailOverrun*s.opts.TailBytes+segmentListBytes(base)
	if !full && time.Now().Before(s.rotateAfter) {
		return next, 1, nil
	}
	moved, err := s.rotate(ctx, base)
	if err == nil {
		return appended(moved, batch), 2, nil
	}
	s.rotateAfter = time.Now().Add(rotateRest)
	if full {
		return nil, 1, &storage.UnavailableError{Op: "append", Err: fmt.Errorf("%w: %w", errTailOverflow, err)}
	}
	return next, 2, nil
}

// takeMerged puts a merged segment in place of those it stands for and returns
// the names of the latter.
func (s *partitionStore) takeMerged(head *claimpb.Head) (*claimpb.Head, []string) {
	if s.merged == nil {
		return head, nil
	}
	next, ok := s.merged.into(head)
	if !ok {
		// What is not in use now is left to sweep.
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
	s.stats.wrote(len(data))
	version, err := s.opts.Tables.Put(ctx, headKey(s.number), data, s.version)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		s.stats.conflicts.Add(1)
		s.lowest = s.version + 1
	}
	return version, err
}

// rotate stores the batches of head as a segment and returns the head that
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
	return rotated(head, name, len(data)), nil
}
