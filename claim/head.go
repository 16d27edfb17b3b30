package claim

import (
	"crypto/rand"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// Names in the table service and the object store.
const (
	layoutKey     = "claim/layout"
	headPrefix    = "claim/head/"
	segmentPrefix = "claim/segment/"
)

func headKey(partition int) string {
	return fmt.Sprintf("%s%04d", headPrefix, partition)
}

func segmentsOf(partition int) string {
	return fmt.Sprintf("%s%04d/", segmentPrefix, partition)
}

// segmentName names a segment that only a head of at most the given sequence
// may take in. Names are never used twice.
func segmentName(partition int, sequence uint64) string {
	return fmt.Sprintf("%s%016x-%s", segmentsOf(partition), sequence, rand.Text())
}

// segmentGarbage reports whether the named object is not in use and can never
// be: head does not refer to it, and is past the last that could take it in.
// This also holds for a head that is no longer the present one.
func segmentGarbage(head *claimpb.Head, partition int, name string) bool {
	for _, segment := range head.GetSegments() {
		if segment.GetName() == name {
			return false
		}
	}
	var sequence uint64
	suffix := strings.TrimPrefix(name, segmentsOf(partition))
	if _, err := fmt.Sscanf(suffix, "%016x-", &sequence); err != nil {
		return false
	}
	return sequence < head.GetSequence()
}

// appended returns the head after one more batch. It shares the segments and
// batches of head, which must not be changed afterwards.
func appended(head *claimpb.Head, batch *claimpb.Batch) *claimpb.Head {
	batch.Sequence = head.GetSequence() + 1
	batches := head.GetBatches()
	return &claimpb.Head{
		Sequence: batch.Sequence,
		TimeMs:   max(head.GetTimeMs(), batch.GetTimeMs()),
		Segments: head.GetSegments(),
		Batches:  append(batches[:len(batches):len(batches)], batch),
	}
}

// rotated returns head with its batches moved to the segment of that name.
func rotated(head *claimpb.Head, name string, size int) *claimpb.Head {
	segments := head.GetSegments()
	segment := &claimpb.Segment{
		Name:         name,
		LastSequence: head.GetSequence(),
		LastMs:       head.GetTimeMs(),
		Bytes:        uint32(size),
	}
	return &claimpb.Head{
		Sequence: head.GetSequence(),
		TimeMs:   head.GetTimeMs(),
		Segments: append(segments[:len(segments):len(segments)], segment),
	}
}

// expireSegments splits off the segments whose claims are all expired.
func expireSegments(head *claimpb.Head, nowMS, retentionMS int64) (*claimpb.Head, []string) {
	var kept []*claimpb.Segment
	var dropped []string
	for _, segment := range head.GetSegments() {
		if segment.GetLastMs()+retentionMS <= nowMS {
			dropped = append(dropped, segment.GetName())
			continue
		}
		kept = append(kept, segment)
	}
	if len(dropped) == 0 {
		return head, nil
	}
	return withSegments(head, kept), dropped
}

func withSegments(head *claimpb.Head, segments []*claimpb.Segment) *claimpb.Head {
	return &claimpb.Head{
		Sequence: head.GetSequence(),
		TimeMs:   head.GetTimeMs(),
		Segments: segments,
		Batches:  head.GetBatches(),
	}
}

// segmentListBytes returns about the size of the list of segments.
func segmentListBytes(head *claimpb.Head) int {
	return proto.Size(&claimpb.Head{Segments: head.GetSegments()})
}

// followsTail reports whether an index that holds everything up to applied can
// be brought up to date from the head's own batches.
func followsTail(head *claimpb.Head, applied uint64) bool {
	if applied == head.GetSequence() {
		return true
	}
	batches := head.GetBatches()
	return len(batches) > 0 && batches[0].GetSequence() <= applied+1
}

func decodeHead(data []byte) (*claimpb.Head, error) {
	head := new(claimpb.Head)
	if err := proto.Unmarshal(data, head); err != nil {
		return nil, fmt.Errorf("decode head: %w", err)
	}
	return head, nil
}

// journalClock is the time of a partition in milliseconds. Within one instance
// it follows the monotonic clock; between instances it goes on from the head,
// so that a wrong wall clock moves it by at most maxClockStepMS.
type journalClock struct {
	started bool
	baseMS  int64
	// startMS is the local monotonic time at which the clock showed baseMS.
	startMS int64
}

// maxClockStepMS bounds how far the wall clock of a new writer moves the
// journal time.
const maxClockStepMS = 60_000

// observe sets the clock from a head that has just been read.
func (c *journalClock) observe(headMS, wallMS, monotonicMS int64) {
	if !c.started {
		c.started = true
		c.startMS = monotonicMS
		c.baseMS = wallMS
		if headMS > 0 {
			c.baseMS = headMS + min(max(wallMS-headMS, 0), maxClockStepMS)
		}
		return
	}
	if now := c.now(monotonicMS); headMS > now {
		c.baseMS += headMS - now
	}
}

func (c *journalClock) now(monotonicMS int64) int64 {
	return c.baseMS + monotonicMS - c.startMS
}
