package claim

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// maxReadTries bounds the reads that one load tries.
	maxReadTries = 8
	// readPause is the time between two tries.
	readPause = 5 * time.Millisecond
	// tailOverrun is how many times TailBytes a head may grow while the
	// object store fails.
	tailOverrun = 4
	// rotateRest is the time between two tries of a failed rotation.
	rotateRest = time.Second
)

// Reason tells why a claim could not be decided or recorded.
type Reason string

func (r Reason) Error() string { return "claim: " + string(r) }

const (
	errStaleRead    Reason = "the table service answers with old records"
	errTailOverflow Reason = "head record is full and the object store fails"
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
	lowest  storage.Version
	version storage.Version
	head    *claimpb.Head
	// index reflects head, which is the record at version.
	index *index
	clock journalClock
	// rebuilt tells that the index may hold expired keys.
	rebuilt bool
	// seen are the writes of others found since the last takeSeen.
	seen []seenWrite
	// unused are objects to delete; rotateAfter is when a failed rotation
	// is tried again.
	unused      []string
	rotateAfter time.Time
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
		var missing *storage.NotFoundError
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

func (s *partitionStore) readHead(ctx context.Context) (storage.Version, *claimpb.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.reads.Add(1)
	record, err := s.opts.Tables.Get(ctx, headKey(s.number))
	var missing *storage.NotFoundError
	if errors.As(err, &missing) {
		return storage.Absent, &claimpb.Head{}, nil
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

// deleteUnused deletes the objects that the last append took out of the head.
func (s *partitionStore) deleteUnused(ctx context.Context) {
	s.deleteObjects(ctx, s.unused)
	s.unused = nil
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
