package respcheck

import (
	"errors"
	"io"
	"net/http"
)

// IncompleteError reports a response whose connection ended before the response was whole.
type IncompleteError struct {
	// Err is the error of writing the request.
	Err error
}

func (e *IncompleteError) Error() string {
	return "respcheck: response without a length ended before the request was written: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Err }

// EndsWithConnection reports whether only the end of the connection marks the end of the body. The
// response must not be one to HEAD.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// RequireWhole makes the body of a response that ends with its connection fail with
// [IncompleteError] instead of [io.EOF] unless the response is whole. written is called at the end of
// such a body. It waits until the request has been written or given up, and returns the error of that.
func RequireWhole(resp *http.Response, written func() error) {
	if EndsWithConnection(resp) {
		resp.Body = &bodyUntilClose{ReadCloser: resp.Body, written: written}
	}
}

// bodyUntilClose is a body that ends with its connection. The kernel reports a reset once, to the read
// or to the write that meets it first; if that was a write, a read finds the end without an error.
type bodyUntilClose struct {
	io.ReadCloser
	written func() error
}

// Read implements [io.Reader].
func (b *bodyUntilClose) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.written(); writeErr != nil {
			return n, &IncompleteError{Err: writeErr}
		}
	}
	return n, err
}
