package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
)

const (
	bufferSize = 4 << 10
	// lingerTimeout is how long to wait for the caller to close the connection
	// after the last response and the last bytes that it has sent.
	lingerTimeout = 500 * time.Millisecond
	// maxLinger bounds the wait for a caller that goes on sending the body of a request that was
	// refused.
	maxLinger = 5 * time.Second
	// arrivedTimeout is how long a draining connection waits for a request whose bytes may
	// have arrived without having been read.
	arrivedTimeout = 20 * time.Millisecond
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// conn is the connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *hop.HeadReader
	reader *bufio.Reader
	writer *bufio.Writer
	// ctx ends when the connection has failed or either side has closed it.
	ctx    context.Context
	cancel context.CancelFunc
	// slots limits the requests handled concurrently.
	slots chan struct{}

	mu sync.Mutex
	// pending is the number of requests read whose responses are incomplete.
	pending int
	// closing is set when no further requests are accepted.
	closing bool
	// finishing is set when the connection is read only to discard what follows the last request.
	finishing bool
	// draining is set when the connection closes as soon as no request is in flight.
	draining bool
	// awaiting is set while the reading goroutine waits for the first byte of a request.
	awaiting bool
	// last is the response to the newest request.
	last *response
	// streams is the number of incomplete responses that may break off.
	streams int
	// discarded counts the bytes that the caller sent after the last request.
	discarded byteCounter
}

func newConn(s *Server, raw net.Conn) *conn {
	limit := hop.NewHeadReader(raw)
	c := &conn{
		server: s, raw: raw, limit: limit,
		reader: bufio.NewReaderSize(limit, bufferSize),
		writer: bufio.NewWriterSize(raw, bufferSize),
		slots:  make(chan struct{}, maxPipelined),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the caller closes the connection or it has to be closed.
func (c *conn) serve() {
	defer c.server.remove(c)
	// turn is closed when all responses before the next one have been written.
	turn := make(chan struct{})
	close(turn)
	for c.awaitRequest() {
		req, err := c.readRequest()
		if err != nil {
			c.rejectRequest(err, turn)
			break
		}
		arrivedAt := time.Now()
		c.takeSlot()
		resp, ok := c.begin(req, arrivedAt, turn)
		if !ok {
			break
		}
		turn = resp.done
		if !req.ProtoAtLeast(1, 1) {
			// The response may have to close the connection, since HTTP/1.0 has no chunked
			// encoding. A request behind it would count as not read then.
			resp.BeginStream()
		}
		go c.handle(resp)
		if !c.awaitBody(resp) || req.Close {
			break
		}
	}
	c.finish(turn)
}

// finish closes the connection after the last response. If the caller closes it first,
// the in-flight requests are cancelled.
func (c *conn) finish(turn <-chan struct{}) {
	c.mu.Lock()
	c.closing, c.finishing = true, true
	_ = c.raw.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	// What follows is no head, and an error of the limit would be taken for the caller's close.
	c.limit.Unlimit()
	callerClosed := make(chan struct{})
	go func() {
		defer close(callerClosed)
		// Discards further requests and waits for the caller to close the connection.
		if _, err := io.Copy(&c.discarded, c.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
	<-turn
	// Closing a connection with unread bytes resets it, which could destroy the
	// last response.
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.linger(callerClosed)
	c.raw.Close()
	c.cancel()
}

// linger waits until the caller has closed the connection. It waits longer for a caller that
// still sends, unless the server stops.
func (c *conn) linger(callerClosed <-chan struct{}) {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	end := time.Now().Add(maxLinger)
	ticker := time.NewTicker(lingerTimeout / 4)
	defer ticker.Stop()
	for discarded := c.discarded.Load(); ; {
		select {
		case <-callerClosed:
			return
		case now := <-ticker.C:
			if n := c.discarded.Load(); n != discarded && now.Before(end) && !c.server.stopping.Load() {
				discarded = n
				_ = c.raw.SetReadDeadline(now.Add(lingerTimeout))
			}
		}
	}
}

// byteCounter counts the bytes that are written to it.
type byteCounter struct{ atomic.Int64 }

// Write implements [io.Writer].
func (b *byteCounter) Write(p []byte) (int, error) {
	b.Add(int64(len(p)))
	return len(p), nil
}

// awaitRequest waits for the first byte of the next request. It returns false if the
// connection has to be closed or was closed by the caller.
func (c *conn) awaitRequest() bool {
	idleSince := time.Now()
	c.limitHead()
	for {
		limit := withSlack(c.server.opts.Limits().IdleTimeout)
		draining, ok := c.beginAwait(idleSince.Add(limit))
		if !ok {
			return false
		}
		if draining {
			return c.requestArrived()
		}
		_, err := c.reader.Peek(1)
		idle := c.endAwait()
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return false
		}
		if idle && time.Since(idleSince) >= limit {
			return false
		}
		if !idle {
			idleSince = time.Now()
		}
	}
}

// limitHead limits the bytes that may be read for the head of the next request. Those that are already
// buffered count towards the limit.
func (c *conn) limitHead() {
	c.limit.Limit(c.server.opts.Limits().HeaderBytes - int64(c.reader.Buffered()))
}

// beginAwait sets the read deadline for the wait for a request and reports whether the
// connection is draining instead. It returns false if no further requests are accepted.
func (c *conn) beginAwait(deadline time.Time) (draining, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && c.pending > 0 && !c.last.headStarted {
		// The response will say that the connection closes.
		c.closing = true
	}
	if c.closing || c.draining {
		return c.draining, !c.closing
	}
	c.awaiting = true
	_ = c.raw.SetReadDeadline(deadline)
	return false, true
}

// endAwait ends the wait for a request and reports whether no request is in flight.
func (c *conn) endAwait() (idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	return c.pending == 0
}

// requestArrived waits until no request is in flight on a draining connection and reports
// whether another one has arrived. Closing the connection would cut off a request that waits
// unread in the socket.
func (c *conn) requestArrived() bool {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if last != nil {
		// More than a head may be read ahead, which must not be taken for the end of the connection.
		c.limit.Unlimit()
		c.awaitTurn(last.done)
		c.limitHead()
	}
	c.mu.Lock()
	closing := c.closing
	if !closing {
		_ = c.raw.SetReadDeadline(time.Now().Add(arrivedTimeout))
	}
	c.mu.Unlock()
	if closing {
		return false
	}
	_, err := c.reader.Peek(1)
	return err == nil
}

// drain makes the connection close as soon as no request is in flight.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return
	}
	c.draining = true
	if c.awaiting {
		_ = c.raw.SetReadDeadline(past)
	}
}

func withSlack(allowed time.Duration) time.Duration {
	return time.Duration(float64(allowed) * timeoutSlack)
}

func (c *conn) readRequest() (*http.Request, error) {
	_ = c.raw.SetReadDeadline(time.Now().Add(withSlack(c.server.opts.Limits().HeaderTimeout)))
	req, err := http.ReadRequest(c.reader)
	c.limit.Unlimit()
	_ = c.raw.SetReadDeadline(time.Time{})
	return req, err
}

// rejectRequest responds to a request whose headers can't be read, unless the connection
// was closed.
func (c *conn) rejectRequest(err error, turn <-chan struct{}) {
	// No further request is read, so that what follows can be discarded.
	c.readUntil(turn, func() error {
		_, err := io.Copy(io.Discard, c.reader)
		return err
	})
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		// The response before has closed the connection.
		return
	}
	var long *hop.HeadSizeError
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &long):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return
	}
	c.server.opts.Logger.Info("reading the request headers failed", slog.Int("status", status), slog.String("error", headFault(err)))
	resp := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	_ = resp.Write(c.raw)
}

// headFault returns the kind of an error of [http.ReadRequest] without the line or the field
// that it quotes, which may hold a key.
func headFault(err error) string {
	text := err.Error()
	var long *hop.HeadSizeError
	var failed *net.OpError
	if errors.As(err, &long) || errors.As(err, &failed) {
		return text
	}
	if end := strings.IndexAny(text, `:"`); end >= 0 {
		text = text[:end]
	}
	return strings.TrimSpace(text)
}

// begin registers the request as in flight. It returns false if the connection is
// closing. It waits while a preceding response may break off: the connection would be closed,
// and the request would get no response.
func (c *conn) begin(req *http.Request, arrivedAt time.Time, turn <-chan struct{}) (*response, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams > 0 {
		c.mu.Unlock()
		c.awaitTurn(turn)
		c.mu.Lock()
	}
	if c.closing {
		return nil, false
	}
	resp := newResponse(c, req, turn)
	resp.arrivedAt = arrivedAt
	c.pending++
	c.last = resp
	c.server.inFlight.Add(1)
	return resp, true
}

// takeSlot waits until fewer than maxPipelined requests of the connection are being handled.
func (c *conn) takeSlot() {
	select {
	case c.slots <- struct{}{}:
		return
	default:
	}
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		c.slots <- struct{}{}
	}()
	c.awaitTurn(taken)
}

// awaitTurn waits until turn is closed, for example because the preceding responses have been written.
// Meanwhile it reads ahead to the size of the buffer, so that in-flight requests are cancelled if the
// caller closes the connection.
func (c *conn) awaitTurn(turn <-chan struct{}) {
	c.readUntil(turn, func() error {
		for {
			if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
				return err
			}
		}
	})
}

// readUntil calls read, which reads from the connection until it fails, and interrupts it when event
// is closed. If the caller closes the connection first, the in-flight requests are cancelled.
func (c *conn) readUntil(event <-chan struct{}, read func() error) {
	select {
	case <-event:
		return
	default:
	}
	// The deadline that ended a wait for a request may still be set.
	_ = c.raw.SetReadDeadline(time.Time{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := read(); !errors.Is(err, bufio.ErrBufferFull) && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
	<-event
	_ = c.raw.SetReadDeadline(past)
	<-stopped
	_ = c.raw.SetReadDeadline(time.Time{})
}

// handle runs the handler and completes the response.
func (c *conn) handle(resp *response) {
	defer func() {
		aborted := recover()
		if err, _ := aborted.(error); aborted != nil && !errors.Is(err, http.ErrAbortHandler) {
			c.server.opts.Logger.Error("handler panicked", "error", aborted)
		}
		if resp.body != nil {
			resp.body.end()
		}
		resp.finish(aborted != nil)
		c.server.inFlight.Add(-1)
		<-c.slots
	}()
	c.server.opts.Handler.ServeHTTP(resp, resp.req)
}

// awaitBody waits until the body of the request has been read, because the next request
// follows it. It returns false if the response completed without reading the body.
func (c *conn) awaitBody(resp *response) bool {
	if resp.body == nil {
		return true
	}
	select {
	case <-resp.body.fullyRead:
		return true
	case <-resp.done:
	}
	return !resp.body.unread()
}

// closesAfter reports whether the connection has to be closed after the response. If so,
// no further requests are accepted. While the server stops, the first response ends the
// acceptance of requests and the last one closes the connection: a caller that always has a
// request in flight would otherwise keep it open until the process exits.
func (c *conn) closesAfter(resp *response, requested bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp.headStarted = true
	last := c.last == resp
	if c.server.stopping.Load() || requested && last {
		c.closing = true
	}
	return c.closing && last
}
