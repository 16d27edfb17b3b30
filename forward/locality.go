package forward

import (
	"fmt"
	"log/slog"
	"math"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/locality"
	"github.com/pomelolock/pomelolock/placement"
)

const (
	// workSmoothing is the weight of one request in the mean size of responses and the mean
	// target.
	workSmoothing = 0.05
	// shareLogInterval is the minimum time between two log lines on the decisions for a
	// service, shareLogStep the change of a share that is logged.
	shareLogInterval = time.Second
	shareLogStep     = 0.05
)

// Locality holds what the decision to send requests to other data centres needs beside the
// loads of the servers.
type Locality struct {
	// Delay returns the one-way delay to servers in a data centre, beyond that to local ones.
	Delay func(dataCentre string) time.Duration
	// BytePrice returns the price of a megabyte sent between data centres, in seconds of a
	// caller's time.
	BytePrice func() float64
}

// localState is the state of the decision for the service of one queue. The queue's lock
// protects all but penalties.
type localState struct {
	// penalties holds the factors of the cost of servers by data centre; nil without a
	// decision.
	penalties  atomic.Pointer[map[string]float64]
	controller *locality.Controller
	decidedAt  time.Time
	// responseBytes and target are the mean size of responses and the mean target, in seconds.
	responseBytes, target float64
	loggedAt              time.Time
	logged                map[string]float64
}

// remotePenalty returns the factor of the cost of servers in the data centre.
func (q *queue) remotePenalty(dataCentre string) float64 {
	if dataCentre == q.f.opts.DataCentre {
		return 1
	}
	if penalties := q.local.penalties.Load(); penalties != nil {
		if p, ok := (*penalties)[dataCentre]; ok {
			return p
		}
	}
	return placement.DefaultRemotePenalty
}

// smooth moves a mean towards a value; the first one sets it.
func smooth(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += workSmoothing * (value - *mean)
}

// decideSharesLocked decides anew which shares of the requests go to other data centres, if
// the last decision is old enough.
func (q *queue) decideSharesLocked(now time.Time) {
	opts, l := q.f.opts.Locality, &q.local
	if opts == nil || now.Sub(l.decidedAt) < locality.Interval {
		return
	}
	if l.controller == nil {
		l.controller = locality.NewController(q.f.opts.DataCentre)
	}
	l.decidedAt = now
	work := locality.Work{
		ServiceTime: q.serviceTime, Target: time.Duration(l.target * float64(time.Second)),
		ResponseBytes: l.responseBytes, BytePrice: opts.BytePrice(),
	}
	sites := q.sites(now)
	shares := l.controller.Decide(now, work, sites)
	if shares == nil {
		l.penalties.Store(nil)
		return
	}
	penalties := make(map[string]float64, len(shares))
	for _, s := range shares {
		penalties[s.DataCentre] = s.Penalty
	}
	l.penalties.Store(&penalties)
	q.logSharesLocked(shares, work, sites, now)
}

// sites returns what is known of the servers of the service by data centre. Those of evacuated
// data centres are left out by the directory.
func (q *queue) sites(now time.Time) []locality.Site {
	var sites []locality.Site
	index := make(map[string]int)
	warmUp, usual := q.warmUp(), q.usualState(now)
	for _, server := range q.servers() {
		i, ok := index[server.DataCentre]
		if !ok {
			i = len(sites)
			index[server.DataCentre] = i
			site := locality.Site{DataCentre: server.DataCentre}
			if server.DataCentre != q.f.opts.DataCentre {
				site.Delay = q.f.opts.Locality.Delay(server.DataCentre)
			}
			sites = append(sites, site)
		}
		candidate := q.candidate(server, warmUp, now)
		candidate.RemotePenalty = 1
		sites[i].Add(candidate, placement.Assess([]placement.Candidate{candidate}, usual)[0])
	}
	return sites
}

// logSharesLocked logs the shares if one has changed materially since the last line.
func (q *queue) logSharesLocked(shares []locality.Share, work locality.Work, sites []locality.Site, now time.Time) {
	l := &q.local
	changed := false
	for _, s := range shares {
		changed = changed || math.Abs(s.Share-l.logged[s.DataCentre]) >= shareLogStep
	}
	if !changed || now.Sub(l.loggedAt) < shareLogInterval {
		return
	}
	l.loggedAt, l.logged = now, make(map[string]float64, len(shares))
	var decided, known strings.Builder
	for _, s := range shares {
		l.logged[s.DataCentre] = s.Share
		fmt.Fprintf(&decided, "%s(share=%.2f wanted=%.2f penalty=%.2f) ", s.DataCentre, s.Share, s.Wanted, s.Penalty)
	}
	for _, s := range sites {
		fmt.Fprintf(&known, "%s(servers=%d cold=%d slow=%d unusable=%d capacity=%.1f in_flight=%.0f age=%s delay=%s) ",
			s.DataCentre, s.Servers, s.Cold, s.Slow, s.Unusable, s.Capacity, s.InFlight, s.Age.Round(time.Millisecond), s.Delay)
	}
	q.f.opts.Log.Info("share to other data centres changed", slog.String("service", q.service),
		slog.String("shares", strings.TrimSpace(decided.String())), slog.String("known", strings.TrimSpace(known.String())),
		slog.Duration("work", work.ServiceTime), slog.Duration("target", work.Target),
		slog.Float64("response_bytes", math.Round(work.ResponseBytes)), slog.Float64("byte_price", work.BytePrice))
}
