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
	// limits holds the newest limits that backend servers named.
	limits map[string]pendingLimit
	// cold holds the newest known warm-ups of backend servers.
	cold map[string]pendingCold
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

// pendingLimit is a limit that a backend server named, or none any longer.
type pendingLimit struct {
	limit readings.Limit
	at    time.Time
	// repeats is the number of datagrams that still have to carry it.
	repeats int
}

// pendingCold is the warm-up of a backend server by a status check.
type pendingCold struct {
	readings.ColdHint
	// repeats is the number of datagrams that still have to carry it.
	repeats int
}

const (
	// noticeRepeats is the number of datagrams that carry a departure, a limit or a
	// warm-up, since datagrams get lost.
	noticeRepeats = 3
	// relayedColdRepeats is the number of datagrams in which a relay passes on a warm-up:
	// each repeat of the sender comes through another relay. With three again, the return
	// of a data centre would cost nine times the bytes.
	relayedColdRepeats = 1
	// maxLimits and maxCold bound the limits and the warm-ups in one datagram.
	maxLimits = 100
	maxCold   = 100
)

func newPendingUpdates() *pendingUpdates {
	return &pendingUpdates{
		readings: make(map[readings.ServerKey]readings.Reading), results: make(map[readings.ServerKey]readings.Results),
		departures: make(map[string]departure), limits: make(map[string]pendingLimit),
		cold: make(map[string]pendingCold),
	}
}

// addDeparture adds a backend server that leaves.
func (p *pendingUpdates) addDeparture(server string, born int64) {
	p.departures[server] = departure{born: born, repeats: noticeRepeats}
}

// addLimit adds a limit that a backend server named at the given time.
func (p *pendingUpdates) addLimit(server string, limit readings.Limit, at time.Time) {
	if pending, ok := p.limits[server]; ok && !at.After(pending.at) {
		return
	}
	p.limits[server] = pendingLimit{limit: limit, at: at, repeats: noticeRepeats}
}

// addCold adds the warm-up of a backend server unless a newer one is pending.
func (p *pendingUpdates) addCold(hint readings.ColdHint, repeats int) {
	if pending, ok := p.cold[hint.Server]; ok && !hint.At.After(pending.At) {
		return
	}
	p.cold[hint.Server] = pendingCold{ColdHint: hint, repeats: repeats}
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
		pending.Health, pending.HealthAt, pending.Warm = r.Health, r.HealthAt, r.Warm
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
	clear(p.limits)
	clear(p.cold)
}

func (p *pendingUpdates) empty() bool {
	return len(p.readings) == 0 && len(p.results) == 0 && len(p.departures) == 0 && len(p.limits) == 0 && len(p.cold) == 0
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
	for server, pending := range p.limits {
		if len(msg.Limits) == maxLimits {
			break
		}
		msg.Limits = append(msg.Limits, encodeLimit(server, pending, now))
		if pending.repeats--; pending.repeats == 0 {
			delete(p.limits, server)
		} else {
			p.limits[server] = pending
		}
	}
	for server, pending := range p.cold {
		if len(msg.Cold) == maxCold {
			break
		}
		msg.Cold = append(msg.Cold, encodeCold(pending.ColdHint, now))
		if pending.repeats--; pending.repeats == 0 {
			delete(p.cold, server)
		} else {
			p.cold[server] = pending
		}
	}
	p.sent, p.contentSent = now, now
}

func encodeLimit(server string, pending pendingLimit, now time.Time) *gossippb.ServerLimit {
	encoded := &gossippb.ServerLimit{Server: server, AgeMs: milliseconds(now.Sub(pending.at) + time.Millisecond)}
	if pending.limit.Named {
		encoded.PerSecond = &pending.limit.PerSecond
	}
	return encoded
}

// decodeLimit returns the limit in a datagram that arrived at the given time, and when the
// answer arrived that named it.
func decodeLimit(encoded *gossippb.ServerLimit, now time.Time) (server string, limit readings.Limit, at time.Time) {
	limit = readings.Limit{Named: encoded.PerSecond != nil, PerSecond: max(encoded.GetPerSecond(), 0)}
	return encoded.GetServer(), limit, now.Add(-time.Duration(encoded.GetAgeMs()) * time.Millisecond)
}

// encodeCold rounds the age up, so that what is said never becomes newer than it is, and the
// remaining time by as much, so that the warm-up doesn't end earlier.
func encodeCold(hint readings.ColdHint, now time.Time) *gossippb.ColdServer {
	encoded := &gossippb.ColdServer{Server: hint.Server, AgeMs: milliseconds(now.Sub(hint.At) + time.Millisecond)}
	if hint.Until.After(hint.At) {
		encoded.LeftMs = milliseconds(hint.Until.Sub(hint.At) + 2*time.Millisecond)
	}
	return encoded
}

// decodeCold returns what a datagram that arrived at the given time says of a warm-up.
func decodeCold(encoded *gossippb.ColdServer, now time.Time) readings.ColdHint {
	hint := readings.ColdHint{Server: encoded.GetServer(), At: now.Add(-time.Duration(encoded.GetAgeMs()) * time.Millisecond)}
	if left := encoded.GetLeftMs(); left > 0 {
		hint.Until = hint.At.Add(time.Duration(left) * time.Millisecond)
	}
	return hint
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
