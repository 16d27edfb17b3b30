package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/outcome"
)

// maxStoredBodyBytes is the largest response body that is stored for replay.
const maxStoredBodyBytes = 4 << 10

// computeFingerprint returns a hash of the service, method, path, query and the
// buffered part of the body. Requests with equal fingerprints count as the
// same.
func (x *exchange) computeFingerprint() [32]byte {
	return hop.Fingerprint([][]byte{x.body.buffered}, x.route.Service, x.in.Method, x.in.URL.RequestURI())
}

// checkKey validates the idempotency key and requires one for non-repeatable
// requests if the route says so.
func (x *exchange) checkKey() *outcome.Error {
	key := x.in.Header.Get(outcome.HeaderIdempotencyKey)
	if !validKey(key) || len(x.in.Header.Values(outcome.HeaderIdempotencyKey)) > 1 {
		return badRequest(&HeaderError{Name: outcome.HeaderIdempotencyKey, Value: key})
	}
	if key == "" && x.route.KeyRequired && !x.route.Repeatable {
		return &outcome.Error{
			Outcome: outcome.NotRun, Status: http.StatusBadRequest, Code: outcome.CodeKeyRequired,
			Detail: "the route needs an " + outcome.HeaderIdempotencyKey + " header",
		}
	}
	return nil
}

// keyed reports whether the request must be claimed before it is sent.
func (x *exchange) keyed() bool {
	return !x.route.Repeatable && x.in.Header.Get(outcome.HeaderIdempotencyKey) != ""
}

// serveKeyed claims the request's key and sends the request if the claim
// allows it. Once sent, an attempt continues even if the caller disconnects.
func (x *exchange) serveKeyed(ctx context.Context, cancel context.CancelFunc, deadline time.Time) (*response, *outcome.Error) {
	req := claim.Request{
		Service:     x.service.Name,
		Key:         x.in.Header.Get(outcome.HeaderIdempotencyKey),
		Fingerprint: x.fingerprint,
		Attempt:     x.p.uniqueID(),
	}
	decision, err := x.p.opts.Claimer.Claim(ctx, req)
	if err != nil {
		cancel()
		return nil, x.claimFailed(err)
	}
	if decision.Verdict != claim.Run {
		cancel()
		return x.existingClaim(decision)
	}
	detached, cancelDetached := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	x.sendCtx = detached
	resp, failed := x.tryServers(ctx)
	resp = x.cancelAtEnd(resp, func() { cancelDetached(); cancel() })
	x.finishClaim(req, resp, failed)
	return resp, failed
}

func (x *exchange) claimFailed(err error) *outcome.Error {
	result := &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: outcome.CodeClaimsDown,
		Detail: "the request's key could not be claimed", RetryAfter: failureRetryAfter, Err: err,
	}
	var unavailable *claim.UnavailableError
	if errors.As(err, &unavailable) && unavailable.RetryAfter > 0 {
		result.RetryAfter = unavailable.RetryAfter
	}
	return result
}

// existingClaim returns the response to a request whose key was claimed before.
func (x *exchange) existingClaim(d claim.Decision) (*response, *outcome.Error) {
	result := &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusConflict}
	switch d.Verdict {
	case claim.Replay:
		return replayedResponse(d.Response), nil
	case claim.InProgress:
		result.Code, result.RetryAfter = outcome.CodeKeyInProgress, max(d.RetryAfter, time.Millisecond)
		result.Detail = "another request with this key is in progress"
	case claim.Finished:
		result.Code, result.Outcome = outcome.CodeKeyFinished, outcome.Ran
		result.Detail = "the request with this key ran; its answer is no longer kept"
	case claim.Mismatch:
		result.Code, result.Outcome = outcome.CodeKeyMismatch, outcome.NotRun
		result.Status = http.StatusUnprocessableEntity
		result.Detail = "the key was used for a different request"
	default:
		result.Code = outcome.CodeKeyUnknown
		result.Detail = "a request with this key may have run"
	}
	return nil, result
}

func replayedResponse(stored *claim.Response) *response {
	header := http.Header(stored.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(outcome.HeaderReplayed, "true")
	return &response{
		status:   stored.Status,
		header:   header,
		buffered: stored.Body,
		length:   int64(len(stored.Body)),
		end:      func(error) {},
	}
}

// finishClaim records the result of the claimed request. For a streamed
// response, it does so at the end of the stream.
func (x *exchange) finishClaim(req claim.Request, resp *response, failed *outcome.Error) {
	claimer := x.p.opts.Claimer
	switch {
	case failed != nil && failed.Outcome == outcome.NotRun:
		claimer.Finish(req, claim.EndNotRun, nil)
	case failed != nil:
		claimer.Finish(req, claim.EndUnknown, nil)
	case resp.rest == nil:
		claimer.Finish(req, claim.EndFinished, storedResponse(resp))
	default:
		x.finishAtEnd(req, resp)
	}
}

func (x *exchange) finishAtEnd(req claim.Request, resp *response) {
	end := resp.end
	resp.end = func(err error) {
		end(err)
		state := claim.EndFinished
		var truncated *TruncatedError
		if errors.As(err, &truncated) {
			state = claim.EndUnknown
		}
		x.p.opts.Claimer.Finish(req, state, nil)
	}
}

// storedResponse returns the response to store for replay, or nil if its body is
// too large.
func storedResponse(resp *response) *claim.Response {
	if len(resp.buffered) > maxStoredBodyBytes {
		return nil
	}
	return &claim.Response{Status: resp.status, Header: resp.header, Body: resp.buffered}
}
