package proxy

import (
	"sync"
	"time"
)

// eventsPerSecond bounds the log lines of one event.
const eventsPerSecond = 10

// eventLimiter bounds how often each event is logged, so that faults don't
// flood the log. Events have constant names.
type eventLimiter struct {
	mu     sync.Mutex
	events map[string]*eventWindow
}

type eventWindow struct {
	second     int64
	logged     int
	suppressed uint64
}

// allow reports whether the event may be logged, and how many of its lines
// were left out since the last one.
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
