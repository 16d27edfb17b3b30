package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/table/tablepb"
)

// runOffers evaluates offers of peers until ctx is cancelled. A pending offer is
// evaluated again after offerRetryDelay; once it is overdue, only at the poll
// interval, so that an invalid offer does not load the store.
func (s *Sync) runOffers(ctx context.Context) {
	retry := time.NewTimer(offerRetryDelay)
	defer retry.Stop()
	for {
		select {
		case o := <-s.offers:
			s.evaluateOffer(ctx, o)
		case <-retry.C:
			s.mu.Lock()
			o, pending := s.state.bestOffer()
			overdue := s.state.overdue(time.Now())
			s.mu.Unlock()
			if pending {
				s.evaluateOffer(ctx, o)
			}
			if overdue {
				retry.Reset(jitter(s.opts.PollEvery))
			} else {
				retry.Reset(offerRetryDelay)
			}
		case <-ctx.Done():
			return
		}
	}
}

// offerDecision is the result of evaluating an offered version.
type offerDecision int

const (
	decisionWait offerDecision = iota
	decisionActivate
	decisionReject
)

// decideOffer decides on an offered version, given the result of reading the head
// and the number of peers at which the version is active.
func decideOffer(ref, head Ref, headErr error, holders int) offerDecision {
	switch {
	case headErr != nil:
		return decisionActivate
	case head == ref:
		return decisionActivate
	case head.Version == ref.Version:
		return decisionReject
	case head.Version > ref.Version:
		return decisionReject
	case holders >= minHolders:
		return decisionActivate
	}
	return decisionWait
}

func (s *Sync) evaluateOffer(ctx context.Context, o offer) {
	if o.ref.Version <= s.activeRef().Version {
		return
	}
	head, err := s.readHead(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil && head.Version > o.ref.Version {
		s.fetchVersion(ctx, head, "")
		return
	}
	switch decideOffer(o.ref, head, err, len(s.holders(o.ref))) {
	case decisionActivate:
		s.fetchVersion(ctx, o.ref, o.from)
	case decisionReject:
		s.log.Error("table_offer_refused", "peer", o.from, "version", o.ref.Version, "acceptance", o.ref.AcceptanceID)
		s.mu.Lock()
		s.state.reject(o.ref)
		s.mu.Unlock()
	}
}

// runGossip exchanges versions with peers until ctx is cancelled: with a peer when
// its session opens, and with a random peer at each poll interval.
func (s *Sync) runGossip(ctx context.Context) {
	s.exchangeAll(ctx, s.opts.Messenger.Connected())
	timer := time.NewTimer(jitter(s.opts.PollEvery))
	defer timer.Stop()
	for {
		select {
		case event := <-s.events:
			s.handleSessionEvents(ctx, event.InstanceID, event.Up)
		case <-timer.C:
			s.exchangeRandom(ctx)
			timer.Reset(jitter(s.opts.PollEvery))
		case <-ctx.Done():
			return
		}
	}
}

// handleSessionEvents handles one session event and all events queued after it.
func (s *Sync) handleSessionEvents(ctx context.Context, id string, up bool) {
	var opened []string
	for {
		if up {
			opened = append(opened, id)
		} else {
			s.mu.Lock()
			s.state.removePeer(id)
			s.mu.Unlock()
		}
		select {
		case event := <-s.events:
			id, up = event.InstanceID, event.Up
			continue
		default:
		}
		break
	}
	s.exchangeAll(ctx, opened)
}

func (s *Sync) exchangeRandom(ctx context.Context) {
	connected := s.opts.Messenger.Connected()
	s.mu.Lock()
	s.state.retainPeers(connected)
	s.mu.Unlock()
	if len(connected) > 0 {
		s.exchange(ctx, connected[rand.IntN(len(connected))])
	}
}

// exchangeConcurrency is the maximum number of concurrent calls in exchangeAll.
const exchangeConcurrency = 16

func (s *Sync) exchangeAll(ctx context.Context, ids []string) {
	queue := make(chan string)
	var wg sync.WaitGroup
	for range min(exchangeConcurrency, len(ids)) {
		wg.Go(func() {
			for id := range queue {
				s.exchange(ctx, id)
			}
		})
	}
	for _, id := range ids {
		queue <- id
	}
	close(queue)
	wg.Wait()
	if len(ids) > 0 {
		s.mu.Lock()
		s.state.initialExchangeDone = true
		s.mu.Unlock()
	}
}

// exchange sends the active version to a peer and records the peer's.
func (s *Sync) exchange(ctx context.Context, id string) {
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply tablepb.Offer
	err := s.opts.Messenger.Call(bounded, id, peerpb.Kind_KIND_TABLE_OFFER, s.activeOffer(), &reply)
	if err != nil {
		s.log.Debug("table_ask_failed", "peer", id, "error", err)
		return
	}
	s.receiveOffer(offer{from: id, ref: refFromProto(reply.GetRef())})
}
