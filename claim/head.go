package claim

import (
	"crypto/rand"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// Keys in the table service and name prefixes in the object store.
const (
	layoutKey     = "claim/layout"
	headPrefix    = "claim/head/"
	segmentPrefix = "claim/segment/"
)

func headKey(partition int) string {
	return fmt.Sprintf("%s%04d", headPrefix, partition)
}

func segmentPrefixOf(partition int) string {
	return fmt.Sprintf("%s%04d/", segmentPrefix, partition)
}

// segmentName returns a new unique name for a segment. Only a head whose
// sequence is at most the given one may add the segment.
func segmentName(partition int, sequence uint64) string {
	return fmt.Sprintf("%s%016x-%s", segmentPrefixOf(partition), sequence, rand.Text())
}

// isGarbageSegment reports whether the named object is unused and can't come
// into use: head does not refer to it, and the sequence of head is past the
// last one that could add it. A true result is right even if head is outdated.
func isGarbageSegment(head *claimpb.Head, partition int, name string) bool {
	for _, segment := range head.GetSegments() {
		if segment.GetName() == name {
			return false
		}
	}
	var sequence uint64
	suffix := strings.TrimPrefix(name, segmentPrefixOf(partition))
	if _, err := fmt.Sscanf(suffix, "%016x-", &sequence); err != nil {
		return false
	}
	return sequence < head.GetSequence()
}

// headWithBatch returns the head with one more batch. The result shares the
// segments and batches of head, which must not be changed afterwards.
func headWithBatch(head *claimpb.Head, batch *claimpb.Batch) *claimpb.Head {
	batch.Sequence = head.GetSequence() + 1
	batches := head.GetBatches()
	return &claimpb.Head{
		Sequence: batch.Sequence,
		TimeMs:   max(head.GetTimeMs(), batch.GetTimeMs()),
		Segments: head.GetSegments(),
		Batches:  append(batches[:len(batches):len(batches)], batch),
	}
}

// headAfterRotation returns the head with its batches replaced by a reference
// to the named segment.
func headAfterRotation(head *claimpb.Head, name string, size int) *claimpb.Head {
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

// expireSegments returns head without the segments whose claims have all
// expired, and the names of these segments.
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
	return headWithSegments(head, kept), dropped
}

func headWithSegments(head *claimpb.Head, segments []*claimpb.Segment) *claimpb.Head {
	return &claimpb.Head{
		Sequence: head.GetSequence(),
		TimeMs:   head.GetTimeMs(),
		Segments: segments,
		Batches:  head.GetBatches(),
	}
}

// segmentListBytes returns the approximate encoded size of the list of
// segments.
func segmentListBytes(head *claimpb.Head) int {
	return proto.Size(&claimpb.Head{Segments: head.GetSegments()})
}

// canAdvanceFrom reports whether an index that holds everything up to the
// sequence applied can be brought up to date from the batches in the head
// record, without reading segments.
func canAdvanceFrom(head *claimpb.Head, applied uint64) bool {
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

// journalClock is the clock of a partition in milliseconds. Within one instance
// it follows the monotonic clock. When another instance takes over, its clock
// continues from the time in the head, so that a wrong wall clock moves the
// journal time by at most maxClockStepMS.
type journalClock struct {
	started bool
	baseMS  int64
	// startMS is the local monotonic time at which the clock read baseMS.
	startMS int64
}

// maxClockStepMS is the maximum by which the wall clock of a new writer
// advances the journal time.
const maxClockStepMS = 60_000

// observe updates the clock from a head that has just been read.
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
