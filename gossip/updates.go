package gossip

import (
	"time"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/readings"
)

// maxDatagramContent bounds the packed readings and results of one datagram, in bytes. A
// datagram is lost if any of the frames that carry it is lost, so long ones are lost more
// often.
const maxDatagramContent = 8 << 10

// pendingUpdates holds the readings and results recorded since the last datagram to a
// group of instances.
type pendingUpdates struct {
	readings map[readings.ServerKey]readings.Reading
	results  map[readings.ServerKey]readings.Results
	// departures holds the backend servers that leave, by ID.
	departures map[string]departure
	// sent is when the last datagram was sent, contentSent when the last one with
	// readings and results was.
	sent, contentSent time.Time
}

// departure is a backend server that leaves.
type departure struct {
	born int64
	// repeats is the number of datagrams that still have to carry it.
	repeats int
}

// departureRepeats is the number of datagrams that carry a departure, since datagrams get
// lost.
const departureRepeats = 3

func newPendingUpdates() *pendingUpdates {
	return &pendingUpdates{
		readings: make(map[readings.ServerKey]readings.Reading), results: make(map[readings.ServerKey]readings.Results),
		departures: make(map[string]departure),
	}
}

// addDeparture adds a backend server that leaves.
func (p *pendingUpdates) addDeparture(server string, born int64) {
	p.departures[server] = departure{born: born, repeats: departureRepeats}
}

// add merges new readings and results into the pending ones.
func (p *pendingUpdates) add(observed []readings.Reading, results []readings.Results) {
	for _, r := range observed {
		p.readings[r.Server] = r
	}
	for _, r := range results {
		p.addResults(r)
	}
}

// addReceived merges a reading of another instance into the pending ones: its newer report
// and its newer check.
func (p *pendingUpdates) addReceived(r readings.Reading) {
	pending, ok := p.readings[r.Server]
	if !ok {
		p.readings[r.Server] = r
		return
	}
	if r.HasReport && r.At.After(pending.At) {
		pending.Report, pending.HasReport, pending.At = r.Report, true, r.At
	}
	if r.HealthAt.After(pending.HealthAt) {
		pending.Health, pending.HealthAt = r.Health, r.HealthAt
	}
	p.readings[r.Server] = pending
}

func (p *pendingUpdates) addResults(r readings.Results) {
	sum := p.results[r.Server]
	p.results[r.Server] = readings.Results{Server: r.Server, Good: sum.Good + r.Good, Failed: sum.Failed + r.Failed}
}

// due reports whether a datagram has to be sent. minInterval must have passed since the
// last one, and heartbeatInterval too if there are no updates and no other content.
func (p *pendingUpdates) due(now time.Time, minInterval time.Duration, otherContent bool) bool {
	since := now.Sub(p.sent)
	return since >= minInterval && (otherContent || !p.empty() || since >= heartbeatInterval)
}

// clear drops the pending updates.
func (p *pendingUpdates) clear() {
	clear(p.readings)
	clear(p.results)
	clear(p.departures)
}

func (p *pendingUpdates) empty() bool {
	return len(p.readings) == 0 && len(p.results) == 0 && len(p.departures) == 0
}

// take moves pending updates into a datagram, as many as fit.
func (p *pendingUpdates) take(msg *gossippb.Datagram, now time.Time) {
	for key, r := range p.readings {
		if len(msg.Readings)+readingBytes > maxDatagramContent/2 {
			break
		}
		msg.Readings = appendReading(msg.Readings, r, now)
		delete(p.readings, key)
	}
	for key, r := range p.results {
		if len(msg.Results)+resultsBytes > maxDatagramContent/2 {
			break
		}
		msg.Results = appendResults(msg.Results, r)
		delete(p.results, key)
	}
	for server, d := range p.departures {
		msg.Departures = append(msg.Departures, &gossippb.Departure{Server: server, BornMs: d.born})
		if d.repeats--; d.repeats == 0 {
			delete(p.departures, server)
		} else {
			p.departures[server] = d
		}
	}
	p.sent, p.contentSent = now, now
}

// ownResults subtracts the results of this instance from those that relays return as part
// of the sum of all instances. It is not safe for concurrent use.
type ownResults struct {
	recent, older map[readings.ServerKey]readings.Results
	turned        time.Time
}

// ownResultsTTL is the time within which relays return the results of an instance.
const ownResultsTTL = time.Second

// add records results that this instance sent to a relay.
func (o *ownResults) add(results []readings.Results, now time.Time) {
	o.turn(now)
	for _, r := range results {
		sum := o.recent[r.Server]
		o.recent[r.Server] = readings.Results{Server: r.Server, Good: sum.Good + r.Good, Failed: sum.Failed + r.Failed}
	}
}

// subtract returns the results without those that this instance sent.
func (o *ownResults) subtract(r readings.Results, now time.Time) readings.Results {
	o.turn(now)
	for _, sent := range []map[readings.ServerKey]readings.Results{o.older, o.recent} {
		own, ok := sent[r.Server]
		if !ok {
			continue
		}
		good, failed := min(own.Good, r.Good), min(own.Failed, r.Failed)
		r.Good, r.Failed = r.Good-good, r.Failed-failed
		sent[r.Server] = readings.Results{Server: r.Server, Good: own.Good - good, Failed: own.Failed - failed}
	}
	return r
}

// turn drops what was sent longer ago than ownResultsTTL.
func (o *ownResults) turn(now time.Time) {
	if now.Sub(o.turned) < ownResultsTTL && o.recent != nil {
		return
	}
	o.older, o.recent, o.turned = o.recent, make(map[readings.ServerKey]readings.Results), now
}
