package memory

import (
	"fmt"
	"time"
)

// FullError reports that a request is refused because there is no room for it.
type FullError struct {
	Cause Cause
	// Needed are the bytes for which there was no room; Used are the bytes of all uses then, of
	// which Uploads are for uploads.
	Needed, Used, Uploads, Limit int64
	// Evictable is the number of uploads that no server had got.
	Evictable int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("memory: no room for %d bytes (%s): %d of %d bytes are used", e.Needed, e.Cause, e.Used, e.Limit)
}

// Rank orders requests; the memory of those that rank last is taken first. The order is that of
// admission.Compare.
type Rank struct {
	// Priority is the priority; 0 is the most urgent.
	Priority int
	// LateFrom is the time from which the request can't meet its target any longer.
	LateFrom, Target, Deadline time.Time
	// Workspace is the workspace of the caller, Weight its weight; 0 if there is none.
	Workspace string
	Weight    float64
}

// class is what ranks before workspaces and times.
type class struct {
	late     bool
	priority int
}

func (c class) after(other class) bool {
	if c.late != other.late {
		return c.late
	}
	return c.priority > other.priority
}

func (r Rank) class(now time.Time) class {
	return class{late: now.After(r.LateFrom), priority: r.Priority}
}

func (r Rank) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// moment returns the time by which requests of the class are ordered.
func (r Rank) moment(c class) time.Time {
	if c.late {
		return r.Deadline
	}
	return r.Target
}

// Upload is the memory of the body of one request. Its methods but Evicted must not be called
// concurrently with each other.
type Upload struct {
	account *Account
	rank    Rank
	evicted chan struct{}

	// The mutex of account guards the rest. bytes is what is charged, read is set once the body
	// was read, kept once the memory can't be taken away any more.
	bytes      int64
	read, kept bool
	// full is why the memory was taken away.
	full *FullError
}

// NewUpload begins to account for a body that is to be read, of which length bytes will be held
// if it arrives whole. Only what is read is charged. It fails with [FullError] if there would be
// no room for the whole body now and the request ranks last.
func (a *Account) NewUpload(length int64, rank Rank, now time.Time) (*Upload, error) {
	u := &Upload{account: a, rank: rank, evicted: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Total()+length > a.uploadLimit && a.lastLocked(u, length, nil, now) == u {
		return nil, a.rejectLocked(UnreadUpload, length)
	}
	a.uploads[u] = struct{}{}
	return u, nil
}

// Grow charges n more bytes. If there is no room, it takes the memory of uploads that rank after
// this one. It fails with [FullError] if there are none, or if the memory of this one was taken.
// It does nothing if u is nil.
func (u *Upload) Grow(n int64, now time.Time) error {
	if u == nil {
		return nil
	}
	a := u.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if u.full != nil {
		return u.full
	}
	if !a.makeRoomLocked(u, n, a.uploadLimit, now) {
		u.evictLocked(n)
		return u.full
	}
	u.bytes += n
	a.Add(Uploads, n)
	a.peak = max(a.peak, a.Total())
	return nil
}

// Read records that the body was read whole. It does nothing if u is nil.
func (u *Upload) Read() {
	if u == nil {
		return
	}
	u.account.mu.Lock()
	defer u.account.mu.Unlock()
	u.read = true
}

// Keep makes the memory stay until Release, because the request is about to be sent. It fails
// with [FullError] if the memory was taken before. It does nothing if u is nil.
func (u *Upload) Keep() error {
	if u == nil {
		return nil
	}
	u.account.mu.Lock()
	defer u.account.mu.Unlock()
	if u.full != nil {
		return u.full
	}
	u.kept = true
	delete(u.account.uploads, u)
	return nil
}

// Full returns a [FullError] if the memory was taken away, else nil. It returns nil if u is nil.
func (u *Upload) Full() error {
	if u == nil {
		return nil
	}
	u.account.mu.Lock()
	defer u.account.mu.Unlock()
	if u.full != nil {
		return u.full
	}
	return nil
}

// Evicted returns a channel that is closed when the memory is taken away. The channel is nil if
// u is.
func (u *Upload) Evicted() <-chan struct{} {
	if u == nil {
		return nil
	}
	return u.evicted
}

// Release returns the memory. It does nothing if u is nil.
func (u *Upload) Release() {
	if u == nil {
		return
	}
	u.account.mu.Lock()
	defer u.account.mu.Unlock()
	u.releaseLocked()
}

func (u *Upload) releaseLocked() {
	u.account.Add(Uploads, -u.bytes)
	u.bytes = 0
	delete(u.account.uploads, u)
}

// evictLocked takes the memory away because needed bytes had no room.
func (u *Upload) evictLocked(needed int64) {
	cause := ReadingUpload
	switch {
	case u.read:
		cause = WaitingUpload
	case u.bytes == 0:
		cause = UnreadUpload
	}
	u.full = u.account.rejectLocked(cause, needed)
	u.releaseLocked()
	close(u.evicted)
}
