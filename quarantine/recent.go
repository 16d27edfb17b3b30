package quarantine

import "time"

const (
	// recentAge is how long a generation of answered requests is filled;
	// an answer is remembered for one to two of it.
	recentAge = 30 * time.Second
	// maxRecent bounds a generation.
	maxRecent = 8192
)

// recentSet remembers requests that were answered recently, in two
// generations.
type recentSet struct {
	present, previous map[Fingerprint]time.Time
	began             time.Time
}

func (s *recentSet) add(fp Fingerprint, now time.Time) {
	s.rotate(now)
	if s.present == nil || len(s.present) >= maxRecent {
		s.previous, s.present, s.began = s.present, make(map[Fingerprint]time.Time), now
	}
	s.present[fp] = now
}

// fresh reports whether the present generation holds fp.
func (s *recentSet) fresh(fp Fingerprint, now time.Time) bool {
	_, ok := s.present[fp]
	return ok && now.Sub(s.began) <= recentAge
}

func (s *recentSet) has(fp Fingerprint, now time.Time) bool {
	s.rotate(now)
	return !s.last(fp).IsZero()
}

// last returns when fp was last added, or the zero time.
func (s *recentSet) last(fp Fingerprint) time.Time {
	if at, ok := s.present[fp]; ok {
		return at
	}
	return s.previous[fp]
}

func (s *recentSet) rotate(now time.Time) {
	age := now.Sub(s.began)
	if age <= recentAge {
		return
	}
	s.previous, s.present, s.began = s.present, nil, now
	if age > 2*recentAge {
		s.previous = nil
	}
}
