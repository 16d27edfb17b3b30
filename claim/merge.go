package claim

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

const (
	// mergeFanIn is the number of segments of a level that are merged into
	// one of the next.
	mergeFanIn = 8
	// maxMergeBytes is the size above which a segment is not merged again.
	maxMergeBytes = 512 << 10
	// mergeWindow is the number of appends within which a merged segment
	// has to be taken into the head.
	mergeWindow = 4096
)

// foldedRange is the net effect of a range of batches.
type foldedRange struct {
	index *index
	order []keyID
	// ends belong to claims before the range.
	ends     []*claimpb.End
	sequence uint64
	timeMS   int64
}

func newFoldedRange() *foldedRange {
	return &foldedRange{index: newIndex(unlimited)}
}

// batch returns the range as one batch. Applied after everything before the
// range, it has the effect of the batches one by one, but for claims that are
// expired. The range must not be used afterwards.
func (f *foldedRange) batch(nowMS, retentionMS int64) *claimpb.Batch {
	return &claimpb.Batch{
		Sequence: f.sequence,
		TimeMs:   f.timeMS,
		Ends:     f.ends,
		Claims:   f.claims(nowMS, retentionMS),
	}
}

// add adds the next batch of the range.
func (f *foldedRange) add(batch *claimpb.Batch) {
	f.sequence = max(f.sequence, batch.GetSequence())
	f.timeMS = max(f.timeMS, batch.GetTimeMs())
	for _, end := range batch.GetEnds() {
		if _, ok := f.index.keys[keyID(end.GetKey())]; ok {
			f.index.applyEnd(end)
			continue
		}
		f.ends = append(f.ends, end)
	}
	for _, c := range batch.GetClaims() {
		f.order = append(f.order, keyID(c.GetKey()))
	}
	f.index.apply(&claimpb.Batch{Claims: batch.GetClaims()})
}

// claims returns the claims that hold at the end of the range, in the order in
// which they were made.
func (f *foldedRange) claims(nowMS, retentionMS int64) []*claimpb.Claim {
	var claims []*claimpb.Claim
	for _, id := range f.order {
		e, ok := f.index.keys[id]
		delete(f.index.keys, id)
		if ok && !e.expired(nowMS, retentionMS) {
			claims = append(claims, e.record(id, f.index.answers.held[id]))
		}
	}
	return claims
}

func (e entry) record(id keyID, answer *claimpb.Answer) *claimpb.Claim {
	return &claimpb.Claim{
		Key:         id[:],
		Fingerprint: e.fingerprint[:],
		Attempt:     e.attempt,
		TimeMs:      e.timeMS,
		RunningMs:   int64(e.runningMS),
		State:       claimpb.State(e.state),
		Answer:      answer,
	}
}

// mergeCandidates returns the oldest run of segments that are due to be merged.
func mergeCandidates(segments []*claimpb.Segment) []*claimpb.Segment {
	start := 0
	for i, segment := range segments {
		if segment.GetBytes() > maxMergeBytes {
			start = i + 1
			continue
		}
		if segment.GetLevel() != segments[start].GetLevel() {
			start = i
		}
		if i-start+1 == mergeFanIn {
			return segments[start : i+1]
		}
	}
	return nil
}

// merged is a stored segment that stands for earlier ones.
type merged struct {
	segment  *claimpb.Segment
	replaced []*claimpb.Segment
	// until is the last sequence of a head that may take it in.
	until uint64
}

// into returns head with the merged segment in place of those it stands for,
// or false if head does not hold them or has moved on too far.
func (m *merged) into(head *claimpb.Head) (*claimpb.Head, bool) {
	segments := head.GetSegments()
	for i := range segments {
		if segments[i].GetName() != m.replaced[0].GetName() {
			continue
		}
		if head.GetSequence() > m.until || !sameNames(segments[i:], m.replaced) {
			return head, false
		}
		next := append([]*claimpb.Segment(nil), segments[:i]...)
		next = append(next, m.segment)
		next = append(next, segments[i+len(m.replaced):]...)
		return withSegments(head, next), true
	}
	return head, false
}

func sameNames(segments, replaced []*claimpb.Segment) bool {
	if len(segments) < len(replaced) {
		return false
	}
	for i, segment := range replaced {
		if segments[i].GetName() != segment.GetName() {
			return false
		}
	}
	return true
}

// merge reads segments, folds them and stores the result. It uses only
// immutable state and may run beside the partition's goroutine.
func (s *partitionStore) merge(ctx context.Context, sequence uint64, from []*claimpb.Segment, nowMS, retentionMS int64) (*merged, error) {
	folded := newFoldedRange()
	for _, segment := range from {
		batches, err := s.readSegment(ctx, segment.GetName())
		if err != nil {
			return nil, err
		}
		for _, batch := range batches {
			folded.add(batch)
		}
	}
	batch := folded.batch(nowMS, retentionMS)
	data, err := proto.Marshal(&claimpb.SegmentData{Batches: []*claimpb.Batch{batch}})
	if err != nil {
		return nil, err
	}
	last := from[len(from)-1]
	m := &merged{replaced: from, until: sequence + mergeWindow}
	m.segment = &claimpb.Segment{
		Name:         segmentName(s.number, m.until),
		LastSequence: last.GetLastSequence(),
		LastMs:       last.GetLastMs(),
		Level:        last.GetLevel() + 1,
		Bytes:        uint32(len(data)),
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.merges.Add(1)
	return m, s.opts.Objects.PutObject(ctx, m.segment.GetName(), data)
}
