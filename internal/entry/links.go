package entry

import (
	"context"
	"time"
)

// linksInterval is the time between two looks at this instance's links to the servers.
const linksInterval = 100 * time.Millisecond

// watchLinks logs when this instance loses its links to all backend servers, and when it has
// them again.
func (d *Daemon) watchLinks(ctx context.Context) error {
	lost := false
	for sleep(ctx, linksInterval) {
		links := d.board.Links()
		if links.Lost == lost {
			continue
		}
		lost = links.Lost
		if lost {
			d.logger.Warn("servers unreachable", "since", links.Since, "unanswered", links.Unanswered,
				"answered", time.Since(links.AnsweredAt), "alive", len(d.exchange.Alive("")))
		} else {
			d.logger.Info("servers reached again", "after", time.Since(links.Since))
		}
	}
	return nil
}
