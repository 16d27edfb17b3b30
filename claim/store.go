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
	// maxReadAttempts is the maximum number of read attempts in one load.
	maxReadAttempts = 8
	// readRetryDelay is the delay between two read attempts.
	readRetryDelay = 5 * time.Millisecond
	// maxTailGrowth is the multiple of TailBytes up to which a head may
	// grow while the object store fails.
	maxTailGrowth = 4
	// rotateRetryDelay is the delay before a failed rotation is retried.
	rotateRetryDelay = time.Second
)

// Reason is an error that says why a claim could not be decided or recorded.
// Peers receive its text in ClaimReply.error.
type Reason string

func (r Reason) Error() string { return "claim: " + string(r) }

const (
	errStaleRead Reason = "the table service answers with old records"
	errHeadFull  Reason = "head record is full and the object store fails"
)

// partitionStore keeps the index of one partition in sync with its head record.
type partitionStore struct {
	number int
	opts   *Options
	stats  *counters
	self   string
	// start is the origin of the local monotonic time.
	start time.Time

	loaded bool
	// stale requests a read before the next plan.
	stale bool
	// minVersion is the lowest version that a read may return.
	minVersion storage.Version
	version    storage.Version
	head       *claimpb.Head
	// index reflects head, which is the content of the record at version.
	index *index
	clock journalClock
	// needsPrune means that the index was rebuilt and may contain expired
	// keys.
	needsPrune bool
	// otherWrites are the writes of other instances found since the last
	// call of takeOtherWrites.
	otherWrites []otherWrite
	// unusedObjects are objects to delete. nextRotateAttempt is when a
	// failed rotation may be retried.
	unusedObjects     []string
	nextRotateAttempt time.Time
	// merged is a segment that waits to be added to the head.
	merged *mergedSegment
}

func newPartitionStore(number int, opts *Options, stats *counters) *partitionStore {
	return &partitionStore{
		number: number,
		opts:   opts,
		stats:  stats,
		self:   opts.Messenger.Self(),
		start:  time.Now(),
		head:   &claimpb.Head{},
		index:  newIndex(opts.ResponseBytes),
	}
}

func (s *partitionStore) monotonicMS() int64 { return time.Since(s.start).Milliseconds() }

// nowMS returns the journal time.
func (s *partitionStore) nowMS() int64 { return s.clock.now(s.monotonicMS()) }

// otherWrite is a write by another instance.
type otherWrite struct {
	writer string
	timeMS int64
}

// takeOtherWrites returns the writes of other instances found since the last
// call.
func (s *partitionStore) takeOtherWrites() []otherWrite {
	seen := s.otherWrites
	s.otherWrites = nil
	return seen
}

// load brings the index up to date if it is stale or not loaded.
func (s *partitionStore) load(ctx context.Context) error {
	if s.loaded && !s.stale {
		return nil
	}
	var lastErr error
	for range maxReadAttempts {
		if lastErr = s.tryLoad(ctx); lastErr == nil {
			return nil
		}
		var missing *storage.NotFoundError
		if !errors.Is(lastErr, errStaleRead) && !errors.As(lastErr, &missing) {
			return lastErr
		}
		if err := sleep(ctx, readRetryDelay); err != nil {
			return err
		}
	}
	return lastErr
}

func sleep(ctx context.Context, d time.Duration) error {
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
// older than a version already seen, and with a NotFoundError if a segment has
// been replaced in the meantime.
func (s *partitionStore) tryLoad(ctx context.Context) error {
	version, head, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if version < s.minVersion || version < s.version {
		return errStaleRead
	}
	if s.loaded && version == s.version {
		s.stale = false
		return nil
	}
	if err := s.advance(ctx, head); err != nil {
		return err
	}
	s.recordOtherWrites(head)
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

// advance applies the changes between the current head and the given one to the
// index, or rebuilds the index from the segments and batches of the given head.
func (s *partitionStore) advance(ctx context.Context, head *claimpb.Head) error {
	if s.loaded && canAdvanceFrom(head, s.head.GetSequence()) {
		applyAfter(s.index, head.GetBatches(), s.head.GetSequence())
		return nil
	}
	fresh := newIndex(s.opts.ResponseBytes)
	for _, segment := range head.GetSegments() {
		batches, err := s.readSegment(ctx, segment.GetName())
		if err != nil {
			return err
		}
		applyAfter(fresh, batches, 0)
		fresh.compact(s.opts.retentionMS())
	}
	applyAfter(fresh, head.GetBatches(), 0)
	s.index, s.needsPrune = fresh, true
	return nil
}

func applyAfter(x *index, batches []*claimpb.Batch, sequence uint64) {
	for _, batch := range batches {
		if batch.GetSequence() > sequence {
			x.apply(batch)
		}
	}
}

func (s *partitionStore) recordOtherWrites(head *claimpb.Head) {
	for _, batch := range head.GetBatches() {
		if batch.GetSequence() > s.head.GetSequence() && batch.GetWriter() != s.self {
			s.otherWrites = append(s.otherWrites, otherWrite{batch.GetWriter(), batch.GetTimeMs()})
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

// prune deletes expired keys.
func (s *partitionStore) prune() {
	retentionMS := s.opts.retentionMS()
	s.needsPrune = false
	s.index.prune(s.nowMS(), retentionMS)
	s.index.compact(retentionMS)
	s.countKeys()
}

func (s *partitionStore) countKeys() {
	keys, bytes := s.index.size()
	s.stats.setKeys(s.number, keys, bytes)
}

// unload releases the index. The version is kept, so that a later read of an
// older record is detected.
func (s *partitionStore) unload() {
	s.loaded = false
	s.index = newIndex(s.opts.ResponseBytes)
	s.head = &claimpb.Head{}
	s.merged = nil
	s.countKeys()
}

// sweep deletes segment objects that are not in use, such as those that crashed
// writers left behind.
func (s *partitionStore) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	s.stats.reads.Add(1)
	names, err := s.opts.Objects.ListObjects(ctx, segmentPrefixOf(s.number))
	if err != nil {
		return
	}
	var garbage []string
	for _, name := range names {
		if isGarbageSegment(s.head, s.number, name) {
			garbage = append(garbage, name)
		}
	}
	s.deleteObjects(ctx, garbage)
}

// deleteUnused deletes the objects that the last append removed from the head.
func (s *partitionStore) deleteUnused(ctx context.Context) {
	s.deleteObjects(ctx, s.unusedObjects)
	s.unusedObjects = nil
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
