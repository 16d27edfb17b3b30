package proxy

import "fmt"

// HeaderError reports a request header with an invalid value.
type HeaderError struct {
	Name  string
	Value string
}

func (e *HeaderError) Error() string {
	return fmt.Sprintf("proxy: header %s has the value %.40q", e.Name, e.Value)
}

// BodyTooLargeError reports a request body over the limit, in bytes.
type BodyTooLargeError struct {
	Limit int64
}

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("proxy: request body exceeds %d bytes", e.Limit)
}

// BodyReadError reports a request body that could not be read completely.
type BodyReadError struct {
	Err error
}

func (e *BodyReadError) Error() string {
	return fmt.Sprintf("proxy: request body incomplete: %v", e.Err)
}

// Unwrap returns the cause.
func (e *BodyReadError) Unwrap() error { return e.Err }

// RequestIDMismatchError reports a response that carries another request's ID.
type RequestIDMismatchError struct {
	Server string
	Want   string
	Got    string
}

func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("proxy: response of server %s has request ID %q, want %q", e.Server, e.Got, e.Want)
}

// UnframedError reports a response with neither Content-Length nor chunked
// encoding, whose end can't be distinguished from a lost connection.
type UnframedError struct {
	Server string
}

func (e *UnframedError) Error() string {
	return fmt.Sprintf("proxy: response of server %s has neither Content-Length nor chunked encoding", e.Server)
}

// TruncatedError reports a response body that ended early.
type TruncatedError struct {
	Server string
	Err    error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("proxy: response of server %s is incomplete: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// RefusedError reports that a backend server refused the request as documented,
// which guarantees that it was not run.
type RefusedError struct {
	Server string
	Status int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("proxy: server %s refused the request with status %d", e.Server, e.Status)
}

// StatusError reports a server error status on a repeatable request.
type StatusError struct {
	Server string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("proxy: server %s returned status %d", e.Server, e.Status)
}

// SendError reports an attempt that failed before the response's header
// arrived.
type SendError struct {
	Server string
	Err    error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("proxy: no response from server %s: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }
