package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/forward"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/readings"
)

const (
	// linksInterval is the time between two looks at this instance's links to the backend
	// servers, probeInterval the time between two trials of links that are lost or
	// suspected, and probeCount the number of servers that are tried.
	linksInterval = 100 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	probeCount    = 3
	// minLocalPeers is the number of peers of the own data centre from which only these
	// serve the requests of an instance that reaches no server.
	minLocalPeers = 3
)

// watchLinks tries the links of this instance to the backend servers while they are suspected
// or lost, and tells the other instances whether they are.
func (d *Daemon) watchLinks(ctx context.Context) error {
	lost, silent := false, false
	var probed, lostSince time.Time
	for sleep(ctx, linksInterval) {
		now := time.Now()
		links := d.board.Links(now)
		if silent && !links.Silent {
			// Connections that were open before may have gone silent for good.
			d.pool.InvalidateAll()
		}
		silent = links.Silent
		if links.Lost != lost {
			lost = links.Lost
			if lost {
				lostSince = links.Since
			}
			d.linksChanged(links, now.Sub(lostSince), now)
		}
		if (links.Lost || links.Suspect) && now.Sub(probed) >= probeInterval {
			probed = now
			d.probeLinks(ctx, links, now)
		}
	}
	return nil
}

// linksChanged tells the other instances and the log that the links are lost or back. lost is
// the time since when they were.
func (d *Daemon) linksChanged(links readings.Links, lost time.Duration, now time.Time) {
	d.exchange.SetCutOff(links.Lost)
	if links.Lost {
		answered := "never"
		if !links.AnsweredAt.IsZero() {
			answered = now.Sub(links.AnsweredAt).String()
		}
		d.logger.Warn("servers unreachable", "since", links.Since, "unanswered", links.Unanswered, "unconnected", links.Unconnected, "silent", links.Silent,
			"answered", answered, "alive", len(d.exchange.Alive("")), "serving", len(d.exchange.Serving("")))
		return
	}
	d.logger.Info("servers reached again", "after", lost)
}

// probeLinks checks some servers drawn at random: one if the links are only suspected and no
// check has failed yet.
func (d *Daemon) probeLinks(ctx context.Context, links readings.Links, now time.Time) {
	snapshot := d.current.Load()
	if snapshot == nil {
		return
	}
	count := probeCount
	if !links.Lost && links.Unanswered == 0 && links.Unconnected == 0 {
		count = 1
	}
	all := d.directory.All()
	var targets []readings.Target
	for _, i := range rand.Perm(len(all)) {
		service := snapshot.Service(all[i].Service)
		if service == nil || service.HealthPath == "" {
			continue
		}
		if links.Unconnected > 0 && d.pool.Idle(all[i].Address) {
			// Would not show whether a connection can be opened.
			continue
		}
		if !d.board.TakePermit(all[i].ID, now) {
			continue
		}
		targets = append(targets, readings.Target{
			Server: all[i].ID, DataCentre: all[i].DataCentre, Address: all[i].Address, Born: all[i].Born, Path: service.HealthPath, Connections: d.connLimit(service),
		})
		if len(targets) == count {
			break
		}
	}
	d.checks.Refresh(ctx, targets, 0)
}

// peer returns a peer that reaches backend servers, other than the given ones.
func (d *Daemon) peer(except []string) (forward.Peer, bool) {
	peers := d.exchange.Serving(d.self.DataCentre)
	if len(peers) < minLocalPeers {
		peers = d.exchange.Serving("")
	}
	peers = slices.DeleteFunc(peers, func(m gossip.Member) bool { return slices.Contains(except, m.ID) })
	if len(peers) == 0 {
		return forward.Peer{}, false
	}
	chosen := peers[rand.N(len(peers))]
	return forward.Peer{ID: chosen.ID, Address: chosen.Address.String()}, true
}
