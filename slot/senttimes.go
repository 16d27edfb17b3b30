package slot

import "time"

// sentWindow is the number of recent messages whose sending times are kept.
const sentWindow = 32

// sentTimes has the sending times of the latest messages by seq.
type sentTimes struct {
	seqs  [sentWindow]uint64
	times [sentWindow]time.Time
}

func (s *sentTimes) put(seq uint64, at time.Time) {
	s.seqs[seq%sentWindow], s.times[seq%sentWindow] = seq, at
}

// at returns when seq was sent, or the zero time if that is not known.
func (s *sentTimes) at(seq uint64) time.Time {
	if seq == 0 || s.seqs[seq%sentWindow] != seq {
		return time.Time{}
	}
	return s.times[seq%sentWindow]
}

// maxElapsed returns the time since at by the monotonic or the wall clock,
// whichever is longer. The monotonic clock may stop while the host is suspended.
func maxElapsed(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
