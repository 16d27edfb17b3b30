package proxy

import "sync/atomic"

// memoryLimit bounds the bytes reserved for buffered bodies.
type memoryLimit struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes and reports whether they were available.
func (m *memoryLimit) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *memoryLimit) release(n int64) { m.used.Add(-n) }

// bufferedSize returns the buffer memory that a body of the given length needs
// if up to limit bytes of it are buffered. A negative length is unknown.
func bufferedSize(length, limit int64) int64 {
	if length < 0 {
		return limit
	}
	return min(length, limit)
}
