package serverconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/internal/respcheck"
)

const (
	// maxInlineBody is the size in bytes up to which a request body is written
	// before the response is read. Longer bodies and those of unknown length are written
	// concurrently, because a server may respond before it has read them.
	maxInlineBody = 2 << 10
	// maxResponses bounds the responses read for one request, including those to
	// other requests and interim ones.
	maxResponses = 3
	// maxHeadBytes bounds the status line and the headers of a response.
	maxHeadBytes = 64 << 10
	// maxForeignBytes bounds the body of a response to another request.
	maxForeignBytes = 1 << 20
)

// ForeignError reports that no response to the request was among those received.
type ForeignError struct{ Address string }

func (e *ForeignError) Error() string {
	return "serverconn: received only responses to other requests from " + e.Address
}

// SendError reports a round trip that failed before the headers of the response were
// received.
type SendError struct {
	// Unsent reports whether no byte of the request was sent.
	Unsent bool
	Err    error
}

func (e *SendError) Error() string { return "serverconn: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Unsent reports whether an error means that no byte of the request was sent.
func Unsent(err error) bool {
	var sendErr *SendError
	return errors.As(err, &sendErr) && sendErr.Unsent
}

// countingWriter counts the bytes written to the connection and records when the first were.
type countingWriter struct {
	w io.Writer
	n atomic.Int64
	// first is the time of the first write, in Unix nanoseconds.
	first *atomic.Int64
	// mayWrite is asked before the first write; nil if nothing forbids it. refused is the
	// error that it returned.
	mayWrite func() error
	refused  atomic.Pointer[error]
}

// Write implements [io.Writer].
func (c *countingWriter) Write(p []byte) (int, error) {
	if refused := c.refused.Load(); refused != nil {
		// What is reported as not sent must never be sent.
		return 0, *refused
	}
	if c.first.Load() == 0 {
		if c.mayWrite != nil {
			if err := c.mayWrite(); err != nil {
				c.refused.Store(&err)
				return 0, err
			}
		}
		c.first.Store(time.Now().UnixNano())
	}
	n, err := c.w.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// RoundTrip sends the request and reads the status and headers of its response.
// matches reports whether a response belongs to the request; others are skipped. When
// ctx ends, the connection is closed, so that the server can abort the request.
// RoundTrip fails with [SendError] and closes the connection then. The user must close
// the body of the response, which returns the connection to the pool if the body was
// read completely.
func (c *Conn) RoundTrip(ctx context.Context, req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	c.carry()
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	fail := func(unsent bool, err error) (*http.Response, error) {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &SendError{Unsent: unsent, Err: err}
	}
	out := &countingWriter{w: c.raw, first: &c.written, mayWrite: c.MayWrite}
	var write respcheck.RequestWrite
	write.Begin()
	if req.ContentLength > maxInlineBody || unknownLength(req) {
		go func() {
			err := req.Write(out)
			if out.refused.Load() != nil {
				// No response will come.
				_ = c.raw.SetDeadline(time.Unix(1, 0))
			}
			write.End(err)
		}()
	} else {
		err := req.Write(out)
		if err != nil && out.n.Load() == 0 {
			return fail(true, err)
		}
		write.End(err)
	}
	resp, err := c.readResponse(matches)
	if err != nil {
		if refused := out.refused.Load(); refused != nil {
			return fail(true, *refused)
		}
		return fail(false, err)
	}
	if req.Method == http.MethodHead {
		c.carriedHead = true
		resp.Body = http.NoBody
	}
	ended, _ := write.Ended()
	c.Early = !ended
	untilClose := respcheck.EndsWithConnection(resp)
	respcheck.RequireWhole(resp, func() error { return write.Wait(ctx) })
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, resp: resp, write: &write, stop: stop, untilClose: untilClose}
	return resp, nil
}

// unknownLength reports whether the request has a body whose length is not known.
func unknownLength(req *http.Request) bool {
	return req.ContentLength <= 0 && req.Body != nil && req.Body != http.NoBody
}

// readResponse reads responses until one matches the request. If an earlier request was HEAD, it
// fails with the first one that doesn't: where that ends is not known, and bytes of a body must not be
// read as a response.
func (c *Conn) readResponse(matches func(*http.Response) bool) (*http.Response, error) {
	for range maxResponses {
		resp, err := c.readHead()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if matches(resp) {
			return resp, nil
		}
		if c.carriedHead {
			break
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxForeignBytes); !errors.Is(err, io.EOF) {
			if err == nil {
				err = &ForeignError{Address: c.address}
			}
			return nil, err
		}
	}
	return nil, &ForeignError{Address: c.address}
}

// readHead reads the status line and the headers of a response. The body is framed as if the
// request was not HEAD. It fails with [respcheck.HeadError] if the head is malformed, and with
// [hop.HeadSizeError] if it exceeds maxHeadBytes.
func (c *Conn) readHead() (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.heads.ExpectHead(buffered); err != nil {
		return nil, err
	}
	c.limit.Limit(maxHeadBytes)
	defer c.limit.Unlimit()
	resp, err := http.ReadResponse(c.reader, nil)
	if headErr := c.heads.Err(); headErr != nil {
		return nil, headErr
	}
	return resp, err
}

// responseBody returns the connection to the pool when it is closed after its last byte
// was read.
type responseBody struct {
	io.ReadCloser
	conn  *Conn
	resp  *http.Response
	write *respcheck.RequestWrite
	stop  func() bool
	// untilClose is set if only the end of the connection marks the end of the body.
	untilClose bool
	eof        bool
	closed     bool
}

// Read implements [io.Reader].
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.eof = true
	}
	return n, err
}

// Close implements [io.Closer].
func (b *responseBody) Close() error {
	if !b.closed {
		b.release(b.stop())
	}
	return nil
}

// release returns the connection to the pool if it can be reused, and closes it otherwise. live is
// set if the context of the request has not ended.
func (b *responseBody) release(live bool) {
	b.closed = true
	if !live || !b.eof || b.resp.Close || b.conn.reader.Buffered() > 0 || !b.requestSent() {
		b.conn.Close()
		return
	}
	b.conn.pool.put(b.conn, idleTimeout(b.resp.Header.Get("Keep-Alive")))
}

// requestSent reports whether the complete request has been written.
func (b *responseBody) requestSent() bool {
	ended, err := b.write.Ended()
	return ended && err == nil
}

const (
	// discardLimit bounds the bytes read from an unused response to make its connection
	// reusable, discardTimeout the time for that. A short body arrives with its head, or a delayed
	// acknowledgement of 40 ms later; the user of the response does not wait longer for one that is
	// sent slowly or does not end.
	discardLimit   = 16 << 10
	discardTimeout = 50 * time.Millisecond
)

// Discard reads up to 16 KiB of an unused response's body, for at most discardTimeout, and closes it. It
// reads nothing of a body that ends with its connection, which can't be used again. resp must be that of a
// round trip on a [Conn].
func Discard(resp *http.Response) {
	b, ok := resp.Body.(*responseBody)
	if !ok || b.closed {
		_ = resp.Body.Close()
		return
	}
	// From here on, discardTimeout takes the place of the context, whose end sets the deadline of
	// the connection, too.
	live := b.stop()
	if live && !b.untilClose {
		_ = b.conn.raw.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.CopyN(io.Discard, b, discardLimit)
		_ = b.conn.raw.SetReadDeadline(time.Time{})
	}
	b.release(live)
}
