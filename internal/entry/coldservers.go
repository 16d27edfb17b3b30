package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/forward"
	"github.com/pomelolock/pomelolock/readings"
)

const (
	// coldInterval is the interval at which servers that turned cold or warm are logged.
	coldInterval = 250 * time.Millisecond
	// maxColdLines bounds the lines about single servers in one interval. A whole data centre
	// turns cold at once when it returns to service.
	maxColdLines = 8
)

// watchColdServers keeps the warm-ups of the servers on the board and logs which servers turn
// cold or warm.
func (d *Daemon) watchColdServers(ctx context.Context) error {
	for sleep(ctx, coldInterval) {
		now := time.Now()
		d.setWarmUps(now)
		changes, cold := d.board.TakeColdChanges(now)
		d.coldServers.Store(int64(cold))
		d.logColdChanges(changes, now)
	}
	return nil
}

// setWarmUps records the warm-ups of all servers. Requests record those of the servers that
// they choose among; the others have to be known too, to share what status checks say.
func (d *Daemon) setWarmUps(now time.Time) {
	snapshot := d.current.Load()
	if snapshot == nil {
		return
	}
	limits := d.settings.Load().WarmUp
	for _, servers := range d.directory.InDataCentres() {
		for _, server := range servers {
			warmUp := forward.WarmUp(snapshot.Service(server.Service), limits)
			warmUp.Born, warmUp.Until = server.Born, server.WarmUntil
			d.board.SetWarmUp(server.ID, warmUp, now)
		}
	}
}

// logColdChanges logs one line for each server that turned cold or warm, or, if there are too
// many, one for all others of the same kind.
func (d *Daemon) logColdChanges(changes []readings.ColdChange, now time.Time) {
	type kind struct {
		cold   bool
		source readings.ColdSource
	}
	others := make(map[kind]int)
	oldest := make(map[kind]time.Duration)
	slices.SortFunc(changes, func(a, b readings.ColdChange) int { return cmp.Compare(a.Server, b.Server) })
	for i, c := range changes {
		d.coldChanges.Add(1)
		if i >= maxColdLines {
			k := kind{c.Cold, c.Source}
			others[k]++
			oldest[k] = max(oldest[k], now.Sub(c.At))
			continue
		}
		if c.Cold {
			left := time.Duration(0)
			if c.Until.After(now) {
				left = c.Until.Sub(now)
			}
			d.logger.Info("server cold", "server", c.Server, "source", c.Source, "age", now.Sub(c.At), "left", left, "sharers", d.sharers())
			continue
		}
		d.logger.Info("server warm", "server", c.Server, "source", c.Source, "age", now.Sub(c.At), "requests", c.Requests, "held", c.Held)
	}
	for k, n := range others {
		event := "servers warm"
		if k.cold {
			event = "servers cold"
		}
		d.logger.Info(event, "servers", n, "source", k.source, "oldest", oldest[k])
	}
}
