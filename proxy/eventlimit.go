package proxy

import (
	"sync"
	"time"
)

// eventsPerSecond is the maximum number of log lines per event and second.
const eventsPerSecond = 10

// eventLimiter limits the rate at which each event is logged, so that failures
// don't flood the log. Event names must be constant, because the map of events
// is never pruned.
type eventLimiter struct {
	mu     sync.Mutex
	events map[string]*eventWindow
}

type eventWindow struct {
	second     int64
	logged     int
	suppressed uint64
}

// allow reports whether the event may be logged, and how many lines of it were
// suppressed since the last logged one.
func (l *eventLimiter) allow(event string, now time.Time) (ok bool, suppressed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = make(map[string]*eventWindow)
	}
	w := l.events[event]
	if w == nil {
		w = &eventWindow{}
		l.events[event] = w
	}
	if second := now.Unix(); second != w.second {
		w.second, w.logged = second, 0
	}
	if w.logged >= eventsPerSecond {
		w.suppressed++
		return false, 0
	}
	w.logged++
	suppressed, w.suppressed = w.suppressed, 0
	return true, suppressed
}
