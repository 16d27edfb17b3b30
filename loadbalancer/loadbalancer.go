package loadbalancer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/table"
)

// Request describes a request that needs a permit.
type Request struct {
	Service string
	// Exclude names backend servers that must not be chosen.
	Exclude []string
	// Flow identifies the caller for fair queueing. All requests with an empty
	// Flow share one flow.
	Flow string
	// NoWait makes Acquire fail immediately if no server has a free slot.
	NoWait bool
}

// Balancer issues permits. Implementations are safe for concurrent use.
type Balancer interface {
	// Acquire waits until a backend server can accept another request. It
	// fails with [OverloadError], [NoServerError] or the context's error.
	Acquire(ctx context.Context, req Request) (*Permit, error)
}

// Class classifies the result of an attempt.
type Class int

// Classes of results.
const (
	// ClassOK is a complete response without a server error status.
	ClassOK Class = iota
	// ClassFailed is a server error, or a missing, truncated or unusable
	// response.
	ClassFailed
	// ClassRefused is a documented refusal because of load shedding or
	// draining.
	ClassRefused
	// ClassUnreachable is a request that could not be sent, in most cases
	// because no connection could be opened.
	ClassUnreachable
	// ClassCancelled is an attempt that the instance cancelled.
	ClassCancelled
)

// Load is the load report of a backend server, sent with a response.
type Load struct {
	// InFlight and Slots are the server's own counts.
	InFlight int
	Slots    int
	// Draining is set if the server accepts no new requests.
	Draining bool
}

// Result is the result of an attempt.
type Result struct {
	Class Class
	// Latency is the time from sending the request to the end of the
	// response.
	Latency time.Duration
	// Load is nil if the response carried no load report.
	Load *Load
	// ChargedFor is how long the slot still counts as occupied after the
	// release, because the server may still be running the request.
	ChargedFor time.Duration
}

// Permit is the right to run one request on one backend server.
type Permit struct {
	Server  table.Server
	once    sync.Once
	release func(Result)
}

// NewPermit returns a permit whose first Release calls release.
func NewPermit(server table.Server, release func(Result)) *Permit {
	return &Permit{Server: server, release: release}
}

// Release returns the permit to its balancer, with the result of the attempt.
// Calls after the first have no effect.
func (p *Permit) Release(result Result) {
	p.once.Do(func() { p.release(result) })
}

// OverloadError reports that no server can accept the request in time. The
// request was not run.
type OverloadError struct {
	Service string
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return fmt.Sprintf("loadbalancer: service %s is overloaded, retry after %v", e.Service, e.RetryAfter)
}

// NoServerError reports a service that has no usable backend server.
type NoServerError struct {
	Service string
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("loadbalancer: service %s has no usable backend server", e.Service)
}
