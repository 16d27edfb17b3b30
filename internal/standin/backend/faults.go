package backend

import (
	"math/rand/v2"
	"time"
)

// Faults are the faults that a server injects. The zero value injects none. A
// percentage is the probability that the fault applies to a request.
type Faults struct {
	// SlowFactor multiplies every service time; 0 and 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// Episodes slow the server down for random periods.
	Episodes Episodes `json:"episodes"`
	// ColdFactor multiplies service times during the first ColdMS
	// milliseconds after the faults were set. Health checks say how much of
	// that time is left.
	ColdFactor float64 `json:"cold_factor"`
	ColdMS     int64   `json:"cold_ms"`
	// ColdMost is the number of requests in a second above which the process
	// exits while it is cold; 0 disables it.
	ColdMost int `json:"cold_most"`
	// Draining sets Server-Draining on every response and refuses new work
	// after DrainRefuseMS milliseconds.
	Draining      bool  `json:"draining"`
	DrainRefuseMS int64 `json:"drain_refuse_ms"`
	// Shed refuses requests that find no free slot.
	Shed bool `json:"shed"`
	// FailPercent of the requests fail immediately with status 500.
	FailPercent int `json:"fail_percent"`
	// TruncatePercent of the responses end in the middle of the body.
	TruncatePercent int `json:"truncate_percent"`
	// LatePercent of the responses are delayed by LateMS milliseconds after
	// the slot is released.
	LatePercent int   `json:"late_percent"`
	LateMS      int64 `json:"late_ms"`
	// CutPercent of the requests run, but their connection is closed without a
	// response.
	CutPercent int `json:"cut_percent"`
	// MisleadingLoad makes load reports claim that no request is in flight.
	MisleadingLoad bool `json:"misleading_load"`
	// CancelLagMS is how long a request goes on running, in milliseconds, after
	// it was cancelled or its deadline passed.
	CancelLagMS int64 `json:"cancel_lag_ms"`
	// Unhealthy makes /health return status 503; work is still served.
	Unhealthy bool `json:"unhealthy"`
}

// Episodes are random periods during which a server is slower. The gaps between
// them are exponentially distributed.
type Episodes struct {
	// Factor multiplies service times during an episode; episodes are disabled
	// unless it is above 1.
	Factor     float64 `json:"factor"`
	DurationMS int64   `json:"duration_ms"`
	MeanGapMS  int64   `json:"mean_gap_ms"`
	// Seed is combined with the server's own seed.
	Seed uint64 `json:"seed"`
}

const millisecond = time.Millisecond

func milliseconds(n int64) time.Duration { return time.Duration(n) * millisecond }

type episode struct {
	start, end time.Duration
}

// schedule holds the slow episodes of a server, relative to the time at which
// its faults were set. It draws further episodes on demand.
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
// before from, except for the latest.
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

// finishTime returns when work that begins at start is finished.
func (s *schedule) finishTime(start, work time.Duration) time.Duration {
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

// faultState holds the active faults and their run-time state.
type faultState struct {
	Faults
	since    time.Time
	schedule *schedule
	rng      *rand.Rand
	// arrivals are the times of the requests of the last second while cold.
	arrivals []time.Time
}

func newFaultState(faults Faults, serverSeed uint64, now time.Time) *faultState {
	return &faultState{
		Faults:   faults,
		since:    now,
		schedule: newSchedule(faults.Episodes, serverSeed),
		rng:      rand.New(rand.NewPCG(serverSeed, faults.Episodes.Seed+1)),
	}
}

// finishTime returns when work that begins now is finished.
func (f *faultState) finishTime(now time.Time, work time.Duration) time.Time {
	if f.SlowFactor > 1 {
		work = time.Duration(float64(work) * f.SlowFactor)
	}
	age := now.Sub(f.since)
	if f.ColdFactor > 1 && f.coldLeft(now) > 0 {
		work = time.Duration(float64(work) * f.ColdFactor)
	}
	return f.since.Add(f.schedule.finishTime(age, work))
}

// coldLeft returns the time for which the server stays cold.
func (f *faultState) coldLeft(now time.Time) time.Duration {
	return max(milliseconds(f.ColdMS)-now.Sub(f.since), 0)
}

// overwhelmed counts a request and reports whether it is one too many for a cold server.
func (f *faultState) overwhelmed(now time.Time) bool {
	if f.ColdMost <= 0 || f.coldLeft(now) == 0 {
		return false
	}
	f.arrivals = append(f.arrivals, now)
	for now.Sub(f.arrivals[0]) >= time.Second {
		f.arrivals = f.arrivals[1:]
	}
	return len(f.arrivals) > f.ColdMost
}

func (f *faultState) refusesNewWork(now time.Time) bool {
	return f.Draining && now.Sub(f.since) >= milliseconds(f.DrainRefuseMS)
}

// applies draws at random whether a fault with this percentage applies.
func (f *faultState) applies(percent int) bool {
	return percent > 0 && f.rng.IntN(100) < percent
}
