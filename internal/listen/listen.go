// Package listen opens the listeners of a daemon and serves HTTP on them.
package listen

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Error reports an address on which no listener could be opened.
type Error struct {
	Address string
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// TCP opens a TCP listener on the address. It fails with [Error].
func TCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Address: address, Err: err}
	}
	return listener, nil
}

// Serve serves HTTP on the listener until the server is shut down or closed, and then
// returns nil.
func Serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
