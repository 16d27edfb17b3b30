package quarantine

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

const (
	// maxArchived and maxArchiveBytes bound what the archive holds: the records that hold requests
	// back for longest.
	maxArchived     = 48
	maxArchiveBytes = 60_000
	// archiveInterval is the least time between two calls of an instance to the archive, and
	// archiveCheck the time between two looks whether records of others are missing in it.
	archiveInterval = time.Second
	archiveCheck    = 2 * time.Second
	// archiveTimeout bounds a call. maxArchiveDelay bounds the time to the next call after one
	// that failed, which begins at archiveInterval and doubles.
	archiveTimeout  = 2 * time.Second
	maxArchiveDelay = 15 * time.Second
	// archiveSpread spreads the calls of instances that start together.
	archiveSpread = 300 * time.Millisecond
)

// Archive keeps the records of confirmed requests beyond the lives of all instances.
type Archive interface {
	// Load returns what was saved last.
	Load(ctx context.Context) (Archived, error)
	// Save replaces what has the given version, 0 for nothing. It fails with [ArchiveConflict]
	// if something else is saved by now.
	Save(ctx context.Context, version uint64, data []byte) (Archived, error)
	// Era returns how often the archive was restored from a copy, as far as is known.
	Era() uint64
}

// Archived is the content of an [Archive].
type Archived struct {
	// Data is nil if nothing is saved.
	Data []byte
	// Version identifies the content. Now is the time of the archive's clock, which is the same
	// for all instances and counts while none runs.
	Version uint64
	Now     time.Duration
}

// ArchiveConflict reports that another instance has saved something else.
type ArchiveConflict struct{ Current Archived }

func (e *ArchiveConflict) Error() string {
	return fmt.Sprintf("quarantine: the archive has version %d by now", e.Current.Version)
}

// ArchiveOptions configure [Quarantine.RunArchive]. Archive is required.
type ArchiveOptions struct {
	Archive Archive
	// FirstStart is set if the whole fleet starts for the first time, so that nothing is saved.
	FirstStart bool
	// Keeper reports whether this instance saves the records that others have confirmed and not
	// saved; nil means that it does not.
	Keeper func() bool
	// Logger receives events; nil discards them.
	Logger *slog.Logger
}

// archivedRecord is one record in the archive.
type archivedRecord struct {
	// Record is an encoded [peerpb.Poison], with ages as of the time of the content.
	Record []byte `json:"record"`
	// HeldForMS is the time for which the request is still held back, negative once that is over;
	// KeptForMS that for which the record says anything.
	HeldForMS int64 `json:"held_for_ms"`
	KeptForMS int64 `json:"kept_for_ms"`
}

// archiveContent is the data in the archive.
type archiveContent struct {
	// AsOfMS is the time of the archive's clock that the records count from.
	AsOfMS  int64            `json:"as_of_ms"`
	Records []archivedRecord `json:"records"`
}

// archiver saves records for one instance.
type archiver struct {
	q    *Quarantine
	opts ArchiveOptions
	// version is that of the content that this instance knows, records that content by request;
	// era is that of the version.
	version uint64
	era     uint64
	records map[Fingerprint]*archivedEntry
	// clock is the time of the archive's clock at the local time readAt.
	clock  time.Duration
	readAt time.Time
	// cleared holds the requests that were cleared and may be in the archive, and whether by a
	// response of this instance.
	cleared map[Fingerprint]bool
	// kept is when records of others were last looked for.
	kept time.Time
}

// archivedEntry is a record of the archive, with local times.
type archivedEntry struct {
	msg                  *peerpb.Poison
	asOf                 time.Time
	heldUntil, keptUntil time.Time
	// own is set if this instance has saved it, so that it removes it, too.
	own bool
}

// RunArchive restores the records that the archive holds, and keeps those of the requests that are
// confirmed there, until ctx is done. Requests never wait for the archive. It returns nil.
func (q *Quarantine) RunArchive(ctx context.Context, opts ArchiveOptions) error {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Keeper == nil {
		opts.Keeper = func() bool { return false }
	}
	a := &archiver{q: q, opts: opts, era: opts.Archive.Era(), records: make(map[Fingerprint]*archivedEntry), cleared: make(map[Fingerprint]bool), readAt: time.Now()}
	if !opts.FirstStart {
		pause(ctx, rand.N(archiveSpread))
		a.retry(ctx, a.load)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-q.archiveDue:
		case <-time.After(archiveCheck):
		}
		if ctx.Err() == nil && a.outdated() {
			a.retry(ctx, a.save)
			pause(ctx, archiveInterval)
		}
	}
	return nil
}

// retry makes a call until it succeeds.
func (a *archiver) retry(ctx context.Context, call func(ctx context.Context) error) {
	delay := archiveInterval
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, archiveTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return
		}
		a.opts.Logger.Info("quarantine_archive_failed", "error", err, "again_in", delay)
		pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxArchiveDelay)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// load reads the archive and restores its records.
func (a *archiver) load(ctx context.Context) error {
	content, err := a.opts.Archive.Load(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	a.take(content, now)
	a.q.restore(a.records, now)
	a.opts.Logger.Info("quarantine_restored", "records", len(a.records), "version", content.Version)
	return nil
}

// take adopts the content of the archive.
func (a *archiver) take(content Archived, now time.Time) {
	a.version, a.era, a.clock, a.readAt = content.Version, a.opts.Archive.Era(), content.Now, now
	a.records = make(map[Fingerprint]*archivedEntry)
	var decoded archiveContent
	if len(content.Data) == 0 {
		return
	}
	if err := json.Unmarshal(content.Data, &decoded); err != nil {
		a.opts.Logger.Warn("quarantine_archive_unreadable", "version", content.Version, "error", err)
		return
	}
	asOf := now.Add(-max(content.Now-time.Duration(decoded.AsOfMS)*time.Millisecond, 0))
	for _, r := range decoded.Records[:min(len(decoded.Records), maxArchived)] {
		msg := &peerpb.Poison{}
		var fp Fingerprint
		if proto.Unmarshal(r.Record, msg) != nil || copy(fp[:], msg.GetFingerprint()) != len(fp) || len(msg.GetFingerprint()) != len(fp) {
			continue
		}
		e := &archivedEntry{msg: msg, asOf: asOf, heldUntil: asOf.Add(limited(r.HeldForMS)), keptUntil: asOf.Add(limited(r.KeptForMS))}
		if e.keptUntil.After(now) {
			a.records[fp] = e
		}
	}
}

// limited converts milliseconds to a duration of at most twice the longest quarantine period.
func limited(ms int64) time.Duration {
	const most = int64(2 * maxPeriod / time.Millisecond)
	return time.Duration(max(min(ms, most), -most)) * time.Millisecond
}

// outdated reports whether the archive lacks a record that this instance has to save, or has one of a
// request that was cleared.
func (a *archiver) outdated() bool {
	now := time.Now()
	keeper := false
	if now.Sub(a.kept) >= archiveCheck {
		a.kept, keeper = now, a.opts.Keeper()
	}
	if era := a.opts.Archive.Era(); era != a.era {
		// A copy may lack what was saved since.
		a.era, a.version, a.records = era, 0, make(map[Fingerprint]*archivedEntry)
	}
	return a.update(keeper, now)
}

// update applies what has changed here to the known content. It reports whether this instance has to
// save that: what it has confirmed, cleared or saved before, and as the keeper everything.
func (a *archiver) update(keeper bool, now time.Time) bool {
	changed := false
	found, cleared := a.q.archivable(keeper, now)
	for _, c := range cleared {
		if len(a.cleared) < maxArchived {
			a.cleared[c.fp] = a.cleared[c.fp] || c.own
		}
	}
	for fp, own := range a.cleared {
		if e := a.records[fp]; e != nil && found[fp] == nil && (own || e.own || keeper) {
			delete(a.records, fp)
			changed = true
		}
	}
	for fp, e := range found {
		delete(a.cleared, fp)
		if have := a.records[fp]; have == nil || e.heldUntil.Sub(have.heldUntil) >= archiveInterval {
			a.records[fp], changed = e, true
		}
	}
	maps.DeleteFunc(a.records, func(_ Fingerprint, e *archivedEntry) bool { return !e.keptUntil.After(now) })
	return changed
}

// save writes the known content.
func (a *archiver) save(ctx context.Context) error {
	now := time.Now()
	asOf := a.clock + now.Sub(a.readAt)
	data, count := a.encode(asOf, now)
	saved, err := a.opts.Archive.Save(ctx, a.version, data)
	var conflict *ArchiveConflict
	if errors.As(err, &conflict) {
		// Another instance has saved something else, which is merged and saved again.
		a.take(conflict.Current, time.Now())
		a.q.restore(a.records, time.Now())
		if !a.update(true, time.Now()) {
			return nil
		}
		return err
	}
	if err != nil {
		return err
	}
	a.version, a.clock, a.readAt = saved.Version, saved.Now, time.Now()
	clear(a.cleared)
	a.opts.Logger.Info("quarantine_archived", "records", count, "bytes", len(data), "version", saved.Version)
	return nil
}

// encode returns the data of the known content and the number of its records, as many as have room.
func (a *archiver) encode(asOf time.Duration, now time.Time) (data []byte, count int) {
	entries := slices.Collect(maps.Values(a.records))
	slices.SortFunc(entries, func(x, y *archivedEntry) int {
		return cmp.Or(y.heldUntil.Compare(x.heldUntil), slices.Compare(x.msg.GetFingerprint(), y.msg.GetFingerprint()))
	})
	entries = entries[:min(len(entries), maxArchived)]
	for {
		content := archiveContent{AsOfMS: asOf.Milliseconds(), Records: []archivedRecord{}}
		for _, e := range entries {
			record, err := proto.Marshal(aged(e.msg, now.Sub(e.asOf)))
			if err != nil {
				continue
			}
			content.Records = append(content.Records, archivedRecord{
				Record: record, HeldForMS: e.heldUntil.Sub(now).Milliseconds(), KeptForMS: e.keptUntil.Sub(now).Milliseconds(),
			})
		}
		data, _ = json.Marshal(content)
		if len(data) <= maxArchiveBytes || len(entries) == 0 {
			return data, len(entries)
		}
		entries = entries[:len(entries)*3/4]
	}
}

// aged returns a record whose ages count from a later time.
func aged(msg *peerpb.Poison, by time.Duration) *peerpb.Poison {
	older := proto.CloneOf(msg)
	for _, l := range older.GetLosses() {
		l.AgeMs += millis(by)
	}
	return older
}

// clearedRequest is a confirmed request that was cleared, by a response of this instance or of a peer.
type clearedRequest struct {
	fp  Fingerprint
	own bool
}

// archivable returns the confirmed requests that this instance has to save, those that it has confirmed
// itself or all, and the requests that were cleared since the last call.
func (q *Quarantine) archivable(all bool, now time.Time) (map[Fingerprint]*archivedEntry, []clearedRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	cleared := q.cleared
	q.cleared = nil
	found := make(map[Fingerprint]*archivedEntry)
	for fp, r := range q.ledger.records {
		if r.period == 0 || !all && !r.ownConfirmed || q.ledger.standing(fp, r, now) != confirmed {
			continue
		}
		msg := q.ledger.encode(fp, now)
		// A trial, and a response of this process, say nothing to a later one.
		msg.Trial, msg.TrialMs, msg.TrialAgeMs, msg.AnswerAgeMs = 0, 0, 0, 0
		found[fp] = &archivedEntry{
			msg: msg, asOf: now, own: true, heldUntil: r.heldUntil, keptUntil: r.heldUntil.Add(recordRetention + r.period),
		}
	}
	return found, cleared
}

// archiveSoon wakes the archiver.
func (q *Quarantine) archiveSoon() {
	select {
	case q.archiveDue <- struct{}{}:
	default:
	}
}

// restore adds records of the archive that this instance does not have. It ignores losses before a
// response that this process has seen.
func (q *Quarantine) restore(records map[Fingerprint]*archivedEntry, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for fp, e := range records {
		if q.ledger.restore(fp, aged(e.msg, now.Sub(e.asOf)), e.heldUntil, now) {
			q.logRecordLocked("quarantine_record_restored", fp, now, "held_for", e.heldUntil.Sub(now))
		}
	}
	q.notifyLocked()
}

// restore adds a record of the archive, which may be older than those that peers send. It reports
// whether it did.
func (g *ledger) restore(fp Fingerprint, msg *peerpb.Poison, heldUntil, now time.Time) bool {
	if r := g.records[fp]; r != nil && r.period > 0 {
		return false
	}
	losses := msg.GetLosses()
	for _, wire := range losses[:min(len(losses), maxLosses)] {
		g.addLoss(fp, decodeLossWithin(wire, now, 2*maxPeriod), now)
	}
	r := g.records[fp]
	if r == nil || g.standing(fp, r, now) != confirmed {
		return false
	}
	r.period, r.periodTurn = max(r.period, cappedDuration(msg.GetPeriodMs(), maxPeriod)), r.turns()
	r.heldUntil = heldUntil
	return true
}
