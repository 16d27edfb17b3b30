package claim

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

const (
	// mergeFanIn is the number of segments of one level that are merged
	// into one segment of the next level.
	mergeFanIn = 8
	// maxMergeBytes is the size above which a segment is not merged again.
	maxMergeBytes = 512 << 10
	// mergeWindow is the number of appends within which a merged segment
	// has to be added to the head.
	mergeWindow = 4096
)

// foldedRange is the net effect of a range of batches.
type foldedRange struct {
	index *index
	order []keyID
	// ends are those of claims made before the range.
	ends     []*claimpb.End
	sequence uint64
	timeMS   int64
}

func newFoldedRange() *foldedRange {
	return &foldedRange{index: newIndex(unlimited)}
}

// batch returns the range as one batch. Applied to an index that holds
// everything before the range, it has the same effect as the individual
// batches, except that expired claims are omitted. The range must not be used
// afterwards.
func (f *foldedRange) batch(nowMS, retentionMS int64) *claimpb.Batch {
	return &claimpb.Batch{
		Sequence: f.sequence,
		TimeMs:   f.timeMS,
		Ends:     f.ends,
		Claims:   f.claims(nowMS, retentionMS),
	}
}

// add appends the next batch to the range.
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

// claims returns the claims that remain at the end of the range, in the order
// in which they were made.
func (f *foldedRange) claims(nowMS, retentionMS int64) []*claimpb.Claim {
	var claims []*claimpb.Claim
	for _, id := range f.order {
		e, ok := f.index.keys[id]
		delete(f.index.keys, id)
		if ok && !e.expired(nowMS, retentionMS) {
			claims = append(claims, e.toClaim(id, f.index.responses.byKey[id]))
		}
	}
	return claims
}

func (e entry) toClaim(id keyID, response *claimpb.Answer) *claimpb.Claim {
	return &claimpb.Claim{
		Key:         id[:],
		Fingerprint: e.fingerprint[:],
		Attempt:     e.attempt,
		TimeMs:      e.timeMS,
		RunningMs:   int64(e.maxRunMS),
		State:       claimpb.State(e.state),
		Answer:      response,
	}
}

// mergeCandidates returns the oldest consecutive segments that are due to be
// merged, or nil.
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

// mergedSegment is a stored segment that replaces several earlier ones.
type mergedSegment struct {
	segment  *claimpb.Segment
	replaced []*claimpb.Segment
	// maxSequence is the last sequence at which a head may add the segment.
	maxSequence uint64
}

// replaceIn returns head with the merged segment in place of the segments that
// it replaces. It returns false if head does not contain them or its sequence
// is too high.
func (m *mergedSegment) replaceIn(head *claimpb.Head) (*claimpb.Head, bool) {
	segments := head.GetSegments()
	for i := range segments {
		if segments[i].GetName() != m.replaced[0].GetName() {
			continue
		}
		if head.GetSequence() > m.maxSequence || !startsWith(segments[i:], m.replaced) {
			return head, false
		}
		next := append([]*claimpb.Segment(nil), segments[:i]...)
		next = append(next, m.segment)
		next = append(next, segments[i+len(m.replaced):]...)
		return headWithSegments(head, next), true
	}
	return head, false
}

func startsWith(segments, replaced []*claimpb.Segment) bool {
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

// merge reads segments, folds them into one batch and stores the result. It
// uses only immutable state and may run concurrently with the partition's
// goroutine.
func (s *partitionStore) merge(ctx context.Context, sequence uint64, from []*claimpb.Segment, nowMS, retentionMS int64) (*mergedSegment, error) {
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
	m := &mergedSegment{replaced: from, maxSequence: sequence + mergeWindow}
	m.segment = &claimpb.Segment{
		Name:         segmentName(s.number, m.maxSequence),
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
