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
	// DefaultPollEvery is the mean interval between two reads of the store.
	DefaultPollEvery = 5 * time.Second

	// storeTimeout applies to one read of the store, peerTimeout to one call to
	// a peer.
	storeTimeout = time.Second
	peerTimeout  = time.Second
	// offerRetryDelay is the delay before a pending offer is evaluated again.
	offerRetryDelay = 500 * time.Millisecond
	// initialPeerTimeout is how long a new instance waits for the first response
	// from a peer before a read of the store is sufficient for readiness.
	initialPeerTimeout = 5 * time.Second
	// maxActivationDelay is how long a known higher version may stay inactive
	// before a running instance reports that it is not ready.
	maxActivationDelay = 10 * time.Second
	// An instance stays ready without a response from the store or a peer for
	// minContactTimeout or minContactPolls poll intervals, whichever is longer.
	minContactTimeout = 30 * time.Second
	minContactPolls   = 3

	offerBuffer = 256
	eventBuffer = 256
	// minHolders is the number of peers that must have a version active before it
	// is activated although the store returns an older one.
	minHolders = 2
)

// SyncOptions configures a [Sync].
type SyncOptions struct {
	Store     *Store
	Messenger peer.Messenger
	View      membership.View
	// Current receives the accepted versions. No other code may call its Swap.
	Current *Current
	// PollEvery is the mean interval between two reads of the store;
	// [DefaultPollEvery] if zero.
	PollEvery time.Duration
	// Logger receives the events; nil discards them.
	Logger *slog.Logger
}

// Sync keeps the highest accepted version active at one instance. Peers announce
// new versions immediately, and the store is polled.
//
// A version offered by a peer is activated if the store confirms it or cannot be
// read. If the store returns an older version, either the read is stale or the
// offered version was never accepted; the offer then stays pending until the
// store confirms it or a second peer has the same version active.
type Sync struct {
	opts   SyncOptions
	log    *slog.Logger
	offers chan offer
	events <-chan peer.Event

	mu    sync.Mutex
	state syncState
}

// offer is the version that is active at a peer.
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
		state:  newSyncState(max(minContactTimeout, minContactPolls*opts.PollEvery)),
	}
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	opts.Messenger.Handle(peerpb.Kind_KIND_TABLE_OFFER, s.handleOffer)
	opts.Messenger.Handle(peerpb.Kind_KIND_TABLE_FETCH, s.handleFetch)
	return s
}

// Run keeps the table up to date until ctx is cancelled.
func (s *Sync) Run(ctx context.Context) {
	s.mu.Lock()
	s.state.started = time.Now()
	s.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { s.pollStore(ctx) })
	wg.Go(func() { s.runOffers(ctx) })
	wg.Go(func() { s.runGossip(ctx) })
	wg.Wait()
}

// Accept accepts a table in the store, activates it at this instance and offers
// it to all connected peers. See [Store.AcceptAs] for its errors.
func (s *Sync) Accept(ctx context.Context, doc Document, by Acceptance) (Accepted, error) {
	accepted, err := s.opts.Store.AcceptAs(ctx, doc, by)
	if err == nil {
		s.activate(accepted, "operator")
	}
	return accepted, err
}

// Ready returns nil if, as far as the store and the peers report, the latest
// version is active at this instance. It returns [NotReadyError] otherwise.
func (s *Sync) Ready() error {
	onlyInstance := s.isOnlyInstance()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ready(time.Now(), onlyInstance)
}

// isOnlyInstance reports whether the membership view lists no other entry instance.
func (s *Sync) isOnlyInstance() bool {
	self := s.opts.Messenger.Self()
	for _, instance := range s.opts.View.Entries() {
		if instance.ID != self {
			return false
		}
	}
	return true
}

// pollStore reads the store periodically until ctx is cancelled.
func (s *Sync) pollStore(ctx context.Context) {
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

// jitter returns a random duration between 75% and 125% of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

func (s *Sync) readStore(ctx context.Context) {
	ref, err := s.readHead(ctx)
	if err != nil || ref.Version <= s.activeRef().Version {
		return
	}
	s.fetchVersion(ctx, ref, "")
}

// readHead reads the head of the store and records the result.
func (s *Sync) readHead(ctx context.Context) (Ref, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ref, err := s.opts.Store.Head(bounded)
	if ctx.Err() != nil {
		return ref, ctx.Err()
	}
	s.mu.Lock()
	changed := s.state.recordStoreRead(time.Now(), ref, err)
	s.mu.Unlock()
	if changed && err != nil {
		s.log.Warn("table_store_unreadable", "error", err)
	}
	if changed && err == nil {
		s.log.Info("table_store_readable", "version", ref.Version)
	}
	return ref, err
}

// fetchVersion fetches a version from the store, or else from peers, and activates
// it. If firstPeer is not empty, that peer is tried before the store.
func (s *Sync) fetchVersion(ctx context.Context, ref Ref, firstPeer string) {
	if firstPeer != "" && s.fetchFromPeer(ctx, ref, firstPeer) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	accepted, err := s.opts.Store.Read(bounded, ref)
	cancel()
	if err == nil {
		s.activate(accepted, "store")
		return
	}
	s.log.Debug("table_read_failed", "version", ref.Version, "error", err)
	for _, id := range s.holders(ref) {
		if s.fetchFromPeer(ctx, ref, id) {
			return
		}
	}
}

func (s *Sync) holders(ref Ref) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.holders(ref)
}

// fetchFromPeer fetches a version from a peer and activates it. It reports whether
// the fetch succeeded.
func (s *Sync) fetchFromPeer(ctx context.Context, ref Ref, from string) bool {
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply tablepb.FetchReply
	err := s.opts.Messenger.Call(bounded, from, peerpb.Kind_KIND_TABLE_FETCH, &tablepb.Fetch{Ref: ref.toProto()}, &reply)
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
	s.activate(accepted, from)
	return true
}

// checkChain rejects the version that follows the active one if its previous
// checksum does not match.
func (s *Sync) checkChain(next Accepted) error {
	active := s.activeRef()
	if active.Version > 0 && next.Ref.Version == active.Version+1 && next.Document.PreviousSum != active.Sum {
		return &CorruptError{Version: next.Ref.Version, Reason: "previous checksum does not match the active version"}
	}
	return nil
}

func (s *Sync) activeRef() Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.active.Ref
}

// activate makes a version active if it is higher than the active one and offers
// it to all connected peers.
func (s *Sync) activate(accepted Accepted, source string) {
	s.mu.Lock()
	activated := accepted.Ref.Version > s.state.active.Ref.Version
	if activated {
		s.state.active = accepted
		s.opts.Current.Swap(Compile(accepted.Document))
	}
	s.mu.Unlock()
	if !activated {
		return
	}
	s.log.Info("table_in_force", "version", accepted.Ref.Version, "source", source)
	for _, id := range s.opts.Messenger.Connected() {
		// Polling compensates for a lost offer.
		_ = s.opts.Messenger.Send(id, peerpb.Kind_KIND_TABLE_OFFER, s.activeOffer())
	}
}

func (s *Sync) activeOffer() *tablepb.Offer {
	return &tablepb.Offer{Ref: s.activeRef().toProto()}
}

func (r Ref) toProto() *tablepb.Ref {
	return &tablepb.Ref{Version: r.Version, AcceptanceId: r.AcceptanceID, Sum: r.Sum}
}

func refFromProto(m *tablepb.Ref) Ref {
	return Ref{Version: m.GetVersion(), AcceptanceID: m.GetAcceptanceId(), Sum: m.GetSum()}
}

func (s *Sync) handleOffer(_ context.Context, from string, payload []byte) (proto.Message, error) {
	var m tablepb.Offer
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("table: decode offer: %w", err)
	}
	s.receiveOffer(offer{from: from, ref: refFromProto(m.GetRef())})
	return s.activeOffer(), nil
}

// receiveOffer records the version of a peer and queues the offer for evaluation. If
// the queue is full, runOffers evaluates the recorded version later.
func (s *Sync) receiveOffer(o offer) {
	s.mu.Lock()
	s.state.recordPeerOffer(time.Now(), o)
	s.mu.Unlock()
	select {
	case s.offers <- o:
	default:
	}
}

// NotActiveError reports a fetch of a version that is not the active one at the
// instance.
type NotActiveError struct {
	Version uint64
}

func (e *NotActiveError) Error() string {
	return fmt.Sprintf("table: version %d is not held", e.Version)
}

func (s *Sync) handleFetch(_ context.Context, _ string, payload []byte) (proto.Message, error) {
	var m tablepb.Fetch
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("table: decode fetch: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ref := refFromProto(m.GetRef()); ref != s.state.active.Ref || ref.Version == 0 {
		return nil, &NotActiveError{Version: ref.Version}
	}
	return &tablepb.FetchReply{Packed: s.state.active.Packed}, nil
}
