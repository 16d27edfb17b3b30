package gossip

import (
	"time"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/readings"
)

// news is what has been learned since the last datagram to some instances.
type news struct {
	readings map[string]readings.Reading
	results  map[string]readings.Results
	// sent is when the last datagram was sent.
	sent time.Time
}

func newNews() *news {
	return &news{readings: make(map[string]readings.Reading), results: make(map[string]readings.Results)}
}

// add takes in what this instance has learned.
func (n *news) add(observed []readings.Reading, results []readings.Results) {
	for _, r := range observed {
		n.readings[r.Server] = r
	}
	for _, r := range results {
		sum := n.results[r.Server]
		n.results[r.Server] = readings.Results{Server: r.Server, Good: sum.Good + r.Good, Failed: sum.Failed + r.Failed}
	}
}

// due reports whether it is time for a datagram; talk tells that there is more to
// tell than news.
func (n *news) due(now time.Time, least time.Duration, talk bool) bool {
	since := now.Sub(n.sent)
	return since >= least && (talk || !n.empty() || since >= quietInterval)
}

func (n *news) empty() bool { return len(n.readings) == 0 && len(n.results) == 0 }

// take fills a datagram and forgets what is in it.
func (n *news) take(msg *gossippb.Datagram, now time.Time) {
	for _, r := range n.readings {
		msg.Readings = append(msg.Readings, encodeReading(r, now))
	}
	for _, r := range n.results {
		msg.Results = append(msg.Results, &gossippb.Results{Server: r.Server, Good: uint32(r.Good), Failed: uint32(r.Failed)})
	}
	clear(n.readings)
	clear(n.results)
	n.sent = now
}
