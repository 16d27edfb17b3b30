package loadbalancer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/table"
)

// Request describes what a permit is needed for.
type Request struct {
	Service string
	// Exclude names backend servers that must not be chosen.
	Exclude []string
	// Flow names the caller for fair queueing; "" is one shared flow.
	Flow string
	// NoWait makes Acquire fail at once if no server is free.
	NoWait bool
}

// Balancer hands out permits. Implementations are safe for concurrent use.
type Balancer interface {
	// Acquire waits until a backend server may take one more request. It
	// fails with [OverloadError], [NoServerError] or the context's error.
	Acquire(ctx context.Context, req Request) (*Permit, error)
}

// Class tells how an attempt ended.
type Class int

// Classes of results.
const (
	// ClassOK is a whole answer that is no server error.
	ClassOK Class = iota
	// ClassFailed is a server error or a broken answer.
	ClassFailed
	// ClassRefused is a documented refusal: shedding or draining.
	ClassRefused
	// ClassUnreachable is a connection that could not be opened.
	ClassUnreachable
	// ClassCancelled is an attempt that the instance gave up itself.
	ClassCancelled
)

// Load is the load report that came with an answer.
type Load struct {
	// InFlight and Slots are the server's own counts.
	InFlight int
	Slots    int
	// Draining tells that the server takes no new work.
	Draining bool
}

// Result tells a balancer how an attempt ended.
type Result struct {
	Class Class
	// Latency is the time from sending to the end of the answer.
	Latency time.Duration
	// Load is nil if the answer carried no report.
	Load *Load
	// ChargedFor is how long the slot stays charged after the release,
	// because the server may still be running the request.
	ChargedFor time.Duration
}

// Permit is the right to run one request on one backend server.
type Permit struct {
	Server  table.Server
	once    sync.Once
	release func(Result)
}

// NewPermit returns a permit that calls release once.
func NewPermit(server table.Server, release func(Result)) *Permit {
	return &Permit{Server: server, release: release}
}

// Release ends the permit. Calls after the first have no effect.
func (p *Permit) Release(result Result) {
	p.once.Do(func() { p.release(result) })
}

// OverloadError reports that no server can take the request in time. The
// request was not run.
type OverloadError struct {
	Service string
	// RetryAfter is when a new try has a chance.
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return fmt.Sprintf("loadbalancer: service %s is overloaded, retry after %v", e.Service, e.RetryAfter)
}

// NoServerError reports a service without a backend server that may be used.
type NoServerError struct {
	Service string
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("loadbalancer: service %s has no usable backend server", e.Service)
}
