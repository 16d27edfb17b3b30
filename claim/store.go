package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	"github.com/pomelolock/pomelolock/platform"
)

const (
	// maxReadTries bounds the reads that one load tries.
	maxReadTries = 8
	// readPause is the time between two tries.
	readPause = 5 * time.Millisecond
	// tailOverrun is how many times TailBytes a head may grow while the
	// object store fails.
	tailOverrun = 4
)

var (
	errStaleRead    = errors.New("the table service answers with old records")
	errTailOverflow = errors.New("head record is full and the object store fails")
)

// partitionStore keeps the index of one partition in step with its head
// record.
type partitionStore struct {
	number int
	opts   *Options
	stats  *counters
	self   string
	// start anchors the local monotonic time.
	start time.Time

	loaded bool
	// stale asks for a read before the next plan.
	stale bool
	// lowest is the lowest version that a read may return.
	lowest  platform.Version
	version platform.Version
	head    *claimpb.Head
	// index reflects head, which is the record at version.
	index *index
	clock journalClock
	// rebuilt tells that the index may hold expired keys.
	rebuilt bool
	// seen are the writes of others found since the last takeSeen.
	seen []seenWrite
	// merged is a segment that waits to be taken into the head.
	merged *merged
}

func newPartitionStore(number int, opts *Options, stats *counters) *partitionStore {
	return &partitionStore{
		number: number,
		opts:   opts,
		stats:  stats,
		self:   opts.Messenger.Self(),
		start:  time.Now(),
		head:   &claimpb.Head{},
		index:  newIndex(opts.AnswerBytes),
	}
}

func (s *partitionStore) monotonicMS() int64 { return time.Since(s.start).Milliseconds() }

// nowMS returns the journal time.
func (s *partitionStore) nowMS() int64 { return s.clock.now(s.monotonicMS()) }

// seenWrite is a write of another instance.
type seenWrite struct {
	writer string
	timeMS int64
}

// takeSeen returns the writes of others found since the last call.
func (s *partitionStore) takeSeen() []seenWrite {
	seen := s.seen
	s.seen = nil
	return seen
}

// load brings the index up to date if it has to be.
func (s *partitionStore) load(ctx context.Context) error {
	if s.loaded && !s.stale {
		return nil
	}
	var last error
	for range maxReadTries {
		if last = s.tryLoad(ctx); last == nil {
			return nil
		}
		var missing *platform.NotFoundError
		if !errors.Is(last, errStaleRead) && !errors.As(last, &missing) {
			return last
		}
		if err := pause(ctx, readPause); err != nil {
			return err
		}
	}
	return last
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryLoad reads the head once. It fails with errStaleRead if the record is
// older than one known before, and with a NotFoundError if a segment has been
// replaced meanwhile.
func (s *partitionStore) tryLoad(ctx context.Context) error {
	version, head, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if version < s.lowest || version < s.version {
		return errStaleRead
	}
	if s.loaded && version == s.version {
		s.stale = false
		return nil
	}
	if err := s.advance(ctx, head); err != nil {
		return err
	}
	s.noteWrites(head)
	s.clock.observe(head.GetTimeMs(), time.Now().UnixMilli(), s.monotonicMS())
	s.version, s.head = version, head
	s.loaded, s.stale = true, false
	s.countKeys()
	return nil
}

func (s *partitionStore) readHead(ctx context.Context) (platform.Version, *claimpb.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.reads.Add(1)
	record, err := s.opts.Tables.Get(ctx, headKey(s.number))
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Absent, &claimpb.Head{}, nil
	}
	if err != nil {
		return 0, nil, err
	}
	head, err := decodeHead(record.Value)
	return record.Version, head, err
}

// advance applies to the index what head holds beyond the present one.
func (s *partitionStore) advance(ctx context.Context, head *claimpb.Head) error {
	if s.loaded && followsTail(head, s.head.GetSequence()) {
		applyAfter(s.index, head.GetBatches(), s.head.GetSequence())
		return nil
	}
	fresh := newIndex(s.opts.AnswerBytes)
	for _, segment := range head.GetSegments() {
		batches, err := s.readSegment(ctx, segment.GetName())
		if err != nil {
			return err
		}
		applyAfter(fresh, batches, 0)
		fresh.compact(s.opts.retentionMS())
	}
	applyAfter(fresh, head.GetBatches(), 0)
	s.index, s.rebuilt = fresh, true
	return nil
}

func applyAfter(x *index, batches []*claimpb.Batch, sequence uint64) {
	for _, batch := range batches {
		if batch.GetSequence() > sequence {
			x.apply(batch)
		}
	}
}

func (s *partitionStore) noteWrites(head *claimpb.Head) {
	for _, batch := range head.GetBatches() {
		if batch.GetSequence() > s.head.GetSequence() && batch.GetWriter() != s.self {
			s.seen = append(s.seen, seenWrite{batch.GetWriter(), batch.GetTimeMs()})
		}
	}
}

func (s *partitionStore) readSegment(ctx context.Context, name string) ([]*claimpb.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.reads.Add(1)
	data, err := s.opts.Objects.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	var segment claimpb.SegmentData
	if err := proto.Unmarshal(data, &segment); err != nil {
		return nil, err
	}
	return segment.GetBatches(), nil
}

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
	s.deleteObjects(ctx, append(unused, replaced...))
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
	moved, err := s.rotate(ctx, base)
	if err == nil {
		return appended(moved, batch), 2, nil
	}
	if size > tailOverrun*s.opts.TailBytes+segmentListBytes(base) {
		return nil, 1, &platform.UnavailableError{Op: "append", Err: fmt.Errorf("%w: %w", errTailOverflow, err)}
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

func (s *partitionStore) put(ctx context.Context, head *claimpb.Head) (platform.Version, error) {
	data, err := proto.Marshal(head)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.wrote(len(data))
	version, err := s.opts.Tables.Put(ctx, headKey(s.number), data, s.version)
	var conflict *platform.ConflictError
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

// prune forgets expired keys.
func (s *partitionStore) prune() {
	retentionMS := s.opts.retentionMS()
	s.rebuilt = false
	s.index.prune(s.nowMS(), retentionMS)
	s.index.compact(retentionMS)
	s.countKeys()
}

func (s *partitionStore) countKeys() {
	keys, bytes := s.index.size()
	s.stats.setKeys(s.number, keys, bytes)
}

// unload forgets the index. The version stays known, so that a later read of
// an older record is noticed.
func (s *partitionStore) unload() {
	s.loaded = false
	s.index = newIndex(s.opts.AnswerBytes)
	s.head = &claimpb.Head{}
	s.merged = nil
	s.countKeys()
}

// sweep deletes the objects that crashed writers left behind.
func (s *partitionStore) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.reads.Add(1)
	names, err := s.opts.Objects.ListObjects(ctx, segmentsOf(s.number))
	if err != nil {
		return
	}
	var garbage []string
	for _, name := range names {
		if segmentGarbage(s.head, s.number, name) {
			garbage = append(garbage, name)
		}
	}
	s.deleteObjects(ctx, garbage)
}

func (s *partitionStore) deleteObjects(ctx context.Context, names []string) {
	for _, name := range names {
		ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
		err := s.opts.Objects.DeleteObject(ctx, name)
		cancel()
		if err != nil {
			s.opts.Logger.Warn("claim_segment_delete_failed", "name", name, "err", err)
			return
		}
	}
}
