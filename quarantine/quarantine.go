package quarantine

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
)

const (
	// sweepInterval is how often expired records are removed.
	sweepInterval = 10 * time.Second
	// eventBufferSize is the number of buffered session events.
	eventBufferSize = 64
	// maxShared bounds the records sent to a peer on a new session and to all
	// peers at each share interval.
	maxShared = 512
	// maxWaiting bounds the requests that wait for the outcome of a trial.
	maxWaiting = 1024
	// maxWaitShare is the part of its time for which a request waits for the outcome of a
	// trial.
	maxWaitShare = 0.5
)

// defaultLosses is the default of [Options.Losses]. Two servers may fail
// independently one after the other, but rarely while they run the same request.
const defaultLosses = 2

// Messenger sends messages to other instances. [peer.Messenger] is one.
type Messenger interface {
	Connected() []string
	Send(to string, kind peerpb.Kind, msg proto.Message) error
	Handle(kind peerpb.Kind, h peer.Handler)
	Subscribe(size int) <-chan peer.Event
}

// Options configure a [Quarantine]. Messenger is required.
type Options struct {
	// Messenger sends reports of losses and responses to peers.
	Messenger Messenger
	// Losses is the number of losses that confirm a crashing request; 0
	// selects 2. With 2, a single loss holds the request back for 2 s; with
	// more, no request is held back before it has as many losses.
	Losses int
	// ShareEvery is the interval at which the records of all requests that are held back are
	// sent to all peers, for a messenger that has no sessions and may lose messages;
	// 0 disables this.
	ShareEvery time.Duration
	// Forwards reports whether this instance passes messages on, because its peers don't
	// reach all others; nil if each reaches all.
	Forwards func() bool
	// Instances returns the number of instances of the fleet; nil selects this one and
	// those that are connected.
	Instances func() int
	// Rand returns random numbers in [0, 1); nil selects a source that is seeded at random.
	Rand func() float64
	// Logger receives events; nil discards them.
	Logger *slog.Logger
}

// Loss is an attempt without a whole response that was open at a server when that went down. It
// may have been cut off in the head or in the body, silent until its deadline, or cancelled.
type Loss struct {
	// Server is the ID of the server. Started tells its processes apart, 0 if that is not
	// known.
	Server  string
	Started int64
	// Sent is when the request was sent, At when the server went down, at the latest. Losses
	// are reported later if the server is checked first.
	Sent, At time.Time
	// Ended is when the attempt ended, which is later than At if the server fell silent; zero
	// if it ended at At.
	Ended time.Time
}

// Verdict is the decision about a request.
type Verdict struct {
	// Refused reports whether the request must not run. The caller may retry after
	// RetryAfter.
	Refused    bool
	RetryAfter time.Duration
	// Confirmed reports whether the request is refused because it crashes servers. It may
	// otherwise be harmless, and be served once more is known.
	Confirmed bool
	// Trial is not 0 if the request runs although its content is suspected, and others wait
	// for the outcome. [Quarantine.EndTrial] must be called if it has none.
	Trial uint64
}

// Quarantine holds back requests that crash backend servers. It is safe for
// concurrent use.
type Quarantine struct {
	opts   Options
	events <-chan peer.Event

	// mu guards what follows, except for the answers and the index of the ledger, which are
	// used without a lock for each request.
	mu     sync.Mutex
	ledger *ledger
	// waiting is the number of requests that wait for a change of a record, changed is
	// closed at the next one.
	waiting int
	changed chan struct{}
	// cleared holds the confirmed requests that were cleared since they were last archived;
	// archiveDue wakes the archiver.
	cleared    []clearedRequest
	archiveDue chan struct{}
}

// New returns an empty quarantine and registers its message handler.
func New(opts Options) *Quarantine {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Losses == 0 {
		opts.Losses = defaultLosses
	}
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	if opts.Instances == nil {
		opts.Instances = func() int { return len(opts.Messenger.Connected()) + 1 }
	}
	q := &Quarantine{
		opts: opts, events: opts.Messenger.Subscribe(eventBufferSize),
		ledger: newLedger(opts.Losses, time.Now()), changed: make(chan struct{}),
		archiveDue: make(chan struct{}, 1),
	}
	opts.Messenger.Handle(peerpb.Kind_KIND_POISON, q.handlePoison)
	return q
}

// Run sends the records to peers with a new session, and those of requests that are held back
// to all peers if [Options.ShareEvery] is set, and removes expired records. It
// returns nil when ctx is done.
func (q *Quarantine) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var share <-chan time.Time
	if q.opts.ShareEvery > 0 {
		shares := time.NewTicker(q.opts.ShareEvery)
		defer shares.Stop()
		share = shares.C
	}
	for {
		select {
		case event := <-q.events:
			if event.Up {
				q.shareWithPeer(event.InstanceID)
			}
		case <-share:
			q.shareHeldBack()
		case <-ticker.C:
			q.sweep()
		case <-ctx.Done():
			return nil
		}
	}
}

// Check decides whether a request runs. For a request whose content is not suspected, it
// takes no lock. One that is suspected runs as a trial, or waits for the outcome of another's,
// for at most half of the time until its deadline and until ctx is done.
func (q *Quarantine) Check(ctx context.Context, fp [32]byte, deadline time.Time) Verdict {
	if !q.ledger.index.mayContain(fp) {
		return Verdict{}
	}
	arrived := time.Now()
	giveUp := arrived.Add(time.Duration(maxWaitShare * float64(deadline.Sub(arrived))))
	// claimed is the ID under which the request claims the next trial.
	var claimed uint64
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		now := time.Now()
		d := q.ledger.decide(fp, now)
		if d.standing == unsuspected {
			return Verdict{}
		}
		refused := Verdict{Refused: true, Confirmed: d.standing == confirmed, RetryAfter: max(claimTime, d.until.Sub(now))}
		next := d.until
		switch {
		case d.until.IsZero() && !now.Before(giveUp):
			return refused
		case d.until.IsZero():
			next = q.nextTrialLocked(fp, arrived, giveUp.Sub(arrived))
			if !now.Before(next) {
				claimed = q.claimTrialLocked(fp, d.standing, deadline, now)
				next = q.claimedUntil(now, giveUp)
			}
		case claimed != 0 && q.ledger.records[fp].trial.id == claimed:
			// No other claim has taken precedence.
			next = q.claimedUntil(q.ledger.records[fp].trial.began, giveUp)
			if !now.Before(next) {
				return Verdict{Trial: claimed}
			}
		case !d.trial, d.standing == confirmed, q.ledger.holdsAfterFirst():
			return refused
		}
		if !now.Before(giveUp) || q.waiting >= maxWaiting || ctx.Err() != nil {
			q.endTrialLocked(fp, claimed)
			return refused
		}
		q.awaitChangeLocked(ctx, earlier(next, giveUp).Sub(now))
	}
}

// awaitChangeLocked waits for a change of any record, the given time or the end of ctx.
func (q *Quarantine) awaitChangeLocked(ctx context.Context, longest time.Duration) {
	changed := q.changed
	q.waiting++
	q.mu.Unlock()
	timer := time.NewTimer(longest)
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	q.mu.Lock()
	q.waiting--
}

// notifyLocked wakes the requests that wait for a change.
func (q *Quarantine) notifyLocked() {
	if q.waiting > 0 {
		close(q.changed)
		q.changed = make(chan struct{})
	}
}

// HoldsBack reports whether the content of a request is suspected or confirmed by now, so that
// one that was let through earlier must not be sent any more.
func (q *Quarantine) HoldsBack(fp [32]byte) bool {
	if !q.ledger.index.mayContain(fp) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.decide(fp, time.Now()).standing != unsuspected
}

// ReportLoss records a loss and sends the record to all peers.
func (q *Quarantine) ReportLoss(fp [32]byte, lost Loss) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	l := loss{id: rand.Uint64(), server: process{lost.Server, lost.Started}, sent: lost.Sent, at: lost.At, own: true, knownAt: later(lost.At, lost.Ended)}
	r := q.ledger.addLoss(fp, l, now)
	if r == nil {
		if have := q.ledger.records[fp]; have != nil && q.ledger.ran(l) && !have.lostAt(l.server) && l.at.After(q.ledger.answers.last(fp)) {
			// The record has as many losses as are kept. Peers have to know that the
			// request was at the server, too.
			q.broadcastLocked(&peerpb.Poison{Fingerprint: fp[:], Losses: []*peerpb.ServerLoss{q.ledger.encodeLoss(fp, l, now)}})
		}
		q.opts.Logger.Info("server_lost_ignored", "fingerprint", shortHex(fp), "server", lost.Server, "started", lost.Started,
			"sent_ago", now.Sub(lost.Sent), "lost_ago", now.Sub(lost.At), "ended_ago", now.Sub(l.knownAt), "answered_ago", q.answeredAgo(fp, now))
		return
	}
	q.logRecordLocked("server_lost", fp, now, "server", lost.Server, "started", lost.Started, "sent_ago", now.Sub(lost.Sent), "lost_ago", now.Sub(lost.At), "ended_ago", now.Sub(l.knownAt))
	q.shareRecordLocked(fp)
	q.notifyLocked()
	if r.ownConfirmed {
		q.archiveSoon()
	}
}

// answeredAgo returns the time since the last response to a request; -1 if none is remembered.
func (q *Quarantine) answeredAgo(fp Fingerprint, now time.Time) time.Duration {
	last := q.ledger.answers.last(fp)
	if last.IsZero() {
		return -1
	}
	return now.Sub(last)
}

// logRecordLocked logs an event with what decides about the request from now on.
func (q *Quarantine) logRecordLocked(event string, fp Fingerprint, now time.Time, attrs ...any) {
	r := q.ledger.records[fp]
	if r == nil {
		return
	}
	explained := 0
	s := q.ledger.standing(fp, r, now)
	for _, l := range r.losses {
		if l.toldExplained || q.ledger.explained(fp, r, l) {
			explained++
		}
	}
	q.opts.Logger.Warn(event, append([]any{
		"fingerprint", shortHex(fp), "standing", s.String(), "losses", len(r.losses), "turns", r.turns(), "explained", explained,
		"last_loss_ago", now.Sub(r.lastLoss()), "answered_ago", q.answeredAgo(fp, now), "period", r.period,
	}, attrs...)...)
}

// ReportOK records that a server responded to the request, with a whole response. If the request has losses, it
// clears them here and at all peers; otherwise it takes no lock and sends nothing.
func (q *Quarantine) ReportOK(fp [32]byte) {
	now := time.Now()
	q.ledger.answers.add(fp, now, false)
	if !q.ledger.index.mayContain(fp) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answeredLocked(fp, now, now, false, func() { q.broadcastLocked(encodeAnswer(fp, now, now)) })
}

// answeredLocked records a response. If it clears losses, tell is called.
func (q *Quarantine) answeredLocked(fp Fingerprint, at, now time.Time, told bool, tell func()) {
	r := q.ledger.records[fp]
	wasConfirmed := r != nil && r.period > 0
	dropped := q.ledger.answered(fp, at, now, told)
	if dropped == 0 {
		return
	}
	q.opts.Logger.Info("quarantine_cleared", "fingerprint", shortHex(fp), "losses", dropped, "answered_ago", now.Sub(at))
	if wasConfirmed && len(q.cleared) < maxArchived {
		q.cleared = append(q.cleared, clearedRequest{fp, !told})
		q.archiveSoon()
	}
	tell()
	q.notifyLocked()
}

// AllowSecondAttempt reports whether a request that was just lost may be attempted
// on one other server.
func (q *Quarantine) AllowSecondAttempt(fp [32]byte) bool {
	if !q.ledger.index.mayContain(fp) {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.allowSecondAttempt(fp, time.Now())
}

func (q *Quarantine) sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.sweep(time.Now())
}

// shareRecordLocked sends the record of a request to all peers.
func (q *Quarantine) shareRecordLocked(fp Fingerprint) {
	if q.ledger.records[fp] != nil {
		q.broadcastLocked(q.ledger.encode(fp, time.Now()))
	}
}

func (q *Quarantine) broadcastLocked(msg *peerpb.Poison) {
	for _, id := range q.opts.Messenger.Connected() {
		_ = q.opts.Messenger.Send(id, peerpb.Kind_KIND_POISON, msg)
	}
}

// forwardLocked sends a message to all peers but the one that it came from, if this instance
// passes messages on.
func (q *Quarantine) forwardLocked(msg *peerpb.Poison, from string) {
	if q.opts.Forwards == nil || !q.opts.Forwards() {
		return
	}
	for _, id := range slices.DeleteFunc(slices.Clone(q.opts.Messenger.Connected()), func(id string) bool { return id == from }) {
		_ = q.opts.Messenger.Send(id, peerpb.Kind_KIND_POISON, msg)
	}
}

// shareWithPeer sends the records to one peer.
func (q *Quarantine) shareWithPeer(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	sent := 0
	for fp := range q.ledger.records {
		if sent == maxShared || q.opts.Messenger.Send(id, peerpb.Kind_KIND_POISON, q.ledger.encode(fp, now)) != nil {
			return
		}
		sent++
	}
}

// shareHeldBack sends the records of requests that are held back to all peers. It omits
// the many requests with fewer losses that a failing server leaves behind.
func (q *Quarantine) shareHeldBack() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, fp := range q.ledger.shared(now) {
		q.broadcastLocked(q.ledger.encode(fp, now))
	}
}

// MessageError reports a peer's message whose fingerprint has a wrong length.
type MessageError struct {
	// From is the ID of the peer.
	From string
	// Bytes is the length of the received fingerprint.
	Bytes int
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("quarantine: fingerprint of %d bytes from %s", e.Bytes, e.From)
}

// handlePoison merges a peer's record of a request, or clears the request if
// the peer received a response. If the peer's record is stale, it sends a message that clears
// it.
func (q *Quarantine) handlePoison(_ context.Context, from string, payload []byte) (proto.Message, error) {
	msg := &peerpb.Poison{}
	if err := proto.Unmarshal(payload, msg); err != nil {
		return nil, err
	}
	var fp Fingerprint
	if copy(fp[:], msg.GetFingerprint()) != len(fp) || len(msg.GetFingerprint()) != len(fp) {
		return nil, &MessageError{From: from, Bytes: len(msg.GetFingerprint())}
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if msg.GetAnswered() {
		at := now.Add(-cappedDuration(msg.GetAnswerAgeMs(), recordRetention))
		q.answeredLocked(fp, at, now, true, func() { q.forwardLocked(encodeAnswer(fp, at, now), from) })
		return nil, nil
	}
	q.mergeLocked(fp, msg, from, now)
	return nil, nil
}

func (q *Quarantine) mergeLocked(fp Fingerprint, msg *peerpb.Poison, from string, now time.Time) {
	m := q.ledger.merge(fp, msg, now)
	if !m.answeredAt.IsZero() {
		answer := encodeAnswer(fp, m.answeredAt, now)
		if len(msg.GetLosses()) < q.opts.Losses {
			_ = q.opts.Messenger.Send(from, peerpb.Kind_KIND_POISON, answer)
			return
		}
		// All others hold the request back by now.
		q.opts.Logger.Info("quarantine_contradicted", "fingerprint", shortHex(fp), "from", from, "losses", len(msg.GetLosses()), "answered_ago", now.Sub(m.answeredAt))
		q.broadcastLocked(answer)
		return
	}
	if m.trialIgnored {
		_ = q.opts.Messenger.Send(from, peerpb.Kind_KIND_POISON, q.ledger.encode(fp, now))
	}
	if !m.changed {
		return
	}
	q.logRecordLocked("quarantine_merged", fp, now, "from", from)
	if q.ledger.worthSharing(fp, now) {
		q.forwardLocked(q.ledger.encode(fp, now), from)
	}
	q.notifyLocked()
}

func shortHex(fp Fingerprint) string { return hex.EncodeToString(fp[:8]) }
