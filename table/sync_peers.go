package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/table/tablepb"
)

// runOffers is the duty that examines what peers offer. An offer that cannot be
// settled yet is examined again after a pause, and less often after a while, so
// that a wrong one does not load the store.
func (s *Sync) runOffers(ctx context.Context) {
	retry := time.NewTimer(retryPause)
	defer retry.Stop()
	for {
		select {
		case o := <-s.offers:
			s.examine(ctx, o)
		case <-retry.C:
			s.mu.Lock()
			o, open := s.state.bestOffer()
			late := s.state.late(time.Now())
			s.mu.Unlock()
			if open {
				s.examine(ctx, o)
			}
			if late {
				retry.Reset(jitter(s.opts.PollEvery))
			} else {
				retry.Reset(retryPause)
			}
		case <-ctx.Done():
			return
		}
	}
}

// verdict tells what to do with an offered version.
type verdict int

const (
	verdictWait verdict = iota
	verdictTake
	verdictRefuse
)

// judge decides on an offered version by the head that the store answers with
// and the number of peers that hold the version.
func judge(ref, head Ref, headErr error, witnesses int) verdict {
	switch {
	case headErr != nil:
		return verdictTake
	case head == ref:
		return verdictTake
	case head.Version == ref.Version:
		return verdictRefuse
	case head.Version > ref.Version:
		return verdictRefuse
	case witnesses >= witnessesNeeded:
		return verdictTake
	}
	return verdictWait
}

func (s *Sync) examine(ctx context.Context, o offer) {
	if o.ref.Version <= s.held().Version {
		return
	}
	head, err := s.head(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil && head.Version > o.ref.Version {
		s.obtain(ctx, head, "")
		return
	}
	switch judge(o.ref, head, err, len(s.holders(o.ref))) {
	case verdictTake:
		s.obtain(ctx, o.ref, o.from)
	case verdictRefuse:
		s.log.Error("table_offer_refused", "peer", o.from, "version", o.ref.Version, "acceptance", o.ref.AcceptanceID)
		s.mu.Lock()
		s.state.refuse(o.ref)
		s.mu.Unlock()
	}
}

// runGossip is the duty that compares versions with peers: with each new
// session at once, and with a random peer periodically.
func (s *Sync) runGossip(ctx context.Context) {
	s.askAll(ctx, s.opts.Messenger.Connected())
	timer := time.NewTimer(jitter(s.opts.PollEvery))
	defer timer.Stop()
	for {
		select {
		case event := <-s.events:
			s.sessionChanged(ctx, event.InstanceID, event.Up)
		case <-timer.C:
			s.askOne(ctx)
			timer.Reset(jitter(s.opts.PollEvery))
		case <-ctx.Done():
			return
		}
	}
}

// sessionChanged handles one event together with those that wait behind it.
func (s *Sync) sessionChanged(ctx context.Context, id string, up bool) {
	var opened []string
	for {
		if up {
			opened = append(opened, id)
		} else {
			s.mu.Lock()
			s.state.forgetPeer(id)
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
	s.askAll(ctx, opened)
}

func (s *Sync) askOne(ctx context.Context) {
	connected := s.opts.Messenger.Connected()
	s.mu.Lock()
	s.state.keepPeers(connected)
	s.mu.Unlock()
	if len(connected) > 0 {
		s.ask(ctx, connected[rand.IntN(len(connected))])
	}
}

// askers bounds the concurrent calls of one askAll.
const askers = 16

func (s *Sync) askAll(ctx context.Context, ids []string) {
	queue := make(chan string)
	var wg sync.WaitGroup
	for range min(askers, len(ids)) {
		wg.Go(func() {
			for id := range queue {
				s.ask(ctx, id)
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
		s.state.asked = true
		s.mu.Unlock()
	}
}

// ask tells a peer the version in force and hears the peer's.
func (s *Sync) ask(ctx context.Context, id string) {
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply tablepb.Offer
	err := s.opts.Messenger.Call(bounded, id, peerpb.Kind_KIND_TABLE_OFFER, s.ownOffer(), &reply)
	if err != nil {
		s.log.Debug("table_ask_failed", "peer", id, "error", err)
		return
	}
	s.hear(offer{from: id, ref: refOf(reply.GetRef())})
}
