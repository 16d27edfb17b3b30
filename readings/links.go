package readings

import "time"

const (
	// minUnanswered is the number of servers that have to leave this instance without an
	// answer, one after the other, until its own links count as lost. Fewer servers that
	// fail together have crashed.
	minUnanswered = 3
	// minSilence is the time for which no server at all must have answered by then.
	minSilence = 100 * time.Millisecond
	// suspicionTime is the time for which requests may wait for an answer, while no server
	// answers any request or check, until the links are suspected.
	suspicionTime = 300 * time.Millisecond
)

// Links is what this instance knows of its own links to the servers. A link is not a server:
// peers may reach a server that this instance doesn't.
type Links struct {
	// Lost reports whether this instance reaches no server. Since is when that began.
	Lost  bool
	Since time.Time
	// Unanswered is the number of servers that have left requests or checks without an
	// answer since any server last answered; AnsweredAt is when that was.
	Unanswered int
	AnsweredAt time.Time
	// Suspect reports whether requests wait for an answer while no server answers.
	Suspect bool
}

// links is the state behind [Links].
type links struct {
	answeredAt time.Time
	// unanswered holds the servers that left a request or check without an answer since.
	unanswered map[ServerKey]struct{}
	lost       bool
	since      time.Time
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
	return l.waiting > 0 && now.Sub(l.answeredAt) > suspicionTime && now.Sub(l.waitingSince) > suspicionTime
}

// answered records an answer of any server. It returns the servers that left this instance
// without one before, and whether its links were lost then.
func (l *links) answered(now time.Time) (unanswered []ServerKey, lost bool) {
	l.answeredAt = now
	if len(l.unanswered) == 0 {
		return nil, false
	}
	for server := range l.unanswered {
		unanswered = append(unanswered, server)
	}
	clear(l.unanswered)
	lost, l.lost = l.lost, false
	return unanswered, lost
}

// missed records that a server, one of the given number, left a request or check without an
// answer.
func (l *links) missed(server ServerKey, servers int, now time.Time) {
	if l.unanswered == nil {
		l.unanswered = make(map[ServerKey]struct{})
	}
	l.unanswered[server] = struct{}{}
	if !l.lost && len(l.unanswered) >= min(minUnanswered, servers) && now.Sub(l.answeredAt) >= minSilence {
		l.lost, l.since = true, now
	}
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
	unanswered, lost := b.links.answered(now)
	for _, key := range unanswered {
		s := b.servers[key]
		if s == nil {
			continue
		}
		if !lost {
			s.unsharedFailed += s.heldFailed
			s.readingUnshared = s.readingUnshared || s.readingHeld
			b.queueLocked(key, s)
		}
		s.heldFailed, s.readingHeld = 0, false
	}
}

// Links returns what this instance knows of its own links to the servers.
func (b *Board) Links(now time.Time) Links {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Links{
		Lost: b.links.lost, Since: b.links.since,
		Unanswered: len(b.links.unanswered), AnsweredAt: b.links.answeredAt,
		Suspect: b.links.suspect(now),
	}
}

// LinksLost reports whether no server answers this instance any longer.
func (b *Board) LinksLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.links.lost
}
