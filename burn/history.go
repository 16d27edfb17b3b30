package burn

import (
	"time"

	"github.com/pomelolock/pomelolock/burn/burnpb"
)

// historyMinutes is the length of the longest window.
const historyMinutes = int64(Window3Days / time.Minute)

const (
	// unflushedMinutes is the number of minutes for which a process may have
	// measured after the last one that it stored, unless it shut down
	// gracefully.
	unflushedMinutes = 2
	// pointIntervalMinutes is the distance between two points of a plot.
	pointIntervalMinutes = 30
)

// minuteState is how completely a minute was measured; see [Coverage].
type minuteState uint8

const (
	minuteMissing minuteState = iota
	minutePartial
	minuteMeasured
)

// history holds the minutes of the longest window, the oldest first. Minutes
// are counted from the Unix epoch.
type history struct {
	// start is the first minute, and end the one after the last.
	start, end int64
	counts     map[string][]Counts
	states     []minuteState
	// seen holds the sources that were added, by hour.
	seen       map[int64]map[string]bool
	processes  map[string]*process
	unreadable int
}

// process holds the minutes that one process measured.
type process struct {
	// covered is indexed like the minutes of the history.
	covered []bool
	// first and last are the first and last measured minutes, which may be
	// outside of the window.
	first int64
	last  int64
	// ended is set if the process shut down gracefully.
	ended bool
}

func newHistory(end int64) *history {
	return &history{
		start:     end - historyMinutes,
		end:       end,
		counts:    make(map[string][]Counts),
		states:    make([]minuteState, historyMinutes),
		seen:      make(map[int64]map[string]bool),
		processes: make(map[string]*process),
	}
}

// contains reports whether any minute of the hour is in the window.
func (h *history) contains(hour int64) bool {
	return (hour+1)*minutesPerHour > h.start && hour*minutesPerHour < h.end
}

// add adds the counts of one object. An object with a source that was added
// before has been merged but not yet deleted, and is left out.
func (h *history) add(hour *burnpb.Hour) {
	seen := h.seen[hour.GetHour()]
	if seen == nil {
		seen = make(map[string]bool)
		h.seen[hour.GetHour()] = seen
	}
	if !addSources(new(burnpb.Hour), hour, seen) {
		return
	}
	for _, source := range hour.GetSources() {
		h.addSource(hour.GetHour(), source)
	}
	for _, series := range hour.GetSeries() {
		var minutes [minutesPerHour]Counts
		addSeries(&minutes, series)
		h.addMinutes(hour.GetHour()*minutesPerHour, series.GetService(), &minutes)
	}
}

func (h *history) addMinutes(from int64, service string, minutes *[minutesPerHour]Counts) {
	counts := h.counts[service]
	if counts == nil {
		counts = make([]Counts, historyMinutes)
		h.counts[service] = counts
	}
	for i, c := range minutes {
		if minute := from + int64(i); minute >= h.start && minute < h.end {
			counts[minute-h.start].add(c)
		}
	}
}

func (h *history) addSource(hour int64, source *burnpb.Source) {
	p := h.processes[sourceName(source)]
	if p == nil {
		p = &process{covered: make([]bool, historyMinutes), first: h.end, last: -1}
		h.processes[sourceName(source)] = p
	}
	p.ended = p.ended || source.GetEnded()
	for i := range int64(minutesPerHour) {
		if source.GetCovered()&(1<<i) == 0 {
			continue
		}
		minute := hour*minutesPerHour + i
		p.first, p.last = min(p.first, minute), max(p.last, minute)
		if minute >= h.start && minute < h.end {
			p.covered[minute-h.start] = true
		}
	}
}

// deriveStates sets the state of each minute. A minute is partial if one process
// measured it and another was running but did not.
func (h *history) deriveStates() {
	gaps := make([]bool, historyMinutes)
	for _, p := range h.processes {
		last := p.last
		if !p.ended {
			last += unflushedMinutes
		}
		for minute := max(p.first, h.start); minute <= last && minute < h.end; minute++ {
			if p.covered[minute-h.start] {
				h.states[minute-h.start] = minuteMeasured
			} else {
				gaps[minute-h.start] = true
			}
		}
	}
	for i, gap := range gaps {
		if gap && h.states[i] == minuteMeasured {
			h.states[i] = minutePartial
		}
	}
}

// service returns the report of one service.
func (h *history) service(objective Objective) ServiceReport {
	report := ServiceReport{Objective: objective}
	for _, length := range windows() {
		report.Windows = append(report.Windows, h.window(objective, h.end, length))
	}
	report.Alarm = alarm(report.Windows)
	for end := h.start + minutesPerHour; end <= h.end; end += pointIntervalMinutes {
		w := h.window(objective, end, Window1Hour)
		report.Points = append(report.Points, Point{
			Time:    time.Unix(end*60, 0).UTC(),
			Rate:    w.Rate,
			Missing: w.Missing+w.Partial > 0,
		})
	}
	return report
}

// window sums up the minutes of the window that ends before minute end.
func (h *history) window(objective Objective, end int64, length time.Duration) Window {
	w := Window{Length: length}
	counts := h.counts[objective.Service]
	for minute := end - int64(length/time.Minute); minute < end; minute++ {
		i := minute - h.start
		switch h.states[i] {
		case minuteMeasured:
			w.Measured++
		case minutePartial:
			w.Partial++
		default:
			w.Missing++
		}
		if counts != nil {
			w.add(counts[i])
		}
	}
	if w.Total > 0 {
		rate := float64(w.Total-w.Good) / float64(w.Total) / objective.allowed()
		w.Rate = &rate
	}
	return w
}
