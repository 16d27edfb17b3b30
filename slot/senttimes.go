package slot

import "time"

// sentWindow is the number of recent messages whose times are kept.
const sentWindow = 32

// sentTimes keeps when the latest messages were sent, by their seq.
type sentTimes struct {
	seqs  [sentWindow]uint64
	times [sentWindow]time.Time
}

func (s *sentTimes) put(seq uint64, at time.Time) {
	s.seqs[seq%sentWindow], s.times[seq%sentWindow] = seq, at
}

// at returns when seq was sent, or the zero time if that is no longer known.
func (s *sentTimes) at(seq uint64) time.Time {
	if seq == 0 || s.seqs[seq%sentWindow] != seq {
		return time.Time{}
	}
	return s.times[seq%sentWindow]
}

// mostElapsed returns the longer of the monotonic and the wall clock's time
// since at. The monotonic clock may stand still while the host is suspended.
func mostElapsed(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
