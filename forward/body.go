package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

const (
	// maxBufferedRequest is the size in bytes from which a request body is
	// streamed to a single server. Shorter bodies are buffered, so that they can
	// be sent again.
	maxBufferedRequest = 1 << 20
	// maxBufferedResponse is the size in bytes up to which a response body is
	// buffered, so that a truncated response is not passed on to the caller.
	maxBufferedResponse = 256 << 10
)

// requestBody is the body of a caller's request: buffered completely, or a
// buffered prefix and a stream of the rest.
type requestBody struct {
	buffered []byte
	rest     io.Reader
	length   int64
}

// readBody buffers the body up to maxBufferedRequest. It fails if that takes longer
// than the deadline or the body is longer than limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return b, nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(deadline)
	// A read deadline that expires later would look like a disconnected caller.
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	limited := http.MaxBytesReader(w, r.Body, limit)
	buffered, err := io.ReadAll(io.LimitReader(limited, maxBufferedRequest))
	if err != nil {
		return nil, err
	}
	b.buffered = buffered
	if len(buffered) < maxBufferedRequest {
		b.length = int64(len(buffered))
		return b, nil
	}
	b.rest = limited
	return b, nil
}

// streamed reports whether the body can be sent only once.
func (b *requestBody) streamed() bool { return b.rest != nil }

// attach sets the body of an outgoing request.
func (b *requestBody) attach(out *http.Request) {
	out.ContentLength = b.length
	switch {
	case b.rest != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), b.rest))
	case len(b.buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
	default:
		out.ContentLength = 0
		out.Body = http.NoBody
	}
}
