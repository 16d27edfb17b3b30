package readings

import (
	"maps"
	"slices"
	"time"
)

const (
	// minUnanswered is the number of servers that have to leave this instance without an
	// answer, one after the other, until its own links count as lost. Fewer servers that
	// fail together have crashed. minUnconnected is the number for new connections, which
	// are so rare that crashes add up.
	minUnanswered  = 3
	minUnconnected = 6
	// minSilence is the time for which no server at all must have answered by then.
	minSilence = 100 * time.Millisecond
	// suspicionTime is the time for which requests may wait for an answer, while no server
	// answers any request or check, until the links are suspected.
	suspicionTime = 300 * time.Millisecond
)

// Links is what this instance knows of its own links to the servers. A link is not a server:
// peers may reach a server that this instance doesn't.
type Links struct {
	// Lost reports whether this instance reaches no server, or opens no new connection to
	// any. Since is when that began.
	Lost  bool
	Since time.Time
	// Silent reports whether its open connections are lost too.
	Silent bool
	// Unanswered is the number of servers that have left requests or checks without an
	// answer since any server last answered; AnsweredAt is when that was. Unconnected is
	// the number of those to which no connection could be opened since one last was.
	Unanswered, Unconnected int
	AnsweredAt              time.Time
	// Suspect reports whether requests wait for an answer while no server answers, or no
	// new connection could be opened.
	Suspect bool
}

// outage tells whether something that fails at one server after the other, and succeeds at
// none, is lost.
type outage struct {
	succeededAt time.Time
	// failed holds the servers, by key or by address, where it has failed since.
	failed map[any]struct{}
	lost   bool
	since  time.Time
}

// fail records a failure at a server. It is lost from the given number of servers on.
func (o *outage) fail(server any, number int, now time.Time) {
	if o.failed == nil {
		o.failed = make(map[any]struct{})
	}
	o.failed[server] = struct{}{}
	if !o.lost && len(o.failed) >= number && now.Sub(o.succeededAt) >= minSilence {
		o.lost, o.since = true, now
	}
}

// succeed records a success at any server. It reports whether it was lost before.
func (o *outage) succeed(now time.Time) (lost bool) {
	o.succeededAt = now
	clear(o.failed)
	lost, o.lost = o.lost, false
	return lost
}

// links is the state behind [Links].
type links struct {
	answers, connections outage
	// waiting is the number of requests that wait for an answer, waitingSince the time
	// since when there are any.
	waiting      int
	waitingSince time.Time
}

// count counts a request that begins to wait (1) or ends (-1).
func (l *links) count(delta int, now time.Time) {
	if l.waiting == 0 {
		l.waitingSince = now
	}
	l.waiting += delta
}

func (l *links) suspect(now time.Time) bool {
	silent := l.waiting > 0 && now.Sub(l.answers.succeededAt) > suspicionTime && now.Sub(l.waitingSince) > suspicionTime
	return silent || len(l.connections.failed) >= minUnanswered
}

func (l *links) lost() bool { return l.answers.lost || l.connections.lost }

// missed records that a server, one of the given number, left a request or check without an
// answer.
func (l *links) missed(server ServerKey, servers int, now time.Time) {
	l.answers.fail(server, min(minUnanswered, servers), now)
}

// Connected records whether this instance could open a connection to a server at the address.
func (b *Board) Connected(address string, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.links.connections.succeed(now)
		return
	}
	b.links.connections.fail(address, min(minUnconnected, max(len(b.servers), minUnanswered)), now)
}

// Unanswered records that the server left a request of this instance without an answer: it
// could not be reached, or the connection to it was lost. Other instances are told only once
// another server has answered: until then, the fault may lie in this instance's links.
func (b *Board) Unanswered(server string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := KeyOf(server)
	s := b.stateLocked(key)
	s.decay(now)
	s.failed++
	s.heldFailed++
	b.links.missed(key, len(b.servers), now)
}

// Answered records that a server answered this instance.
func (b *Board) Answered(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unanswered := slices.Collect(maps.Keys(b.links.answers.failed))
	lost := b.links.answers.succeed(now)
	for _, key := range unanswered {
		s := b.servers[key.(ServerKey)]
		if s == nil {
			continue
		}
		if !lost {
			s.unsharedFailed += s.heldFailed
			s.readingUnshared = s.readingUnshared || s.readingHeld
			b.queueLocked(key.(ServerKey), s)
		}
		s.heldFailed, s.readingHeld = 0, false
	}
}

// Links returns what this instance knows of its own links to the servers.
func (b *Board) Links(now time.Time) Links {
	b.mu.Lock()
	defer b.mu.Unlock()
	answers, connections := &b.links.answers, &b.links.connections
	links := Links{
		Lost: b.links.lost(), Silent: answers.lost, Since: connections.since,
		Unanswered: len(answers.failed), Unconnected: len(connections.failed),
		AnsweredAt: answers.succeededAt, Suspect: b.links.suspect(now),
	}
	if answers.lost {
		links.Since = answers.since
	}
	return links
}

// LinksLost reports whether this instance reaches no server any longer, or opens no new
// connection to any.
func (b *Board) LinksLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.links.lost()
}
