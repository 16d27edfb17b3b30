package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// requestBody is the body of a caller's request: held whole, or a prefix and
// the rest of a stream that can be sent once.
type requestBody struct {
	held   []byte
	rest   io.Reader
	length int64
	// readErr is the last error of reading the stream from the caller.
	readErr atomic.Pointer[BodyReadError]
	used    bool
}

// readBody holds up to hold bytes and refuses bodies over limit bytes.
func readBody(r *http.Request, hold, limit int64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	var buf bytes.Buffer
	if 0 < r.ContentLength && r.ContentLength <= hold {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(r.Body, hold+1))
	if err != nil {
		return nil, &BodyReadError{Err: err}
	}
	b.held = buf.Bytes()
	if n <= hold {
		b.length = n
		return b, nil
	}
	if hold >= limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	b.rest = &limitedBody{r: r.Body, left: limit - n, limit: limit}
	return b, nil
}

// whole reports whether the body can be sent more than once.
func (b *requestBody) whole() bool { return b.rest == nil }

// spent reports whether a streamed body was already given to an attempt.
func (b *requestBody) spent() bool { return b.rest != nil && b.used }

// set gives the body to out, an attempt's request, in a form that the
// transport can't send again on its own unless the request is repeatable.
func (b *requestBody) set(out *http.Request, repeatable bool) {
	out.ContentLength = b.length
	out.GetBody = nil
	if b.rest != nil {
		b.used = true
		rest := &errorKeeper{r: b.rest, err: &b.readErr}
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.held), rest))
		return
	}
	if len(b.held) == 0 && (repeatable || out.Method == http.MethodPost) {
		out.Body = http.NoBody
		return
	}
	out.Body = io.NopCloser(onlyReader{bytes.NewReader(b.held)})
}

// onlyReader hides every method but Read.
type onlyReader struct{ io.Reader }

type errorKeeper struct {
	r   io.Reader
	err *atomic.Pointer[BodyReadError]
}

// Read implements [io.Reader].
func (k *errorKeeper) Read(p []byte) (int, error) {
	n, err := k.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		k.err.Store(&BodyReadError{Err: err})
	}
	return n, err
}

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
