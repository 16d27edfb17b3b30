package callerconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
)

// response is the response to one request. It implements [http.ResponseWriter] and
// the deadlines of [http.ResponseController].
type response struct {
	conn *conn
	req  *http.Request
	body *requestBody
	// turn is closed when the preceding responses have been written, done when this
	// one has.
	turn <-chan struct{}
	done chan struct{}

	header  http.Header
	status  int
	chunked io.WriteCloser
	// remaining is the number of bytes of the announced length still to be written,
	// or -1 if no length was announced.
	remaining int64
	noBody    bool
	close     bool
	err       error
	// headStarted is set once the status and the headers are being written, streaming once the
	// response may break off. The mutex of conn guards them.
	headStarted, streaming bool
	// writeDeadline is set if the handler set it before the preceding responses were written, at
	// writeDeadlineSet.
	writeDeadline, writeDeadlineSet time.Time

	arrivedAt time.Time
}

// requestBody is the body of a request. It signals when it has been read completely, and is no
// longer read once its handler has returned: the connection is then read for other purposes.
type requestBody struct {
	resp      *response
	fullyRead chan struct{}
	// ended is closed when the handler has returned.
	ended chan struct{}

	// reading is held during a read and guards the fields below.
	reading sync.Mutex
	source  io.Reader
	// expectContinue is set while the caller waits for a 100 Continue response
	// before it sends the body.
	expectContinue bool

	// mu is held while fullyRead is closed, and while a deadline is set that is for the body
	// only.
	mu sync.Mutex
}

// Read implements [io.Reader]. It fails with [http.ErrBodyReadAfterClose] once the handler has
// returned.
func (b *requestBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.expectContinue {
		b.expectContinue = false
		select {
		case <-b.resp.turn:
		case <-b.ended:
			return 0, http.ErrBodyReadAfterClose
		}
		if _, err := io.WriteString(b.resp.conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	switch {
	case err == io.EOF:
		b.markRead()
	case connEnded(err):
		// Nobody else reads the connection, and the requests in front wait for their responses, too.
		b.resp.conn.cancel()
	}
	return n, err
}

// connEnded reports whether an error of reading a body means that the caller has closed the connection.
// Other errors are those of deadlines and of malformed bodies.
func connEnded(err error) bool {
	var failed *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed) && !failed.Timeout()
}

// Close implements [io.Closer]. It reads nothing: a connection with an unread body is closed after
// the response.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) markRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unread() {
		close(b.fullyRead)
	}
}

// unread reports whether the body has not been read completely.
func (b *requestBody) unread() bool {
	select {
	case <-b.fullyRead:
		return false
	default:
		return true
	}
}

// end interrupts a read in progress, waits until it has returned and makes further ones fail.
func (b *requestBody) end() {
	close(b.ended)
	b.mu.Lock()
	if b.unread() {
		_ = b.resp.conn.raw.SetReadDeadline(past)
	}
	b.mu.Unlock()
	b.reading.Lock()
	defer b.reading.Unlock()
	b.expectContinue = false
	b.source = endedBody{}
}

// endedBody is the source of a body whose handler has returned.
type endedBody struct{}

// Read implements [io.Reader].
func (endedBody) Read([]byte) (int, error) { return 0, http.ErrBodyReadAfterClose }

func newResponse(c *conn, req *http.Request, turn <-chan struct{}) *response {
	resp := &response{conn: c, turn: turn, done: make(chan struct{}), header: make(http.Header), remaining: -1}
	resp.req = req.WithContext(c.ctx)
	resp.req.RemoteAddr = c.raw.RemoteAddr().String()
	if req.Body != nil && req.Body != http.NoBody && req.ContentLength != 0 {
		resp.body = &requestBody{
			source: req.Body, resp: resp, fullyRead: make(chan struct{}), ended: make(chan struct{}),
			expectContinue: req.Header.Get("Expect") == "100-continue",
		}
		resp.req.Body = resp.body
	}
	return resp
}

// Header implements [http.ResponseWriter].
func (r *response) Header() http.Header { return r.header }

// SetReadDeadline sets the deadline for reading the body of the request. It has no effect
// without a body and once the body has been read completely: the deadline of the connection is
// then that of the wait for the next request.
func (r *response) SetReadDeadline(t time.Time) error {
	if r.body == nil {
		return nil
	}
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if !r.body.unread() {
		return nil
	}
	return r.conn.raw.SetReadDeadline(t)
}

// ArrivedAt returns the time at which the head of the request had been read. The handler may be
// called later.
func (r *response) ArrivedAt() time.Time { return r.arrivedAt }

// BeginStream is for a handler to call before it writes a response that may break off, which closes
// the connection. Requests that arrive behind it are held back until the response has ended.
// BeginStream reports whether one is being handled already.
func (r *response) BeginStream() (behind bool) {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	if !r.streaming {
		r.streaming = true
		r.conn.streams++
	}
	return r.conn.last != r
}

// SetWriteDeadline sets the write deadline of the response, which takes effect once the preceding
// responses have been written. It is moved by the time that the response waits for them: nothing is
// written meanwhile, and a response whose deadline passed would be lost with the connection.
func (r *response) SetWriteDeadline(t time.Time) error {
	select {
	case <-r.turn:
		return r.conn.raw.SetWriteDeadline(t)
	default:
		r.writeDeadline, r.writeDeadlineSet = t, time.Now()
		return nil
	}
}

// WriteHeader implements [http.ResponseWriter]. It waits until the preceding responses
// have been written.
func (r *response) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	<-r.turn
	if !r.writeDeadline.IsZero() {
		_ = r.conn.raw.SetWriteDeadline(r.writeDeadline.Add(time.Since(r.writeDeadlineSet)))
	}
	closeRequested := r.req.Close || r.header.Get("Connection") == "close" || r.unreadBody()
	r.close = r.conn.closesAfter(r, closeRequested)
	r.frame()
	w := r.conn.writer
	_, r.err = fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	if r.err == nil {
		r.err = r.header.Write(w)
	}
	if r.err == nil {
		_, r.err = io.WriteString(w, "\r\n")
	}
}

// unreadBody reports whether the body of the request has not been read completely.
func (r *response) unreadBody() bool {
	return r.body != nil && r.body.unread()
}

// frame decides how the end of the response body is marked (length, chunked encoding or
// close of the connection) and sets the headers for it.
func (r *response) frame() {
	r.header.Del("Connection")
	r.header.Del("Transfer-Encoding")
	r.noBody = r.req.Method == http.MethodHead || !hop.BodyAllowed(r.status)
	if _, ok := r.header["Date"]; !ok {
		r.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if length, err := strconv.ParseInt(r.header.Get("Content-Length"), 10, 64); err == nil {
		r.remaining = length
	}
	if r.remaining < 0 && !r.noBody {
		r.header.Del("Content-Length")
		if r.req.ProtoAtLeast(1, 1) {
			r.header.Set("Transfer-Encoding", "chunked")
			r.chunked = httputil.NewChunkedWriter(r.conn.writer)
		} else {
			r.close = true
		}
	}
	if r.close {
		r.header.Set("Connection", "close")
	} else if !r.req.ProtoAtLeast(1, 1) {
		r.header.Set("Connection", "keep-alive")
	}
}

// Write implements [http.ResponseWriter].
func (r *response) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.err != nil {
		return 0, r.err
	}
	if r.noBody {
		return len(p), nil
	}
	var n int
	switch {
	case r.chunked != nil:
		n, r.err = r.chunked.Write(p)
	case r.remaining >= 0 && int64(len(p)) > r.remaining:
		return 0, http.ErrContentLength
	default:
		n, r.err = r.conn.writer.Write(p)
		if r.remaining >= 0 {
			r.remaining -= int64(n)
		}
	}
	return n, r.err
}

// finish completes the response. If the response was aborted or is incomplete, it closes
// the connection, so that the caller doesn't take it for a complete one.
func (r *response) finish(aborted bool) {
	defer func() {
		r.conn.mu.Lock()
		r.conn.pending--
		if r.streaming {
			r.conn.streams--
		}
		r.conn.mu.Unlock()
		close(r.done)
	}()
	if !aborted && r.status == 0 {
		r.header.Set("Content-Length", "0")
		r.WriteHeader(http.StatusOK)
	}
	if !aborted && r.err == nil && r.chunked != nil {
		r.err = r.chunked.Close()
		if r.err == nil {
			_, r.err = io.WriteString(r.conn.writer, "\r\n")
		}
	}
	if aborted && r.status == 0 {
		<-r.turn
	}
	complete := !aborted && r.err == nil && (r.remaining <= 0 || r.noBody)
	if complete {
		r.err = r.conn.writer.Flush()
	}
	_ = r.conn.raw.SetWriteDeadline(time.Time{})
	complete = complete && r.err == nil
	if !complete && r.unframed() {
		r.conn.resetOnClose()
	}
	if !complete || r.close {
		r.conn.stop(complete)
	}
}

// unframed reports whether the end of the connection marks the end of the body.
func (r *response) unframed() bool {
	return r.status != 0 && r.chunked == nil && r.remaining < 0 && !r.noBody
}

// resetOnClose makes the connection end with a reset, which no caller takes for the end of a body.
func (c *conn) resetOnClose() {
	if tcp, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// stop closes the connection after a response, at once if the response is incomplete.
// Later requests get no response.
func (c *conn) stop(complete bool) {
	c.mu.Lock()
	c.closing = true
	if complete && !c.finishing {
		// The reading goroutine closes the connection once all responses are written. If it discards
		// already, an end of that would leave bytes unread, and closing would reset the connection.
		_ = c.raw.SetReadDeadline(past)
	}
	c.mu.Unlock()
	if complete {
		return
	}
	c.raw.Close()
	c.cancel()
}
