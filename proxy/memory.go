package proxy

import "sync/atomic"

// memoryLimit bounds the bytes of bodies that are held at once.
type memoryLimit struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes and reports whether they were free.
func (m *memoryLimit) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *memoryLimit) release(n int64) { m.used.Add(-n) }

// heldSize is the room that a body of the given length needs, if up to hold
// bytes of it are held. A negative length is unknown.
func heldSize(length, hold int64) int64 {
	if length < 0 {
		return hold
	}
	return min(length, hold)
}
