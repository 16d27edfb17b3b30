package forward

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/memory"
	"github.com/pomelolock/pomelolock/outcome"
)

const (
	// requestBytes is the memory that a request takes without its body: its headers and those
	// of its response, the stacks of its goroutines, and a response of up to smallResponse.
	requestBytes = 26 << 10
	// smallBody is the size in bytes up to which a request body is charged with its request.
	smallBody = 16 << 10
	// smallResponse is the size in bytes up to which a response is not charged on its own.
	smallResponse = 8 << 10
	// bodyChunk is the number of bytes by which longer bodies are charged and read.
	bodyChunk = 64 << 10
	// minBodyChunk is the first chunk of a body of unknown length.
	minBodyChunk = 4 << 10
	// discardTimeout is how long a refusal waits for the rest of a short body that is arriving.
	discardTimeout = 20 * time.Millisecond
)

// held is the memory that one exchange holds.
type held struct {
	account *memory.Account
	// request is the charge for the request and a small body, upload that for a longer body.
	request int64
	upload  *memory.Upload

	// Attempts that lost a race end after the exchange; they get no memory once it is released.
	mu        sync.Mutex
	responses int64
	released  bool
}

// rank returns what decides whether the memory of the request is taken for others.
func (x *exchange) rank() memory.Rank {
	r := x.queued()
	return memory.Rank{
		Priority: r.Priority, LateFrom: r.Target.Add(-x.f.queue(x.service.Name).expectedTime()), Target: r.Target,
		Deadline: r.Deadline, Workspace: r.Workspace, Weight: r.Weight,
	}
}

// expectedTime returns the estimated service time.
func (q *queue) expectedTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.serviceTime
}

// chargeRequest charges the request, and its body unless that is an upload.
func (x *exchange) chargeRequest() error {
	x.held.account = x.f.opts.Memory
	n := int64(requestBytes)
	if length := x.in.ContentLength; 0 < length && length <= smallBody {
		n += length
	}
	if !x.held.account.TryAdd(memory.Requests, n) {
		if err := x.held.account.AddRequest(n, x.rank(), time.Now()); err != nil {
			return err
		}
	}
	x.held.request = n
	return nil
}

// chargeUpload begins to charge a body that is longer than smallBody or of unknown length.
func (x *exchange) chargeUpload() error {
	length := x.in.ContentLength
	if length >= 0 && length <= smallBody || x.in.Body == nil || x.in.Body == http.NoBody {
		return nil
	}
	if length < 0 {
		length = minBodyChunk
	}
	var err error
	x.held.upload, err = x.held.account.NewUpload(min(length, maxBufferedRequest), x.rank(), time.Now())
	return err
}

// release returns the memory of the exchange to the account.
func (h *held) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	if h.account == nil {
		return
	}
	h.upload.Release()
	if h.request > 0 {
		h.account.Add(memory.Requests, -h.request)
	}
	h.releaseResponsesLocked()
}

// releaseResponses returns the memory of the buffered part of a response that was written.
func (h *held) releaseResponses() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releaseResponsesLocked()
}

// returnResponse returns n bytes of a response that is not passed on.
func (h *held) returnResponse(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n = min(n, h.responses); n > 0 {
		h.account.Add(memory.Responses, -n)
		h.responses -= n
	}
}

func (h *held) releaseResponsesLocked() {
	if h.responses > 0 {
		h.account.Add(memory.Responses, -h.responses)
		h.responses = 0
	}
}

// addResponse charges n bytes of a response and reports whether there is room.
func (h *held) addResponse(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || !h.account.TryAddResponse(n) {
		return false
	}
	h.responses += n
	return true
}

// noMemory logs a request for which there is no room, and returns its error. Nothing of it was
// sent to a server.
func (x *exchange) noMemory(err error) *outcome.Error {
	var full *memory.FullError
	if errors.As(err, &full) {
		x.log("refused for memory", slog.String("state", full.Cause.String()), slog.Int64("length", x.in.ContentLength),
			slog.Int64("needed", full.Needed), slog.Int64("used", full.Used), slog.Int64("uploads", full.Uploads),
			slog.Int64("limit", full.Limit), slog.Int("evictable", full.Evictable), slog.Int("priority", x.priority()),
			slog.Duration("left", time.Until(x.deadline)))
	}
	if x.body == nil {
		x.discardBody()
	}
	failed := x.refusal(outcome.CodeOverload, "the instance has no memory for the request")
	failed.Err = err
	return failed
}

// discardBody reads a short body that has arrived, without keeping it: the connection of a caller
// whose body was not read is closed after the response.
func (x *exchange) discardBody() {
	if length := x.in.ContentLength; length <= 0 || length > bodyChunk {
		return
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, x.in.Body)
	_ = rc.SetReadDeadline(time.Time{})
}

// chargedReader reads a body into chunks, each of which is charged before it is read. Reading
// ends early, with a deadline in the past, if the memory is taken away.
type chargedReader struct {
	upload *memory.Upload
	r      io.Reader
	// left is the number of bytes that are still to come, or less than 0 if it is unknown.
	left int64
}

// readChunks reads up to limit bytes. It reports whether that is the whole body.
func (c *chargedReader) readChunks(limit int) (chunks [][]byte, size int, whole bool, err error) {
	for size < limit {
		want := min(bodyChunk, limit-size)
		if c.left >= 0 {
			// The last byte reads the end of the body where it does not come with the data.
			want = int(min(int64(want), max(c.left, 1)))
		} else {
			want = min(want, max(size, minBodyChunk))
		}
		if err := c.upload.Grow(int64(want), time.Now()); err != nil {
			return nil, 0, false, err
		}
		chunk := make([]byte, want)
		n, err := readFull(c.r, chunk)
		if n > 0 {
			chunks = append(chunks, chunk[:n])
			size += n
			if c.left >= 0 {
				c.left = max(c.left-int64(n), 0)
			}
		}
		if errors.Is(err, io.EOF) {
			return chunks, size, true, nil
		}
		if err != nil {
			return nil, 0, false, err
		}
	}
	return chunks, size, false, nil
}

// readFull fills p, unless the body ends or fails before. Other than [io.ReadFull], it returns an
// error that came with the last bytes.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

// endReadOnEviction makes reads of the body fail when the memory of the upload is taken away. The
// returned function ends that; the read deadline doesn't change after it has returned.
func endReadOnEviction(rc *http.ResponseController, upload *memory.Upload) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-upload.Evicted():
			_ = rc.SetReadDeadline(time.Unix(1, 0))
		case <-done:
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// bufferBody buffers the body of a response up to maxBufferedResponse. If there is no memory for
// that, it buffers up to smallResponse.
func (x *exchange) bufferBody(server string, resp *http.Response) (*response, error) {
	out := &response{server: server, status: resp.StatusCode, header: hop.EndToEnd(resp.Header), length: resp.ContentLength}
	length, limit := resp.ContentLength, smallResponse
	if x.in.Method == http.MethodHead {
		// The response to HEAD announces a length without a body.
		length = 0
	}
	charge := func(n int64) bool {
		if n <= smallResponse || !x.held.addResponse(n) {
			return false
		}
		out.charged, limit = n, maxBufferedResponse
		return true
	}
	charge(min(length, maxBufferedResponse))
	buffered, complete, err := readUpTo(resp.Body, nil, length, limit)
	if err == nil && !complete && length < 0 && charge(maxBufferedResponse) {
		buffered, complete, err = readUpTo(resp.Body, buffered, -1, limit)
	}
	if err != nil {
		x.held.returnResponse(out.charged)
		_ = resp.Body.Close()
		return nil, err
	}
	out.buffered = buffered
	if !complete {
		out.rest = resp.Body
		return out, nil
	}
	_ = resp.Body.Close()
	return out, nil
}

// readUpTo reads a body up to limit and one more byte, and reports whether it is complete. begin is
// what was read before, length that of the body, or -1 if unknown. The buffer doesn't exceed that
// size.
func readUpTo(body io.Reader, begin []byte, length int64, limit int) (buffered []byte, complete bool, err error) {
	buffered = begin
	if buffered == nil {
		size := minBodyBuffer
		if 0 <= length && length <= int64(limit) {
			// Room for the read that meets the end of the body.
			size = int(length) + 1
		}
		buffered = make([]byte, 0, size)
	}
	for {
		if len(buffered) == cap(buffered) {
			size := 2 * cap(buffered)
			if size >= limit {
				size = limit + 1
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		n, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffered, len(buffered) <= limit, nil
		case err != nil:
			return nil, false, err
		case len(buffered) > limit:
			return buffered, false, nil
		}
	}
}
