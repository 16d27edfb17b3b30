package quarantine

import "time"

const (
	// generationAge is how long a generation is filled. An entry is kept for
	// one to two times as long, or less if the generations are full.
	generationAge = 30 * time.Second
	// maxGenerationSize bounds the entries of a generation.
	maxGenerationSize = 8192
)

// recentSet holds the requests that received a response recently and the time of
// the response, in two generations.
type recentSet struct {
	current, previous map[Fingerprint]time.Time
	startedAt         time.Time
}

func (s *recentSet) add(fp Fingerprint, now time.Time) {
	s.rotate(now)
	if s.current == nil || len(s.current) >= maxGenerationSize {
		s.previous, s.current, s.startedAt = s.current, make(map[Fingerprint]time.Time), now
	}
	s.current[fp] = now
}

// inCurrent reports whether the current generation holds fp and is not due for
// rotation. Unlike contains, it changes nothing.
func (s *recentSet) inCurrent(fp Fingerprint, now time.Time) bool {
	_, ok := s.current[fp]
	return ok && now.Sub(s.startedAt) <= generationAge
}

func (s *recentSet) contains(fp Fingerprint, now time.Time) bool {
	s.rotate(now)
	return !s.last(fp).IsZero()
}

// last returns when fp was last added, or the zero time.
func (s *recentSet) last(fp Fingerprint) time.Time {
	if at, ok := s.current[fp]; ok {
		return at
	}
	return s.previous[fp]
}

func (s *recentSet) rotate(now time.Time) {
	age := now.Sub(s.startedAt)
	if age <= generationAge {
		return
	}
	s.previous, s.current, s.startedAt = s.current, nil, now
	if age > 2*generationAge {
		s.previous = nil
	}
}
