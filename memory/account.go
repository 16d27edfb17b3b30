// Package memory accounts for the memory of a process that grows with its load, and bounds it.
//
// An [Account] has one limit for all uses. Small requests and responses are charged
// without a lock. The bodies of uploads, which take most of it, are charged as they are read.
// If there is no room, what ranks last of the uploads that no server has got, and of the one
// that needs the room, loses its memory at once: nothing waits for memory, so nothing that
// waits can hold it for ever.
package memory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Use is what memory is used for.
type Use int

// Uses.
const (
	// Connections are the buffers of the connections of callers, peers and servers.
	Connections Use = iota
	// Requests are requests with their headers and small bodies.
	Requests
	// Uploads are the bodies of other requests.
	Uploads
	// Responses are the buffered bodies of responses.
	Responses
	numUses
)

var useNames = [numUses]string{"connections", "requests", "uploads", "responses"}

// String returns the name of the use in metrics.
func (u Use) String() string { return useNames[u] }

// AllUses returns all uses.
func AllUses() []Use { return []Use{Connections, Requests, Uploads, Responses} }

// Cause is the state in which a request was refused for lack of memory.
type Cause int

// Causes.
const (
	// SmallRequest is a request without a large body.
	SmallRequest Cause = iota
	// UnreadUpload is an upload of which nothing was read.
	UnreadUpload
	// ReadingUpload is one of which a part was read.
	ReadingUpload
	// WaitingUpload is one that was read and had not been sent to a server.
	WaitingUpload
	// BufferedResponse is a response that was streamed instead of buffered. No request is
	// refused for it.
	BufferedResponse
	numCauses
)

var causeNames = [numCauses]string{"small", "unread", "reading", "waiting", "response"}

// String returns the name of the cause in metrics and logs.
func (c Cause) String() string { return causeNames[c] }

// AllCauses returns all causes.
func AllCauses() []Cause {
	return []Cause{SmallRequest, UnreadUpload, ReadingUpload, WaitingUpload, BufferedResponse}
}

// uploadShare is the share of the limit up to which uploads may be read. The rest is for small
// requests and responses.
const uploadShare = 0.75

// Account is the memory that grows with the load of a process. It is safe for concurrent use.
type Account struct {
	// limit bounds all uses, uploadLimit all uses when an upload needs room.
	limit, uploadLimit int64
	used               [numUses]atomic.Int64
	// load is the sum of all uses but connections.
	load     atomic.Int64
	rejected [numCauses]atomic.Uint64

	mu sync.Mutex
	// uploads are those whose memory can be taken away.
	uploads map[*Upload]struct{}
	peak    int64
}

// NewAccount returns an account with the given limit in bytes; 0 means that there is none.
func NewAccount(limit int64) *Account {
	a := &Account{limit: limit, uploadLimit: int64(uploadShare * float64(limit)), uploads: make(map[*Upload]struct{})}
	if limit <= 0 {
		a.limit, a.uploadLimit = math.MaxInt64, math.MaxInt64
	}
	return a
}

// Limit returns the limit in bytes, 0 if there is none.
func (a *Account) Limit() int64 {
	if a.limit == math.MaxInt64 {
		return 0
	}
	return a.limit
}

// Add charges bytes whether or not there is room, or returns them if n is negative.
func (a *Account) Add(use Use, n int64) {
	a.used[use].Add(n)
	if use != Connections {
		a.load.Add(n)
	}
}

// Used returns the bytes charged for a use.
func (a *Account) Used(use Use) int64 { return a.used[use].Load() }

// Load returns the bytes charged for all uses but connections.
func (a *Account) Load() int64 { return a.load.Load() }

// Total returns the bytes charged for all uses.
func (a *Account) Total() int64 { return a.load.Load() + a.Used(Connections) }

// Peak returns the most bytes that were charged at once, as far as it was seen when an upload
// was charged.
func (a *Account) Peak() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak
}

// Rejected returns how many requests were refused for a cause.
func (a *Account) Rejected(cause Cause) uint64 { return a.rejected[cause].Load() }

// TryAdd charges bytes if there is room and reports whether there was.
//
// Open connections don't count here, so that they don't make small requests fail; their number is
// limited by that of the file descriptors.
func (a *Account) TryAdd(use Use, n int64) bool {
	for {
		load := a.load.Load()
		if load+n > a.limit {
			return false
		}
		if a.load.CompareAndSwap(load, load+n) {
			a.used[use].Add(n)
			return true
		}
	}
}

// AddRequest charges the bytes of a small request for which TryAdd found no room: it takes the
// memory of uploads that rank after the request. It fails with [FullError] if there are none.
func (a *Account) AddRequest(n int64, rank Rank, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u := (&Upload{account: a, rank: rank}); !a.makeRoomLocked(u, n, a.limit+a.Used(Connections), now) {
		return a.rejectLocked(SmallRequest, n)
	}
	a.Add(Requests, n)
	return nil
}

// TryAddResponse charges bytes for buffering a response and reports whether there is room. If
// not, the response is streamed.
func (a *Account) TryAddResponse(n int64) bool {
	if a.TryAdd(Responses, n) {
		return true
	}
	a.rejected[BufferedResponse].Add(1)
	return false
}

// rejectLocked counts a request that is refused and returns why.
func (a *Account) rejectLocked(cause Cause, needed int64) *FullError {
	a.rejected[cause].Add(1)
	return &FullError{Cause: cause, Needed: needed, Used: a.Total(), Uploads: a.Used(Uploads), Limit: a.limit, Evictable: len(a.uploads)}
}

// makeRoomLocked takes the memory of the uploads that rank last until n more bytes fit into the
// limit for u. It reports false if u itself ranks last among those that are left.
func (a *Account) makeRoomLocked(u *Upload, n, limit int64, now time.Time) bool {
	excluded := make(map[*Upload]bool)
	for needed := a.Total() + n - limit; needed > 0; {
		last := a.lastLocked(u, n, excluded, now)
		if last == u {
			return false
		}
		excluded[last] = true
		needed -= last.bytes
	}
	for last := range excluded {
		last.evictLocked(n)
	}
	return true
}

// lastLocked returns the upload that ranks last: of the last class of lateness and priority,
// that of the workspace that holds the most for its weight, and of these, the one with the latest
// target or deadline. u counts with n more bytes. Uploads that hold nothing, and those excluded, are
// left out.
func (a *Account) lastLocked(u *Upload, n int64, excluded map[*Upload]bool, now time.Time) *Upload {
	left := func(o *Upload) bool { return o == u || o.bytes > 0 && !excluded[o] }
	class := u.rank.class(now)
	for other := range a.uploads {
		if c := other.rank.class(now); left(other) && c.after(class) {
			class = c
		}
	}
	inClass := func(o *Upload) bool { return left(o) && o.rank.class(now) == class }
	held := make(map[string]float64)
	if inClass(u) {
		held[u.rank.Workspace] = float64(n) / u.rank.weight()
	}
	for other := range a.uploads {
		if inClass(other) {
			held[other.rank.Workspace] += float64(other.bytes) / other.rank.weight()
		}
	}
	var last *Upload
	before := func(o *Upload) bool {
		if last == nil {
			return true
		}
		if h, most := held[o.rank.Workspace], held[last.rank.Workspace]; h != most {
			return h > most
		}
		return o.rank.moment(class).After(last.rank.moment(class))
	}
	if inClass(u) {
		last = u
	}
	for other := range a.uploads {
		if other != u && inClass(other) && before(other) {
			last = other
		}
	}
	return last
}
