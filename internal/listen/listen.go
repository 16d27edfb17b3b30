// Package listen opens the listeners of a daemon and serves HTTP on them.
package listen

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Error reports an address that can't be listened on.
type Error struct {
	Address string
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// TCP opens a listener. It fails with [Error].
func TCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Address: address, Err: err}
	}
	return listener, nil
}

// Serve serves HTTP until the server is shut down.
func Serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
