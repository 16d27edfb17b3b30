package gossip

import (
	"time"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/readings"
)

// pendingUpdates holds the readings and results recorded since the last datagram to a
// group of instances.
type pendingUpdates struct {
	readings map[string]readings.Reading
	results  map[string]readings.Results
	// sent is when the last datagram was sent.
	sent time.Time
}

func newPendingUpdates() *pendingUpdates {
	return &pendingUpdates{readings: make(map[string]readings.Reading), results: make(map[string]readings.Results)}
}

// add merges new readings and results into the pending ones.
func (p *pendingUpdates) add(observed []readings.Reading, results []readings.Results) {
	for _, r := range observed {
		p.readings[r.Server] = r
	}
	for _, r := range results {
		sum := p.results[r.Server]
		p.results[r.Server] = readings.Results{Server: r.Server, Good: sum.Good + r.Good, Failed: sum.Failed + r.Failed}
	}
}

// due reports whether a datagram has to be sent. minInterval must have passed since the
// last one, and heartbeatInterval too if there are no updates and no other content.
func (p *pendingUpdates) due(now time.Time, minInterval time.Duration, otherContent bool) bool {
	since := now.Sub(p.sent)
	return since >= minInterval && (otherContent || !p.empty() || since >= heartbeatInterval)
}

func (p *pendingUpdates) empty() bool { return len(p.readings) == 0 && len(p.results) == 0 }

// take moves the pending updates into a datagram.
func (p *pendingUpdates) take(msg *gossippb.Datagram, now time.Time) {
	for _, r := range p.readings {
		msg.Readings = append(msg.Readings, encodeReading(r, now))
	}
	for _, r := range p.results {
		msg.Results = append(msg.Results, &gossippb.Results{Server: r.Server, Good: uint32(r.Good), Failed: uint32(r.Failed)})
	}
	clear(p.readings)
	clear(p.results)
	p.sent = now
}
