package respcheck

import (
	"context"
	"sync"
)

// RequestWrite is the progress of writing a request. The zero value is one that has not begun.
type RequestWrite struct {
	mu      sync.Mutex
	ended   chan struct{}
	isEnded bool
	err     error
}

// Begin begins the write, or begins it anew on another connection.
func (w *RequestWrite) Begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.isEnded, w.err = make(chan struct{}), false, nil
}

// End ends the write that has begun.
func (w *RequestWrite) End(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isEnded {
		w.isEnded, w.err = true, err
		close(w.ended)
	}
}

// Ended reports whether the write has ended, and returns its error.
func (w *RequestWrite) Ended() (ended bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isEnded, w.err
}

// Wait waits until the write has ended, and returns its error. It fails when ctx ends before.
func (w *RequestWrite) Wait(ctx context.Context) error {
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	_, err := w.Ended()
	return err
}
