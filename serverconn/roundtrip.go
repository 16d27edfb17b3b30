package serverconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// inlineBody is the size up to which a body is written before the answer
	// is read. Longer ones are written beside, because a server may answer
	// before it has read them.
	inlineBody = 2 << 10
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 3
)

// ForeignError reports that only answers to other requests arrived.
type ForeignError struct{ Address string }

func (e *ForeignError) Error() string {
	return "serverconn: answers to other requests from " + e.Address
}

// SendError reports a round trip that ended without the head of an answer.
type SendError struct {
	// Unsent tells that no byte of the request left the process.
	Unsent bool
	Err    error
}

func (e *SendError) Error() string { return "serverconn: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// countingWriter counts the bytes that were handed to the connection.
type countingWriter struct {
	w io.Writer
	n atomic.Int64
}

// Write implements [io.Writer].
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// RoundTrip sends the request and reads the head of its answer. belongs tells
// whether an answer is the request's own; others are skipped. When ctx ends,
// the connection is closed, so that the server stops work. It fails with
// [SendError]; the connection is closed then. The answer's body must be closed,
// which keeps the connection if the body was read to its end.
func (c *Conn) RoundTrip(ctx context.Context, req *http.Request, belongs func(*http.Response) bool) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	fail := func(unsent bool, err error) (*http.Response, error) {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &SendError{Unsent: unsent, Err: err}
	}
	out := &countingWriter{w: c.raw}
	written := make(chan error, 1)
	if req.ContentLength > inlineBody {
		go func() { written <- req.Write(out) }()
	} else {
		err := req.Write(out)
		if err != nil && out.n.Load() == 0 {
			return fail(true, err)
		}
		written <- err
	}
	resp, err := c.readOwn(req, belongs)
	if err != nil {
		return fail(false, err)
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, conn: c, resp: resp, written: written, stop: stop}
	return resp, nil
}

// readOwn reads answers until one belongs to the request.
func (c *Conn) readOwn(req *http.Request, belongs func(*http.Response) bool) (*http.Response, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if belongs(resp) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, &ForeignError{Address: c.address}
}

// answerBody returns the connection to the pool after the last byte.
type answerBody struct {
	io.ReadCloser
	conn    *Conn
	resp    *http.Response
	written <-chan error
	stop    func() bool
	eof     bool
	closed  bool
}

// Read implements [io.Reader].
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.eof = true
	}
	return n, err
}

// Close implements [io.Closer].
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	live := b.stop()
	if !live || !b.eof || b.resp.Close || b.conn.reader.Buffered() > 0 || !b.sent() {
		b.conn.Close()
		return nil
	}
	b.conn.pool.put(b.conn, idleTime(b.resp.Header.Get("Keep-Alive")))
	return nil
}

// sent reports whether the whole request has been written.
func (b *answerBody) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// discardLimit bounds what is read of an answer that is not used, so that its
// connection can be kept.
const discardLimit = 16 << 10

// Discard reads and closes an answer that is not used.
func Discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, discardLimit)
	_ = resp.Body.Close()
}
