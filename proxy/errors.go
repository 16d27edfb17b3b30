package proxy

import "fmt"

// HeaderError reports a request header whose value can't be used.
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

// BodyReadError reports a request body that the caller did not send whole.
type BodyReadError struct {
	Err error
}

func (e *BodyReadError) Error() string {
	return fmt.Sprintf("proxy: request body incomplete: %v", e.Err)
}

// Unwrap returns the cause.
func (e *BodyReadError) Unwrap() error { return e.Err }

// MarkError reports an answer that carries another request's ID.
type MarkError struct {
	Server string
	Want   string
	Got    string
}

func (e *MarkError) Error() string {
	return fmt.Sprintf("proxy: server %s answered request %q, want %q", e.Server, e.Got, e.Want)
}

// UnframedError reports an answer whose end can't be told from a lost
// connection.
type UnframedError struct {
	Server string
}

func (e *UnframedError) Error() string {
	return fmt.Sprintf("proxy: answer of server %s has neither length nor chunks", e.Server)
}

// TruncatedError reports an answer that ended early.
type TruncatedError struct {
	Server string
	Err    error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("proxy: answer of server %s is incomplete: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// RefusedError reports a backend server's documented refusal: the request was
// not run.
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
	return fmt.Sprintf("proxy: server %s answered with status %d", e.Server, e.Status)
}

// SendError reports an attempt whose answer head did not arrive.
type SendError struct {
	Server string
	Err    error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("proxy: exchange with server %s failed: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }
