package hop

import "io"

// noLimit is the number of bytes that may be read outside of heads.
const noLimit = int64(1) << 62

// HeadReader limits the bytes that are read from a connection for the head of one message:
// its first line and its header fields.
type HeadReader struct {
	r         io.Reader
	remaining int64
}

// HeadSizeError reports a message whose first line and header fields exceed the limit.
type HeadSizeError struct{}

func (*HeadSizeError) Error() string { return "hop: the head of a message exceeds the size limit" }

// NewHeadReader returns a reader of r without a limit.
func NewHeadReader(r io.Reader) *HeadReader { return &HeadReader{r: r, remaining: noLimit} }

// Limit limits the bytes that may be read until the next call of Unlimit.
func (l *HeadReader) Limit(bytes int64) { l.remaining = max(bytes, 0) }

// Unlimit ends the limit.
func (l *HeadReader) Unlimit() { l.remaining = noLimit }

// Read implements [io.Reader]. It fails with [HeadSizeError].
func (l *HeadReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, &HeadSizeError{}
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	return n, err
}
