package quarantine

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	// more, no request is held back before it is confirmed.
	Losses int
	// ShareEvery is the interval at which all confirmed requests are sent to
	// all peers, for a messenger that has no sessions and may lose messages;
	// 0 disables this.
	ShareEvery time.Duration
	// Logger receives events; nil discards them.
	Logger *slog.Logger
}

// Quarantine holds back requests that crash backend servers. It is safe for
// concurrent use.
type Quarantine struct {
	opts   Options
	events <-chan peer.Event
	// recordCount is the number of records. It saves the exclusive lock in the
	// usual case of none.
	recordCount atomic.Int64

	mu     sync.RWMutex
	ledger *ledger
}

// New returns an empty quarantine and registers its message handler.
func New(opts Options) *Quarantine {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Losses == 0 {
		opts.Losses = defaultLosses
	}
	q := &Quarantine{opts: opts, events: opts.Messenger.Subscribe(eventBufferSize), ledger: newLedger(opts.Losses)}
	opts.Messenger.Handle(peerpb.Kind_KIND_POISON, q.handlePoison)
	return q
}

// Run sends the records to peers with a new session, and the confirmed ones to
// all peers if [Options.ShareEvery] is set, and removes expired records. It
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
			if q.recordCount.Load() == 0 {
				continue
			}
			q.shareConfirmed()
		case <-ticker.C:
			q.sweep()
		case <-ctx.Done():
			return nil
		}
	}
}

// Check reports whether a request is refused and after how long the caller may
// retry. A request that is allowed because its hold expired is a trial: for the
// next 2 s all instances hold back further copies.
func (q *Quarantine) Check(fp [32]byte) (refused bool, retryAfter time.Duration) {
	if q.recordCount.Load() == 0 {
		return false, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	wait, trial := q.ledger.refusal(fp, time.Now())
	if trial {
		q.opts.Logger.Info("quarantine_trial", "fingerprint", shortHex(fp))
		q.shareRecordLocked(fp)
	}
	q.updateCountLocked()
	return wait > 0, wait
}

// ReportLoss records that the connection to a server broke while the request
// was in flight, before the response began, and sends the record to all peers.
func (q *Quarantine) ReportLoss(fp [32]byte, server string) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.ledger.addLoss(fp, loss{id: rand.Uint64(), server: server, at: now}, now)
	q.updateCountLocked()
	if r == nil {
		return
	}
	q.opts.Logger.Warn("server_lost", "fingerprint", shortHex(fp), "server", server, "losses", len(r.losses))
	q.shareRecordLocked(fp)
}

// ReportOK records that a server responded to the request. It clears the
// request here and at all peers.
func (q *Quarantine) ReportOK(fp [32]byte) {
	now := time.Now()
	// Recent responses are needed only to exempt requests with a single loss,
	// which are held back only with the default number of losses.
	if q.recordCount.Load() == 0 && (q.opts.Losses > defaultLosses || q.completedRecently(fp, now)) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.ledger.clear(fp, now) {
		return
	}
	q.updateCountLocked()
	q.opts.Logger.Info("quarantine_cleared", "fingerprint", shortHex(fp))
	q.broadcastLocked(&peerpb.Poison{Fingerprint: fp[:], Answered: true})
}

func (q *Quarantine) completedRecently(fp Fingerprint, now time.Time) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.ledger.completed.inCurrent(fp, now)
}

// AllowSecondAttempt reports whether a request that was just lost may be attempted
// on one other server.
func (q *Quarantine) AllowSecondAttempt(fp [32]byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.allowSecondAttempt(fp, time.Now())
}

func (q *Quarantine) updateCountLocked() { q.recordCount.Store(int64(len(q.ledger.records))) }

func (q *Quarantine) sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.sweep(time.Now())
	q.updateCountLocked()
}

// shareRecordLocked sends the record of a request to all peers.
func (q *Quarantine) shareRecordLocked(fp Fingerprint) {
	if r := q.ledger.records[fp]; r != nil {
		q.broadcastLocked(encode(fp, r, time.Now()))
	}
}

func (q *Quarantine) broadcastLocked(msg *peerpb.Poison) {
	for _, id := range q.opts.Messenger.Connected() {
		_ = q.opts.Messenger.Send(id, peerpb.Kind_KIND_POISON, msg)
	}
}

// shareWithPeer sends the records to one peer.
func (q *Quarantine) shareWithPeer(id string) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	now := time.Now()
	sent := 0
	for fp, r := range q.ledger.records {
		if sent == maxShared || q.opts.Messenger.Send(id, peerpb.Kind_KIND_POISON, encode(fp, r, now)) != nil {
			return
		}
		sent++
	}
}

// shareConfirmed sends the records of confirmed requests to all peers. It omits
// the many requests with fewer losses that a failing server leaves behind.
func (q *Quarantine) shareConfirmed() {
	q.mu.RLock()
	defer q.mu.RUnlock()
	sent := 0
	for fp, r := range q.ledger.records {
		if len(r.losses) < q.ledger.requiredLosses(r) {
			continue
		}
		if sent++; sent > maxShared {
			return
		}
		q.broadcastLocked(encode(fp, r, time.Now()))
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
// the peer received a response. If the peer's record is stale, it sends the
// peer a message that clears it.
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
		q.ledger.clear(fp, now)
	} else if q.ledger.merge(fp, msg, now) {
		_ = q.opts.Messenger.Send(from, peerpb.Kind_KIND_POISON, &peerpb.Poison{Fingerprint: fp[:], Answered: true})
	}
	q.updateCountLocked()
	return nil, nil
}

func shortHex(fp Fingerprint) string { return hex.EncodeToString(fp[:8]) }
