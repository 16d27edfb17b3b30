package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// requestBody is the body of a caller's request. It is either completely
// buffered, or a buffered prefix and a stream that can be sent once.
type requestBody struct {
	buffered []byte
	rest     io.Reader
	length   int64
	// readErr is the last error of reading the stream from the caller.
	readErr atomic.Pointer[BodyReadError]
	// used is set once the stream was handed to an attempt.
	used bool
}

// readBody buffers up to bufferLimit bytes and fails with [BodyTooLargeError]
// if the body is known to exceed limit bytes.
func readBody(r *http.Request, bufferLimit, limit int64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	var buf bytes.Buffer
	if 0 < r.ContentLength && r.ContentLength <= bufferLimit {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(r.Body, bufferLimit+1))
	if err != nil {
		return nil, &BodyReadError{Err: err}
	}
	b.buffered = buf.Bytes()
	if n <= bufferLimit {
		b.length = n
		return b, nil
	}
	if bufferLimit >= limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	b.rest = &limitedBody{r: r.Body, left: limit - n, limit: limit}
	return b, nil
}

// resendable reports whether the body can be sent more than once.
func (b *requestBody) resendable() bool { return b.rest == nil }

// consumed reports whether a streamed body was already handed to an attempt.
func (b *requestBody) consumed() bool { return b.rest != nil && b.used }

// attach sets the body of out, the request of an attempt, in such a way that
// [http.Transport] can't resend it by itself unless the request is repeatable.
func (b *requestBody) attach(out *http.Request, repeatable bool) {
	out.ContentLength = b.length
	out.GetBody = nil
	if b.rest != nil {
		b.used = true
		rest := &errorRecorder{r: b.rest, err: &b.readErr}
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), rest))
		return
	}
	if len(b.buffered) == 0 && (repeatable || out.Method == http.MethodPost) {
		out.Body = http.NoBody
		return
	}
	out.Body = io.NopCloser(onlyReader{bytes.NewReader(b.buffered)})
}

// onlyReader hides all methods of a reader except Read.
type onlyReader struct{ io.Reader }

// errorRecorder stores read errors other than [io.EOF] in err.
type errorRecorder struct {
	r   io.Reader
	err *atomic.Pointer[BodyReadError]
}

// Read implements [io.Reader].
func (e *errorRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		e.err.Store(&BodyReadError{Err: err})
	}
	return n, err
}

// limitedBody fails with [BodyTooLargeError] once more than left bytes were
// read. The error names limit, the limit of the complete body.
type limitedBody struct {
	r     io.Reader
	left  int64
	limit int64
}

// Read implements [io.Reader].
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, &BodyTooLargeError{Limit: l.limit}
	}
	return n, err
}
