package respcheck

import (
	"io"
	"net"
	"sync"
)

// Reader passes on what is read from a connection and checks the heads of responses in it.
type Reader struct {
	r    io.Reader
	mu   sync.Mutex
	head headChecker
	err  error
}

// NewReader returns a reader of r that checks nothing until a head is expected.
func NewReader(r io.Reader) *Reader { return &Reader{r: r, head: headChecker{state: headEnded}} }

// Read implements [io.Reader]. It fails with [HeadError] at the first byte that can't stand in a head, and
// from then on. The bytes up to it are returned, too: an http.Transport that gets none takes the
// connection for one that was closed while idle, and sends the request again. What parses these
// bytes may report an error of its own; see [Reader.Err].
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.r.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if checked, headErr := r.head.check(p[:n]); headErr != nil {
		r.err = headErr
		return checked, headErr
	}
	return n, err
}

// Err returns the [HeadError] with which the reader failed, or nil.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// ExpectHead makes the next bytes those of a head. buffered are those of them that have been read
// already. It fails with [HeadError] if these are malformed.
func (r *Reader) ExpectHead(buffered []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = headChecker{}
	if r.err == nil {
		_, r.err = r.head.check(buffered)
	}
	return r.err
}

// conn is a connection whose reads are checked.
type conn struct {
	net.Conn
	reader *Reader
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }
