package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// Objective is the promise of a service.
type Objective struct {
	Service string `json:"service"`
	// Percent is the share of requests that must be good.
	Percent float64 `json:"percent"`
	// Latency bounds the answer of a good request.
	Latency time.Duration `json:"latency_ns"`
}

// allowed returns the share of requests that may miss the objective.
func (o Objective) allowed() float64 { return 1 - o.Percent/100 }

// Counts are requests by how they ended.
type Counts struct {
	Total uint64 `json:"total"`
	// Whole counts whole answers, and Good those within the bound.
	Whole uint64 `json:"whole"`
	Good  uint64 `json:"good"`
}

func (c *Counts) add(other Counts) {
	c.Total += other.Total
	c.Whole += other.Whole
	c.Good += other.Good
}

// meter counts the requests of one service since the last collection.
type meter struct {
	latency atomic.Int64
	total   atomic.Uint64
	whole   atomic.Uint64
	good    atomic.Uint64
}

func (m *meter) collect() Counts {
	return Counts{Total: m.total.Swap(0), Whole: m.whole.Swap(0), Good: m.good.Swap(0)}
}

// Recorder counts the requests that this process answered. It is safe for
// concurrent use, and [Recorder.Record] takes no lock.
type Recorder struct {
	meters sync.Map // service name to *meter

	mu    sync.Mutex
	hours map[int64]*hourCounts
	// last is the minute that was collected last.
	last int64
}

// hourCounts are the counts of one hour that are kept in memory.
type hourCounts struct {
	covered uint64
	ended   bool
	series  map[string]*[minutesPerHour]Counts
	// dirty tells that the hour's object is behind.
	dirty bool
}

const (
	minutesPerHour = 60
	// hoursInMemory bounds the hours that wait for the store.
	hoursInMemory = 6
)

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{hours: make(map[int64]*hourCounts)}
}

// SetObjectives replaces the services that are measured. Counts of a service
// that stays are kept.
func (r *Recorder) SetObjectives(objectives []Objective) {
	named := make(map[string]bool, len(objectives))
	for _, objective := range objectives {
		named[objective.Service] = true
		value, _ := r.meters.LoadOrStore(objective.Service, new(meter))
		value.(*meter).latency.Store(int64(objective.Latency))
	}
	r.collect(time.Now())
	r.meters.Range(func(service, _ any) bool {
		if !named[service.(string)] {
			r.meters.Delete(service)
		}
		return true
	})
}

// Record counts one request. Whole tells that the caller received the whole
// answer of a request that did not fail; latency is the time from its arrival
// to the end of the answer. Requests of unknown services are not counted.
func (r *Recorder) Record(service string, whole bool, latency time.Duration) {
	value, ok := r.meters.Load(service)
	if !ok {
		return
	}
	m := value.(*meter)
	m.total.Add(1)
	if !whole {
		return
	}
	m.whole.Add(1)
	if int64(latency) <= m.latency.Load() {
		m.good.Add(1)
	}
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

// collect moves the counts since the last collection into the present minute.
// It has to run at least once a minute; a minute in which it never ran is not
// covered.
func (r *Recorder) collect(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := minuteOf(now)
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

// hour returns the counts of an hour and drops those that waited too long.
func (r *Recorder) hour(hour int64) *hourCounts {
	counts := r.hours[hour]
	if counts == nil {
		counts = &hourCounts{series: make(map[string]*[minutesPerHour]Counts)}
		r.hours[hour] = counts
	}
	for old := range r.hours {
		if old <= hour-hoursInMemory {
			delete(r.hours, old)
		}
	}
	return counts
}

func (h *hourCounts) minutes(service string) *[minutesPerHour]Counts {
	minutes := h.series[service]
	if minutes == nil {
		minutes = new([minutesPerHour]Counts)
		h.series[service] = minutes
	}
	return minutes
}
