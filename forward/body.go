package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pomelolock/pomelolock/memory"
)

const (
	// maxBufferedRequest is the size in bytes from which a request body is
	// streamed to a single server. Shorter bodies are buffered, so that they can
	// be sent again.
	maxBufferedRequest = 1 << 20
	// maxBufferedResponse is the size in bytes up to which a response body is
	// buffered, so that a truncated response is not passed on to the caller.
	maxBufferedResponse = 256 << 10
	// maxBufferedPipelined is the size in bytes up to which a response body is buffered if
	// pipelined requests behind it have been passed on, which would be lost with it.
	maxBufferedPipelined = 1 << 20
	// minBodyBuffer is the initial size in bytes of the buffer for a response body of unknown
	// length.
	minBodyBuffer = 4 << 10
)

// requestBody is the body of a caller's request: buffered completely, or a
// buffered prefix and a stream of the rest.
type requestBody struct {
	chunks [][]byte
	rest   io.Reader
	length int64
}

// readBody buffers the body up to maxBufferedRequest. It fails if that takes longer
// than the deadline, the body is longer than limit bytes, or the memory of upload is taken
// away. upload is nil if the memory of the body is charged already.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, upload *memory.Upload) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return b, nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(deadline)
	// A read deadline that expires later would look like a disconnected caller.
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	if upload != nil {
		defer endReadOnEviction(rc, upload)()
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	reader := chargedReader{upload: upload, r: limited, left: r.ContentLength}
	chunks, size, whole, err := reader.readChunks(maxBufferedRequest)
	if err != nil {
		return nil, err
	}
	b.chunks = chunks
	if whole {
		b.length = int64(size)
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
	case b.rest == nil && len(b.chunks) == 0:
		out.ContentLength = 0
		out.Body = http.NoBody
	case b.rest == nil && len(b.chunks) == 1:
		out.Body = io.NopCloser(bytes.NewReader(b.chunks[0]))
	default:
		parts := make([]io.Reader, 0, len(b.chunks)+1)
		for _, chunk := range b.chunks {
			parts = append(parts, bytes.NewReader(chunk))
		}
		if b.rest != nil {
			parts = append(parts, b.rest)
		}
		out.Body = io.NopCloser(io.MultiReader(parts...))
	}
}
