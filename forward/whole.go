package forward

import (
	"errors"
	"io"
	"sync"
)

// awaitWhole tells the quarantine of the response once it is whole, if it is one to this request:
// errors that a server returns before it has read the request name none. settled is called then. If
// the response ends before, cut is called, with true if it broke off and false if it is given up.
func (x *exchange) awaitWhole(resp *response, ran bool, settled func(), cut func(broke bool)) {
	answered := func() {
		settled()
		if ran {
			x.whole.Store(true)
			x.f.opts.Quarantine.ReportOK(x.fingerprint)
		}
	}
	if resp.rest == nil {
		answered()
		return
	}
	resp.rest = &trackedBody{ReadCloser: resp.rest, whole: answered, cut: cut}
}

// trackedBody is the rest of a response that calls whole at its end, or cut if it is closed or
// fails before.
type trackedBody struct {
	io.ReadCloser
	once  sync.Once
	whole func()
	cut   func(broke bool)
}

// Read implements [io.Reader].
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(b.whole)
	case err != nil:
		b.once.Do(func() { b.cut(true) })
	}
	return n, err
}

// Close implements [io.Closer].
func (b *trackedBody) Close() error {
	b.once.Do(func() { b.cut(false) })
	return b.ReadCloser.Close()
}
