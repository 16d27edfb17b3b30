package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// Objective is the service-level objective of one service.
type Objective struct {
	Service string `json:"service"`
	// Percent is the share of requests that must be good.
	Percent float64 `json:"percent"`
	// Latency is the longest latency of a good request.
	Latency time.Duration `json:"latency_ns"`
}

// allowed returns the error budget: the share of requests, between 0 and 1,
// that may miss the objective.
func (o Objective) allowed() float64 { return 1 - o.Percent/100 }

// Counts holds numbers of requests by result.
type Counts struct {
	Total uint64 `json:"total"`
	// Complete counts the requests with a complete response, and Good those of
	// them within the latency objective.
	Complete uint64 `json:"whole"`
	Good     uint64 `json:"good"`
}

func (c *Counts) add(other Counts) {
	c.Total += other.Total
	c.Complete += other.Complete
	c.Good += other.Good
}

// meter counts the requests of one service since the last collection. Each request is
// in exactly one of the counters, so that a collection that runs beside
// [Recorder.Record] counts it completely or not at all.
type meter struct {
	// latency is the latency bound of the objective, in nanoseconds.
	latency atomic.Int64
	// failed counts the requests without a complete response, slow those with one
	// beyond the latency bound and good those within it.
	failed, slow, good atomic.Uint64
}

func (m *meter) collect() Counts {
	failed, slow, good := m.failed.Swap(0), m.slow.Swap(0), m.good.Swap(0)
	return Counts{Total: failed + slow + good, Complete: slow + good, Good: good}
}

// Recorder counts the requests that this process served. It is safe for
// concurrent use, and [Recorder.Record] takes no lock.
type Recorder struct {
	meters sync.Map // service name to *meter

	mu    sync.Mutex
	hours map[int64]*hourCounts
	// last is the minute of the last collection, counted from the Unix epoch.
	last int64
}

// hourCounts holds the counts of one hour in memory.
type hourCounts struct {
	// covered has bit m set if minute m of the hour was measured.
	covered uint64
	// ended is set if the process shut down gracefully in this hour.
	ended  bool
	series map[string]*[minutesPerHour]Counts
	// dirty is set while the stored object lacks some of the counts.
	dirty bool
}

const (
	minutesPerHour = 60
	// hoursInMemory is the number of hours whose counts are kept for writing
	// while the store is unavailable; older counts are dropped.
	hoursInMemory = 6
)

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{hours: make(map[int64]*hourCounts)}
}

// SetObjectives replaces the objectives of the measured services. The counts of
// a service that is in both the old and the new objectives are kept.
func (r *Recorder) SetObjectives(objectives []Objective) {
	measured := make(map[string]bool, len(objectives))
	for _, objective := range objectives {
		measured[objective.Service] = true
		value, _ := r.meters.LoadOrStore(objective.Service, new(meter))
		value.(*meter).latency.Store(int64(objective.Latency))
	}
	r.collect(time.Now())
	r.meters.Range(func(service, _ any) bool {
		if !measured[service.(string)] {
			r.meters.Delete(service)
		}
		return true
	})
}

// Record counts one request. complete is true if the request did not fail and
// the caller received the complete response; latency is the time from the
// arrival of the request to the end of the response. Requests of services
// without an objective are not counted.
func (r *Recorder) Record(service string, complete bool, latency time.Duration) {
	value, ok := r.meters.Load(service)
	if !ok {
		return
	}
	m := value.(*meter)
	switch {
	case !complete:
		m.failed.Add(1)
	case int64(latency) > m.latency.Load():
		m.slow.Add(1)
	default:
		m.good.Add(1)
	}
}

// unixMinute returns the minutes since the Unix epoch.
func unixMinute(t time.Time) int64 { return t.Unix() / 60 }

// collect adds the counts since the last collection to the current minute. It
// must run at least once a minute: a minute in which it never ran counts as not
// measured.
func (r *Recorder) collect(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := unixMinute(now)
	hour := r.hour(minute / minutesPerHour)
	hour.covered |= 1 << (minute % minutesPerHour)
	hour.dirty = true
	r.last = minute
	r.meters.Range(func(service, value any) bool {
		counts := value.(*meter).collect()
		if counts.Total > 0 {
			hour.minutes(service.(string))[minute%minutesPerHour].add(counts)
		}
		return true
	})
}

// hour returns the counts of an hour, which it creates if needed, and drops
// hours that are older than hoursInMemory.
func (r *Recorder) hour(hour int64) *hourCounts {
	counts := r.hours[hour]
	if counts == nil {
		counts = &hourCounts{series: make(map[string]*[minutesPerHour]Counts)}
		r.hours[hour] = counts
	}
	for h := range r.hours {
		if h <= hour-hoursInMemory {
			delete(r.hours, h)
		}
	}
	return counts
}

// minutes returns the counts of a service by minute, which it creates if needed.
func (h *hourCounts) minutes(service string) *[minutesPerHour]Counts {
	minutes := h.series[service]
	if minutes == nil {
		minutes = new([minutesPerHour]Counts)
		h.series[service] = minutes
	}
	return minutes
}
