package claim

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
)

// drawLog draws random claims and ends and returns the batches that plans
// append for them, and the index before the first batch and after each.
func drawLog(t *rapid.T) ([]*claimpb.Batch, []*index) {
	x := newIndex(unlimited)
	indexes := []*index{clone(x)}
	var batches []*claimpb.Batch
	var nowMS int64
	for n := range rapid.IntRange(5, 40).Draw(t, "batches") {
		nowMS += rapid.Int64Range(0, 30).Draw(t, "ms")
		p := newPlan(x, nowMS, testRetentionMS)
		for range rapid.IntRange(0, 3).Draw(t, "ends") {
			state := rapid.SampledFrom([]claimpb.State{2, 3, 3, 4}).Draw(t, "state")
			end := &claimpb.End{Key: testKey(t), Attempt: testAttempt(t), State: state}
			if state == claimpb.State_STATE_FINISHED && n%4 == 0 {
				end.Answer = &claimpb.Answer{Status: int32(n)}
			}
			p.end(end)
		}
		for range rapid.IntRange(0, 3).Draw(t, "claims") {
			p.claim(&claimpb.Claim{Key: testKey(t), Fingerprint: make([]byte, fingerprintBytes), Attempt: testAttempt(t)})
		}
		p.batch.Sequence = uint64(n + 1)
		x.apply(p.batch)
		batches = append(batches, p.batch)
		indexes = append(indexes, clone(x))
	}
	return batches, indexes
}

func testKey(t *rapid.T) []byte {
	return append(make([]byte, 15), rapid.ByteRange(0, 7).Draw(t, "key"))
}

const testRetentionMS = 300

func testAttempt(t *rapid.T) uint64 { return rapid.Uint64Range(0, 1).Draw(t, "attempt") }

func clone(x *index) *index {
	c := newIndex(unlimited)
	maps.Copy(c.keys, x.keys)
	maps.Copy(c.responses.byKey, x.responses.byKey)
	return c
}

func TestFoldedBatchesHaveTheSameEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batches, indexes := drawLog(t)
		from := rapid.IntRange(0, len(batches)).Draw(t, "from")
		to := rapid.IntRange(from, len(batches)).Draw(t, "to")
		nowMS := batches[len(batches)-1].GetTimeMs()
		got := clone(indexes[from])
		folded := newFoldedRange()
		for _, batch := range batches[from:to] {
			folded.add(batch)
		}
		got.apply(folded.batch(nowMS, testRetentionMS))
		want := clone(indexes[to])
		got.prune(nowMS, testRetentionMS)
		want.prune(nowMS, testRetentionMS)
		if !reflect.DeepEqual(got.keys, want.keys) || !reflect.DeepEqual(got.responses.byKey, want.responses.byKey) {
			t.Fatalf("folded %v\nwant %v", got.keys, want.keys)
		}
	})
}

func TestCompactedIndexDecidesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batches, indexes := drawLog(t)
		compacted := newIndex(unlimited)
		for _, batch := range batches {
			compacted.apply(batch)
			if rapid.Bool().Draw(t, "compact") {
				compacted.compactEnded(rapid.SampledFrom([]int64{0, 100, 1000}).Draw(t, "span"))
			}
		}
		nowMS := batches[len(batches)-1].GetTimeMs()
		compacted.prune(nowMS, testRetentionMS)
		plain := newPlan(indexes[len(batches)], nowMS, testRetentionMS)
		for key := range 8 {
			for body := range 2 {
				fingerprint := append([]byte{byte(body)}, make([]byte, fingerprintBytes-1)...)
				c := &claimpb.Claim{Key: append(make([]byte, 15), byte(key)), Fingerprint: fingerprint, Attempt: 9}
				want, taken := plain.decideKnown(c)
				got, still := newPlan(compacted, nowMS, testRetentionMS).decideKnown(c)
				if taken && (!still || !reflect.DeepEqual(got, want)) {
					t.Fatalf("key %d body %d: %+v, want %+v", key, body, got, want)
				}
			}
		}
	})
}

func TestHeadMergesLevels(t *testing.T) {
	head := &claimpb.Head{}
	for i := range 200 {
		head = headWithBatch(head, &claimpb.Batch{TimeMs: int64(i)})
		head = headAfterRotation(head, segmentName(1, head.GetSequence()), testRetentionMS)
		from := mergeCandidates(head.GetSegments())
		if from == nil {
			continue
		}
		m := &mergedSegment{replaced: from, maxSequence: head.GetSequence() + mergeWindow, segment: &claimpb.Segment{
			Name: fmt.Sprint("m", i), Level: from[0].GetLevel() + 1, LastSequence: from[len(from)-1].GetLastSequence(),
		}}
		next, ok := m.replaceIn(head)
		if !ok {
			t.Fatal("merge rejected")
		}
		head = next
	}
	if n := len(head.GetSegments()); n > 3*mergeFanIn {
		t.Fatalf("%d segments after 200 rotations", n)
	}
	var last uint64
	for _, segment := range head.GetSegments() {
		if segment.GetLastSequence() <= last {
			t.Fatalf("segments out of order: %v", head.GetSegments())
		}
		last = segment.GetLastSequence()
	}
	if last != 200 {
		t.Fatalf("last segment ends at %d", last)
	}
}

func TestLateMergeIsRejectedAndSweepKeepsEarlyOne(t *testing.T) {
	name := segmentName(1, 10+mergeWindow)
	from := []*claimpb.Segment{{Name: "a"}}
	m := &mergedSegment{replaced: from, maxSequence: 10 + mergeWindow, segment: &claimpb.Segment{Name: name}}
	for _, sequence := range []uint64{10, m.maxSequence, m.maxSequence + 1} {
		head := &claimpb.Head{Sequence: sequence, Segments: from}
		_, taken := m.replaceIn(head)
		if garbage := isGarbageSegment(head, 1, name); taken == garbage {
			t.Fatalf("at %d: taken %v, garbage %v", sequence, taken, garbage)
		}
	}
}

func TestClockStepOfNewWriterIsBounded(t *testing.T) {
	const hour = 3_600_000
	var c journalClock
	c.observe(1000, 1000+5*hour, 0)
	if got := c.now(0); got != 1000+maxClockStepMS {
		t.Fatalf("wall clock ahead: %d", got)
	}
	c.observe(2000, 1000+9*hour, 10)
	if got := c.now(10); got != 1000+maxClockStepMS+10 {
		t.Fatalf("second read: %d", got)
	}
	var behind journalClock
	behind.observe(1000, 1000-5*hour, 0)
	if got := behind.now(7); got != 1007 {
		t.Fatalf("wall clock behind: %d", got)
	}
}

func TestNewestRunTakesPrecedence(t *testing.T) {
	x := newIndex(unlimited)
	for _, timeMS := range []int64{0, 250} {
		c := &claimpb.Claim{Key: make([]byte, 16), Fingerprint: make([]byte, fingerprintBytes), TimeMs: timeMS}
		c.State = claimpb.State_STATE_FINISHED
		x.apply(&claimpb.Batch{Claims: []*claimpb.Claim{c}})
		x.compactEnded(0)
	}
	if e, ok := x.lookup(keyID{}); !ok || len(x.ended) != 2 || e.expired(400, testRetentionMS) {
		t.Fatalf("%+v, %v, %d runs", e, ok, len(x.ended))
	}
}
