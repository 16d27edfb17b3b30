package proxy

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/quarantine"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// notReadyRetryAfter is the Retry-After of an instance without a table.
	notReadyRetryAfter = time.Second
	// failureRetryAfter is the Retry-After of other temporary failures.
	failureRetryAfter = time.Second
)

// exchange is one request of a caller, from its arrival to its response.
type exchange struct {
	p           *Proxy
	w           http.ResponseWriter
	in          *http.Request
	id          string
	receivedAt  time.Time
	snapshot    *table.Snapshot
	route       table.Route
	service     *table.Service
	state       *serviceState
	body        *requestBody
	fingerprint [32]byte
	// trial is not 0 if the request tries whether a server survives it.
	trial uint64
	// reserved is the buffer memory reserved for the request's body, in bytes.
	reserved int64
	// sendCtx, if set, replaces the caller's context for attempts.
	sendCtx context.Context

	attempts      int
	failedServers []string
	// mayHaveRun is set once an attempt failed without proof that the request
	// did not run.
	mayHaveRun bool
}

// ServeHTTP implements [http.Handler].
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.counters.requests.Add(1)
	p.counters.inFlight.Add(1)
	defer p.counters.inFlight.Add(-1)
	x := &exchange{p: p, w: w, in: r, receivedAt: time.Now(), id: p.requestID(r)}
	defer func() { p.memory.release(x.reserved) }()
	resp, failed := x.serve()
	if failed != nil {
		x.writeError(failed)
		return
	}
	x.writeResponse(resp)
}

// serve returns the response of a backend server or the error to send.
func (x *exchange) serve() (*response, *outcome.Error) {
	if failed := x.matchRoute(); failed != nil {
		return nil, failed
	}
	deadline, failed := x.deadline()
	if failed != nil {
		return nil, failed
	}
	if failed := x.checkKey(); failed != nil {
		return nil, failed
	}
	if failed := x.readBody(deadline); failed != nil {
		return nil, failed
	}
	ctx, cancel := context.WithDeadline(x.in.Context(), deadline)
	x.fingerprint = x.computeFingerprint()
	if failed := x.checkQuarantine(ctx, deadline); failed != nil {
		cancel()
		return nil, failed
	}
	defer x.endTrial()
	if x.keyed() {
		return x.serveKeyed(ctx, cancel, deadline)
	}
	resp, failed := x.tryServers(ctx)
	return x.cancelAtEnd(resp, cancel), failed
}

// cancelAtEnd calls cancel when the response has been read to its end: at once
// if there is nothing left to stream.
func (x *exchange) cancelAtEnd(resp *response, cancel context.CancelFunc) *response {
	if resp == nil || resp.rest == nil {
		cancel()
		return resp
	}
	end := resp.end
	resp.end = func(err error) {
		end(err)
		cancel()
	}
	return resp
}

func (x *exchange) matchRoute() *outcome.Error {
	x.snapshot = x.p.opts.Current.Load()
	if x.snapshot == nil {
		return &outcome.Error{
			Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: outcome.CodeNotReady,
			Detail: "no table is in force yet", RetryAfter: notReadyRetryAfter,
		}
	}
	route, ok := x.snapshot.Match(x.in)
	if !ok || x.snapshot.Service(route.Service) == nil {
		return &outcome.Error{
			Outcome: outcome.NotRun, Status: http.StatusNotFound, Code: outcome.CodeNoRoute,
			Detail: "no route of the table matches",
		}
	}
	x.route = route
	x.service = x.snapshot.Service(route.Service)
	x.state = x.p.service(x.service.Name)
	x.state.budget.earn(x.service.RetryPercent)
	return nil
}

func badRequest(err error) *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusBadRequest, Code: outcome.CodeBadRequest,
		Detail: err.Error(), Err: err,
	}
}

// deadline returns the earlier of the caller's and the route's deadline.
func (x *exchange) deadline() (time.Time, *outcome.Error) {
	limit := x.snapshot.Deadline(x.route)
	timeout, err := callerTimeout(x.in.Header)
	if err != nil {
		return time.Time{}, badRequest(err)
	}
	if timeout > 0 && (limit == 0 || timeout < limit) {
		limit = timeout
	}
	return x.receivedAt.Add(limit), nil
}

func (x *exchange) readBody(deadline time.Time) *outcome.Error {
	if x.in.ContentLength != 0 {
		rc := http.NewResponseController(x.w)
		_ = rc.SetReadDeadline(deadline)
		// A read deadline that expires later would look like a disconnected
		// caller.
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	limit := x.service.MaxBodyBytes
	bufferLimit := min(x.p.opts.BodyBufferBytes, limit)
	if x.keyed() {
		bufferLimit = limit
	}
	size := bufferedSize(x.in.ContentLength, bufferLimit)
	if !x.p.memory.reserve(size) {
		return x.buffersFull()
	}
	x.reserved = size
	body, err := readBody(x.in, bufferLimit, limit)
	var large *BodyTooLargeError
	switch {
	case errors.As(err, &large):
		return &outcome.Error{
			Outcome: outcome.NotRun, Status: http.StatusRequestEntityTooLarge, Code: outcome.CodeBodyTooLarge,
			Detail: err.Error(), Err: err,
		}
	case errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		return x.bodyTimeout(err)
	case err != nil:
		return badRequest(err)
	}
	x.body = body
	return nil
}

func (x *exchange) buffersFull() *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: outcome.CodeOverload,
		Detail: "the instance holds too many bodies", RetryAfter: failureRetryAfter,
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (x *exchange) checkQuarantine(ctx context.Context, deadline time.Time) *outcome.Error {
	if x.p.opts.Quarantine == nil {
		return nil
	}
	verdict := x.p.opts.Quarantine.Check(ctx, x.fingerprint, deadline)
	x.trial = verdict.Trial
	if !verdict.Refused {
		return nil
	}
	return outcome.Quarantined(verdict.Confirmed, verdict.RetryAfter)
}

// endTrial ends the trial of a request that did not run.
func (x *exchange) endTrial() {
	if x.trial != 0 && !x.mayHaveRun {
		x.p.opts.Quarantine.EndTrial(x.fingerprint, x.trial)
	}
}

// reportAnswer reports a whole response of a server that ran the request. A stored response to an
// earlier request with the same key says nothing about the request now.
func (x *exchange) reportAnswer() {
	if x.p.opts.Quarantine != nil {
		x.p.opts.Quarantine.ReportOK(x.fingerprint)
	}
}

// reportLoss reports that the connection to a server was lost before a whole response.
func (x *exchange) reportLoss(server string, sentAt time.Time) {
	if x.p.opts.Quarantine != nil {
		x.p.opts.Quarantine.ReportLoss(x.fingerprint, quarantine.Loss{Server: server, Sent: sentAt, At: time.Now()})
	}
}

// tryServers makes attempts until one returns a response or no further attempt
// is allowed.
func (x *exchange) tryServers(ctx context.Context) (*response, *outcome.Error) {
	for {
		permit, err := x.p.opts.Balancer.Acquire(ctx, x.balanceRequest())
		if err != nil {
			return nil, x.acquireFailed(ctx, err)
		}
		resp, failed := x.runAttempt(x.attemptContext(ctx), permit)
		if resp != nil {
			return resp, nil
		}
		x.recordFailure(failed)
		if !x.mayRetry(ctx, failed) {
			if failed.resp != nil {
				return failed.resp, nil
			}
			return nil, x.finalError(ctx, failed)
		}
		failed.discard()
		x.p.counters.retries.Add(1)
	}
}

func (x *exchange) attemptContext(ctx context.Context) context.Context {
	if x.sendCtx != nil {
		return x.sendCtx
	}
	return ctx
}

func (x *exchange) balanceRequest() loadbalancer.Request {
	return loadbalancer.Request{
		Service: x.service.Name,
		Exclude: x.failedServers,
		Flow:    x.in.Header.Get(outcome.HeaderCaller),
	}
}

// recordFailure records a failed attempt for later attempts, the outcome and
// the quarantine.
func (x *exchange) recordFailure(f *failure) {
	x.failedServers = append(x.failedServers, f.server)
	if !f.notRun {
		x.mayHaveRun = true
	}
	if f.connLost {
		x.reportLoss(f.server, f.sentAt)
	}
	x.p.log(slog.LevelInfo, "attempt failed", slog.String("request", x.id), slog.String("service", x.service.Name),
		slog.String("server", f.server), slog.Bool("not_run", f.notRun), slog.Any("error", f.err))
}

// canSendAgain reports whether the attempt limit and the body allow a further
// attempt.
func (x *exchange) canSendAgain() bool {
	return x.attempts < maxAttempts && !x.body.consumed()
}

// mayRetry reports whether the request may be sent again after f, and takes the
// attempt from the retry budget if so.
func (x *exchange) mayRetry(ctx context.Context, f *failure) bool {
	if ctx.Err() != nil || !x.canSendAgain() {
		return false
	}
	if !f.notRun && !x.route.Repeatable {
		return false
	}
	if f.connLost && x.p.opts.Quarantine != nil && (x.trial != 0 || !x.p.opts.Quarantine.AllowSecondAttempt(x.fingerprint)) {
		return false
	}
	return x.state.budget.take()
}

// acquireFailed converts a balancer's error into the error to send.
func (x *exchange) acquireFailed(ctx context.Context, err error) *outcome.Error {
	result := &outcome.Error{Outcome: x.outcomeSoFar(), Status: http.StatusServiceUnavailable, Err: err, Detail: err.Error()}
	var overload *loadbalancer.OverloadError
	var none *loadbalancer.NoServerError
	switch {
	case errors.As(err, &overload):
		result.Code, result.RetryAfter = outcome.CodeOverload, overload.RetryAfter
	case errors.As(err, &none):
		result.Code, result.RetryAfter = outcome.CodeNoServer, failureRetryAfter
	case x.in.Context().Err() != nil:
		result.Code, result.Status = outcome.CodeCallerGone, statusClientClosedRequest
	case ctx.Err() != nil:
		return x.deadlineExceeded(err)
	default:
		result.Code, result.RetryAfter = outcome.CodeNoServer, failureRetryAfter
	}
	return result
}

// statusClientClosedRequest is the status that nginx introduced for a caller
// that disconnected before it got a response. It is only logged.
const statusClientClosedRequest = 499

func (x *exchange) outcomeSoFar() outcome.Outcome {
	if x.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (x *exchange) deadlineExceeded(err error) *outcome.Error {
	return &outcome.Error{
		Outcome: x.outcomeSoFar(), Status: http.StatusGatewayTimeout, Code: outcome.CodeDeadline,
		Detail: "the request's deadline passed", RetryAfter: failureRetryAfter, Err: err,
	}
}

func (x *exchange) bodyTimeout(err error) *outcome.Error {
	result := x.deadlineExceeded(err)
	result.Status = http.StatusRequestTimeout
	result.Detail = "the request's body did not arrive before its deadline"
	return result
}

// finalError returns the error to send after the last attempt failed.
func (x *exchange) finalError(ctx context.Context, f *failure) *outcome.Error {
	if x.in.Context().Err() == nil && ctx.Err() != nil {
		return x.deadlineExceeded(f.err)
	}
	if readErr := x.body.readErr.Load(); readErr != nil {
		result := badRequest(readErr)
		result.Outcome = x.outcomeSoFar()
		return result
	}
	code := outcome.CodeServerFailed
	status := http.StatusBadGateway
	if f.notRun {
		code = outcome.CodeServerUnreached
		status = http.StatusServiceUnavailable
	}
	return &outcome.Error{
		Outcome: x.outcomeSoFar(), Status: status, Code: code,
		Detail: "no backend server answered the request whole", RetryAfter: failureRetryAfter, Err: f.err,
	}
}
