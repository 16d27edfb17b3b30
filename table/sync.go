package table

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/table/tablepb"
)

const (
	// DefaultPollEvery is the mean pause between two reads of the store.
	DefaultPollEvery = 5 * time.Second

	// storeTimeout bounds one read of the store, and peerTimeout one call
	// to a peer.
	storeTimeout = time.Second
	peerTimeout  = time.Second
	// retryPause is the pause before an offer is examined again.
	retryPause = 500 * time.Millisecond
	// firstAnswerWait is how long a new instance waits for a first answer
	// of a peer before the store alone counts.
	firstAnswerWait = 5 * time.Second
	// adoptWait is how long a known version may stay out of force before
	// the instance is unready.
	adoptWait = 10 * time.Second
	// silenceLimit is how long an instance stays ready without an answer
	// from the store or a peer; at least silentPolls pauses between polls.
	silenceLimit = 30 * time.Second
	silentPolls  = 3

	offerBuffer = 256
	eventBuffer = 256
	// witnessesNeeded is the number of peers that must hold a version that
	// a readable store doesn't show.
	witnessesNeeded = 2
)

// SyncOptions configures a [Sync].
type SyncOptions struct {
	Store     *Store
	Messenger peer.Messenger
	View      membership.View
	// Current receives the accepted versions. Nothing else may swap it.
	Current *Current
	// PollEvery is the mean pause between two reads of the store;
	// [DefaultPollEvery] if zero.
	PollEvery time.Duration
	// Logger receives one event a line; nil discards them.
	Logger *slog.Logger
}

// Sync keeps the highest accepted version in force at one instance. It hears of
// versions from peers at once and reads the store periodically.
//
// A version that a peer offers is put in force if the store confirms it or
// cannot be read. If the store answers with an older version, its read is stale
// or the offered version was never accepted; the offer then waits until the
// store confirms it or a second peer holds the same version.
type Sync struct {
	opts   SyncOptions
	log    *slog.Logger
	offers chan offer
	events <-chan peer.Event

	mu    sync.Mutex
	state syncState
}

// offer is a version that a peer holds.
type offer struct {
	from string
	ref  Ref
}

// NewSync returns a Sync and registers its handlers with the messenger.
func NewSync(opts SyncOptions) *Sync {
	if opts.PollEvery <= 0 {
		opts.PollEvery = DefaultPollEvery
	}
	s := &Sync{
		opts:   opts,
		log:    opts.Logger,
		offers: make(chan offer, offerBuffer),
		events: opts.Messenger.Subscribe(eventBuffer),
		state:  newSyncState(max(silenceLimit, silentPolls*opts.PollEvery)),
	}
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	opts.Messenger.Handle(peerpb.Kind_KIND_TABLE_OFFER, s.handleOffer)
	opts.Messenger.Handle(peerpb.Kind_KIND_TABLE_FETCH, s.handleFetch)
	return s
}

// Run keeps the table in force until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	s.mu.Lock()
	s.state.started = time.Now()
	s.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { s.runStore(ctx) })
	wg.Go(func() { s.runOffers(ctx) })
	wg.Go(func() { s.runGossip(ctx) })
	wg.Wait()
}

// Accept accepts a table through the store, puts it in force here and offers it
// to all peers. See [Store.AcceptAs] for its errors.
func (s *Sync) Accept(ctx context.Context, doc Document, by Acceptance) (Accepted, error) {
	accepted, err := s.opts.Store.AcceptAs(ctx, doc, by)
	if err == nil {
		s.adopt(accepted, "operator")
	}
	return accepted, err
}

// Ready returns nil if the instance has the present version in force, as far as
// the store and the peers tell, and [NotReadyError] otherwise.
func (s *Sync) Ready() error {
	alone := s.alone()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ready(time.Now(), alone)
}

// alone reports whether no other entry instance is believed live.
func (s *Sync) alone() bool {
	self := s.opts.Messenger.Self()
	for _, instance := range s.opts.View.Entries() {
		if instance.ID != self {
			return false
		}
	}
	return true
}

// runStore is the duty that reads the store.
func (s *Sync) runStore(ctx context.Context) {
	for ctx.Err() == nil {
		s.readStore(ctx)
		timer := time.NewTimer(jitter(s.opts.PollEvery))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// jitter spreads a pause by a quarter in both directions.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

func (s *Sync) readStore(ctx context.Context) {
	ref, err := s.head(ctx)
	if err != nil || ref.Version <= s.held().Version {
		return
	}
	s.obtain(ctx, ref, "")
}

// head reads the head and notes whether the store answered.
func (s *Sync) head(ctx context.Context) (Ref, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ref, err := s.opts.Store.Head(bounded)
	if ctx.Err() != nil {
		return ref, ctx.Err()
	}
	s.mu.Lock()
	changed := s.state.noteStore(time.Now(), ref, err)
	s.mu.Unlock()
	if changed && err != nil {
		s.log.Warn("table_store_unreadable", "error", err)
	}
	if changed && err == nil {
		s.log.Info("table_store_readable", "version", ref.Version)
	}
	return ref, err
}

// obtain fetches a confirmed version from the store or from peers and puts it
// in force. The peer first, if any, is asked before the store.
func (s *Sync) obtain(ctx context.Context, ref Ref, first string) {
	if first != "" && s.fetch(ctx, ref, first) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	accepted, err := s.opts.Store.Read(bounded, ref)
	cancel()
	if err == nil {
		s.adopt(accepted, "store")
		return
	}
	s.log.Debug("table_read_failed", "version", ref.Version, "error", err)
	for _, id := range s.holders(ref) {
		if s.fetch(ctx, ref, id) {
			return
		}
	}
}

func (s *Sync) holders(ref Ref) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.holders(ref)
}

// fetch takes the version from a peer and reports whether it is in force.
func (s *Sync) fetch(ctx context.Context, ref Ref, from string) bool {
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply tablepb.FetchReply
	err := s.opts.Messenger.Call(bounded, from, peerpb.Kind_KIND_TABLE_FETCH, &tablepb.Fetch{Ref: ref.message()}, &reply)
	if err != nil {
		s.log.Debug("table_fetch_failed", "peer", from, "version", ref.Version, "error", err)
		return false
	}
	accepted, err := unpack(ref, reply.GetPacked())
	if err == nil {
		err = s.checkChain(accepted)
	}
	if err != nil {
		s.log.Error("table_refused", "peer", from, "version", ref.Version, "error", err)
		return false
	}
	s.adopt(accepted, from)
	return true
}

// checkChain refuses a successor of the held version that names another one as
// its predecessor.
func (s *Sync) checkChain(next Accepted) error {
	held := s.held()
	if held.Version > 0 && next.Ref.Version == held.Version+1 && next.Document.PreviousSum != held.Sum {
		return &CorruptError{Version: next.Ref.Version, Reason: "follows another version than the one in force"}
	}
	return nil
}

func (s *Sync) held() Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.held.Ref
}

// adopt puts a version in force if it is higher than the present one and
// offers it to all peers.
func (s *Sync) adopt(accepted Accepted, source string) {
	s.mu.Lock()
	adopted := accepted.Ref.Version > s.state.held.Ref.Version
	if adopted {
		s.state.held = accepted
		s.opts.Current.Swap(Compile(accepted.Document))
	}
	s.mu.Unlock()
	if !adopted {
		return
	}
	s.log.Info("table_in_force", "version", accepted.Ref.Version, "source", source)
	for _, id := range s.opts.Messenger.Connected() {
		// A lost offer is repaired by polling.
		_ = s.opts.Messenger.Send(id, peerpb.Kind_KIND_TABLE_OFFER, s.ownOffer())
	}
}

func (s *Sync) ownOffer() *tablepb.Offer {
	return &tablepb.Offer{Ref: s.held().message()}
}

func (r Ref) message() *tablepb.Ref {
	return &tablepb.Ref{Version: r.Version, AcceptanceId: r.AcceptanceID, Sum: r.Sum}
}

func refOf(m *tablepb.Ref) Ref {
	return Ref{Version: m.GetVersion(), AcceptanceID: m.GetAcceptanceId(), Sum: m.GetSum()}
}

func (s *Sync) handleOffer(_ context.Context, from string, payload []byte) (proto.Message, error) {
	var m tablepb.Offer
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("table: decode offer: %w", err)
	}
	s.hear(offer{from: from, ref: refOf(m.GetRef())})
	return s.ownOffer(), nil
}

// hear notes what a peer holds and wakes the duty that examines offers.
func (s *Sync) hear(o offer) {
	s.mu.Lock()
	s.state.notePeer(time.Now(), o)
	s.mu.Unlock()
	select {
	case s.offers <- o:
	default:
	}
}

// NotHeldError reports a version that an instance was asked for but does not
// hold.
type NotHeldError struct {
	Version uint64
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("table: version %d is not held", e.Version)
}

func (s *Sync) handleFetch(_ context.Context, _ string, payload []byte) (proto.Message, error) {
	var m tablepb.Fetch
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("table: decode fetch: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ref := refOf(m.GetRef()); ref != s.state.held.Ref || ref.Version == 0 {
		return nil, &NotHeldError{Version: ref.Version}
	}
	return &tablepb.FetchReply{Packed: s.state.held.Packed}, nil
}
