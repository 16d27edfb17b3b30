package quarantine

import (
	"encoding/binary"
	"sync/atomic"
	"time"
)

const (
	// answerSlots is the number of requests whose last response is remembered, a power of
	// two. A slot takes 8 bytes.
	answerSlots = 1 << 15
	// A slot holds a time in milliseconds in its lower bits, then a bit that is set if a peer
	// told of the response, and bits that identify the request.
	answerTimeBits = 40
	answerTimeMask = 1<<answerTimeBits - 1
	answerTold     = 1 << answerTimeBits
)

// answers remembers when requests last received a response. It takes no lock, since it is
// written for each response. Of two requests with the same slot, only the one that received
// the later response is remembered.
type answers struct {
	start time.Time
	slots [answerSlots]atomic.Uint64
}

func newAnswers(now time.Time) *answers { return &answers{start: now} }

func (a *answers) slot(fp Fingerprint) *atomic.Uint64 {
	return &a.slots[binary.LittleEndian.Uint32(fp[:])%answerSlots]
}

func answerTag(fp Fingerprint) uint64 {
	return binary.LittleEndian.Uint64(fp[4:]) &^ (answerTimeMask | answerTold)
}

// add records a response. It rounds the time down, so that a response never seems later than
// it was, and drops times before the start of the process. told is set if a peer received it.
func (a *answers) add(fp Fingerprint, at time.Time, told bool) {
	since := at.Sub(a.start).Milliseconds()
	if since < 0 || !at.After(a.last(fp)) {
		return
	}
	v := answerTag(fp) | uint64(since+1)&answerTimeMask
	if told {
		v |= answerTold
	}
	a.slot(fp).Store(v)
}

// last returns when the request last received a response, or the zero time.
func (a *answers) last(fp Fingerprint) time.Time {
	at, _ := a.lookup(fp)
	return at
}

// lastOwn is like last, but returns the zero time if a peer told of that response. What peers
// told is late by the transit of the message, and would become later each time it is told again.
func (a *answers) lastOwn(fp Fingerprint) time.Time {
	if at, told := a.lookup(fp); !told {
		return at
	}
	return time.Time{}
}

func (a *answers) lookup(fp Fingerprint) (at time.Time, told bool) {
	v := a.slot(fp).Load()
	if v&answerTimeMask == 0 || v&^(answerTimeMask|answerTold) != answerTag(fp) {
		return time.Time{}, false
	}
	return a.start.Add(time.Duration(v&answerTimeMask-1) * time.Millisecond), v&answerTold != 0
}

// recordIndexSize is the number of buckets of a [recordIndex], a power of two.
const recordIndexSize = 1 << 12

// recordIndex tells without a lock whether a request may have a record. It is wrong for a
// request that shares its bucket with one that has a record, never for one that has one.
type recordIndex [recordIndexSize]atomic.Int32

func (x *recordIndex) bucket(fp Fingerprint) *atomic.Int32 {
	return &x[binary.LittleEndian.Uint32(fp[8:])%recordIndexSize]
}

func (x *recordIndex) mayContain(fp Fingerprint) bool { return x.bucket(fp).Load() != 0 }
