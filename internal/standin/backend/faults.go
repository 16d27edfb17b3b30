package backend

import (
	"math/rand/v2"
	"time"
)

// Faults are the switchable faults of a backend server. The zero value has no
// fault. Percentages apply to each request at random.
type Faults struct {
	// SlowFactor stretches every service time; 0 and 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// Episodes slow the server down at random.
	Episodes Episodes `json:"episodes"`
	// ColdFactor stretches service times during the first ColdMS
	// milliseconds.
	ColdFactor float64 `json:"cold_factor"`
	ColdMS     int64   `json:"cold_ms"`
	// Draining marks every answer with Server-Draining and refuses new work
	// after DrainRefuseMS milliseconds.
	Draining      bool  `json:"draining"`
	DrainRefuseMS int64 `json:"drain_refuse_ms"`
	// Shed refuses requests that find no free slot.
	Shed bool `json:"shed"`
	// FailPercent of the requests answer 500 at once.
	FailPercent int `json:"fail_percent"`
	// TruncatePercent of the answers are cut in the middle of the body.
	TruncatePercent int `json:"truncate_percent"`
	// LatePercent of the answers are held back for LateMS milliseconds after
	// the slot is free again.
	LatePercent int   `json:"late_percent"`
	LateMS      int64 `json:"late_ms"`
	// CutPercent of the answers are replaced by a closed connection after
	// the request ran.
	CutPercent int `json:"cut_percent"`
	// MisleadingLoad reports no request in flight, whatever the truth.
	MisleadingLoad bool `json:"misleading_load"`
	// CancelLagMS is how long a request goes on after its caller is gone.
	CancelLagMS int64 `json:"cancel_lag_ms"`
	// Unhealthy makes /health answer 503 while work goes on.
	Unhealthy bool `json:"unhealthy"`
}

// Episodes are random times in which a server works slower. Gaps between them
// are exponentially distributed.
type Episodes struct {
	// Factor is how many times slower; 0 disables episodes.
	Factor     float64 `json:"factor"`
	DurationMS int64   `json:"duration_ms"`
	MeanGapMS  int64   `json:"mean_gap_ms"`
	// Seed is mixed with the server's own seed.
	Seed uint64 `json:"seed"`
}

const millisecond = time.Millisecond

func milliseconds(n int64) time.Duration { return time.Duration(n) * millisecond }

type episode struct {
	start, end time.Duration
}

// schedule holds the times at which a server is slow, relative to the time
// its faults were set. It draws further episodes when they are needed.
type schedule struct {
	settings Episodes
	rng      *rand.Rand
	episodes []episode
}

func newSchedule(settings Episodes, serverSeed uint64) *schedule {
	return &schedule{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, serverSeed))}
}

func (s *schedule) enabled() bool {
	return s.settings.Factor > 1 && s.settings.DurationMS > 0 && s.settings.MeanGapMS > 0
}

// extend draws episodes until one ends after t, and drops those that ended
// before from.
func (s *schedule) extend(from, t time.Duration) {
	last := time.Duration(0)
	if n := len(s.episodes); n > 0 {
		last = s.episodes[n-1].end
	}
	for last <= t {
		gap := time.Duration(s.rng.ExpFloat64() * float64(milliseconds(s.settings.MeanGapMS)))
		next := episode{start: last + gap, end: last + gap + milliseconds(s.settings.DurationMS)}
		s.episodes = append(s.episodes, next)
		last = next.end
	}
	for len(s.episodes) > 1 && s.episodes[0].end < from {
		s.episodes = s.episodes[1:]
	}
}

// finish returns when work that starts at the time start is done.
func (s *schedule) finish(start, work time.Duration) time.Duration {
	if !s.enabled() {
		return start + work
	}
	slowest := start + time.Duration(float64(work)*s.settings.Factor)
	s.extend(start, slowest)
	now := start
	for _, slow := range s.episodes {
		if slow.end <= now {
			continue
		}
		if now < slow.start {
			fast := slow.start - now
			if work <= fast {
				return now + work
			}
			work -= fast
			now = slow.start
		}
		needed := time.Duration(float64(work) * s.settings.Factor)
		if now+needed <= slow.end {
			return now + needed
		}
		work -= time.Duration(float64(slow.end-now) / s.settings.Factor)
		now = slow.end
	}
	return now + work
}

// faultState is the active faults with what they need at run time.
type faultState struct {
	Faults
	since    time.Time
	schedule *schedule
	rng      *rand.Rand
}

func newFaultState(faults Faults, serverSeed uint64, now time.Time) *faultState {
	return &faultState{
		Faults:   faults,
		since:    now,
		schedule: newSchedule(faults.Episodes, serverSeed),
		rng:      rand.New(rand.NewPCG(serverSeed, faults.Episodes.Seed+1)),
	}
}

// finish returns when work that starts now is done.
func (f *faultState) finish(now time.Time, work time.Duration) time.Time {
	if f.SlowFactor > 1 {
		work = time.Duration(float64(work) * f.SlowFactor)
	}
	age := now.Sub(f.since)
	if f.ColdFactor > 1 && age < milliseconds(f.ColdMS) {
		work = time.Duration(float64(work) * f.ColdFactor)
	}
	return f.since.Add(f.schedule.finish(age, work))
}

func (f *faultState) refusesNewWork(now time.Time) bool {
	return f.Draining && now.Sub(f.since) >= milliseconds(f.DrainRefuseMS)
}

// hits draws whether a fault with this percentage applies.
func (f *faultState) hits(percent int) bool {
	return percent > 0 && f.rng.IntN(100) < percent
}
