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
}

// links is the state behind [Links].
type links struct {
	answeredAt time.Time
	// unanswered holds the servers that left a request or check without an answer since.
	unanswered map[ServerKey]struct{}
	lost       bool
	since      time.Time
}

// answered records an answer of any server. It returns the servers whose lack of an answer
// has turned out to be no fault of this instance's links.
func (l *links) answered(now time.Time) []ServerKey {
	l.answeredAt = now
	if len(l.unanswered) == 0 {
		return nil
	}
	var confirmed []ServerKey
	if !l.lost {
		for server := range l.unanswered {
			confirmed = append(confirmed, server)
		}
	}
	clear(l.unanswered)
	l.lost = false
	return confirmed
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
// could not be reached, or the connection to it was lost.
func (b *Board) Unanswered(server string, now time.Time) {
	b.Result(server, true, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links.missed(KeyOf(server), len(b.servers), now)
}

// Missed records that the server left a status check of this instance without an answer.
func (b *Board) Missed(server string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links.missed(KeyOf(server), len(b.servers), now)
}

// Answered records that a server answered this instance.
func (b *Board) Answered(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links.answered(now)
}

// Links returns what this instance knows of its own links to the servers.
func (b *Board) Links() Links {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Links{
		Lost: b.links.lost, Since: b.links.since,
		Unanswered: len(b.links.unanswered), AnsweredAt: b.links.answeredAt,
	}
}
