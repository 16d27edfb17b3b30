package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/internal/respcheck"
	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

// response is the response of a backend server. Its body is either completely
// buffered, or a buffered prefix and a stream of the rest.
type response struct {
	server   string
	status   int
	header   http.Header
	buffered []byte
	// rest is nil if the body is completely buffered.
	rest io.ReadCloser
	// length is the body's length in bytes, or -1 if unknown.
	length int64
	// end releases the resources of the response. It is called once, with
	// the error that interrupted the body, or nil.
	end func(err error)
}

// failure is the result of a failed attempt.
type failure struct {
	server string
	err    error
	// resp is the server's complete response if the attempt failed only
	// because of its status.
	resp *response
	// notRun is set if the request provably did not run.
	notRun bool
	// connLost is set if the connection was lost after the request was sent
	// and before the response was whole.
	connLost bool
	// sentAt is when the attempt began.
	sentAt time.Time
}

// discard releases the response of the failed attempt, if any.
func (f *failure) discard() {
	if f != nil && f.resp != nil {
		f.resp.end(nil)
	}
}

// attempt is one attempt to serve an exchange on one backend server.
type attempt struct {
	x      *exchange
	permit *loadbalancer.Permit
	start  time.Time
	sent   sendRecord
}

// run sends the request and reads the response's header and its body up to the
// buffer limit. Exactly one of the results is set. The permit is released when
// the response has been read to its end or the attempt has failed.
func (a *attempt) run(ctx context.Context) (*response, *failure) {
	server := a.permit.Server
	a.start = time.Now()
	httpResp, err := a.roundTrip(ctx, server)
	if err != nil {
		return nil, a.sendFailed(ctx, err)
	}
	if err := a.checkResponse(httpResp); err != nil {
		return nil, a.rejectResponse(httpResp, err)
	}
	return a.readResponse(ctx, httpResp)
}

// roundTrip sends the request on a connection that has not carried its ID before: the server may write
// the response to an earlier request once more, and with the same ID that could not be told from the
// response to this one. A streamed body can't be sent again, so its first connection is kept; a later
// refusal there is no proof.
func (a *attempt) roundTrip(ctx context.Context, server table.Server) (*http.Response, error) {
	a.sent.id, a.sent.onlyOnce = a.x.id, a.x.body.resendable()
	for {
		// Each repetition closes a connection, and a new one has carried nothing.
		httpResp, err := a.x.p.transports.get(server).RoundTrip(a.request(a.sent.trace(ctx), server))
		if !a.sent.refusedConn() {
			return httpResp, err
		}
		if err == nil {
			_ = httpResp.Body.Close()
		}
	}
}

func (a *attempt) request(ctx context.Context, server table.Server) *http.Request {
	in := a.x.in
	out := (&http.Request{
		Method: in.Method,
		URL:    cloneURL(in.URL, server.Address),
		Host:   in.Host,
		Header: hop.EndToEnd(in.Header),
	}).WithContext(ctx)
	out.Header.Set(outcome.HeaderRequestID, a.x.id)
	out.Header.Set(outcome.HeaderDeadline, remainingMS(ctx))
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "")
	}
	if !a.x.route.Repeatable {
		hideKey(out.Header)
	}
	a.x.body.attach(out, a.x.route.Repeatable)
	return out
}

// hideKey writes the names of the idempotency key headers in lower case, which
// makes no difference on the wire: [http.Transport] resends a request by itself
// if it finds the canonical names in the header.
func hideKey(header http.Header) {
	for _, name := range []string{outcome.HeaderIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

func remainingMS(ctx context.Context) string {
	deadline, _ := ctx.Deadline()
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}

// sendFailed ends an attempt that failed before the response's header arrived.
func (a *attempt) sendFailed(ctx context.Context, err error) *failure {
	f := &failure{server: a.permit.Server.Name, sentAt: a.start, err: &SendError{Server: a.permit.Server.Name, Err: err}}
	f.notRun = a.sent.confirmUnsent()
	ctxDone := ctx.Err() != nil
	f.connLost = !f.notRun && !ctxDone && a.sent.noResponse()
	class := loadbalancer.ClassFailed
	switch {
	case f.notRun && !ctxDone:
		class = loadbalancer.ClassUnreachable
	case wasCancelled(ctx):
		class = loadbalancer.ClassCancelled
	}
	a.release(class, nil, !f.notRun)
	return f
}

// wasCancelled reports whether the attempt was cancelled, rather than ended by
// its deadline.
func wasCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// checkResponse returns the reason why the response can't be used, if any.
func (a *attempt) checkResponse(httpResp *http.Response) error {
	server := a.permit.Server.Name
	refused := httpResp.StatusCode == http.StatusServiceUnavailable && httpResp.Header.Get(outcome.HeaderNotRun) == "true"
	responseID := httpResp.Header.Get(outcome.HeaderRequestID)
	if !a.hasID(httpResp) && (a.x.service.ChecksMark || refused && responseID != "") {
		return &RequestIDMismatchError{Server: server, Want: a.x.id, Got: responseID}
	}
	if refused {
		return &RefusedError{Server: server, Status: httpResp.StatusCode}
	}
	if unframed(httpResp) {
		return &UnframedError{Server: server}
	}
	return nil
}

// hasID reports whether a response bears the ID of the request.
func (a *attempt) hasID(httpResp *http.Response) bool {
	return httpResp.Header.Get(outcome.HeaderRequestID) == a.x.id
}

// unframed reports whether the body's end is marked only by the close of the
// connection.
func unframed(httpResp *http.Response) bool {
	return httpResp.Request.Method != http.MethodHead && respcheck.EndsWithConnection(httpResp)
}

// rejectResponse discards a response that can't be used.
func (a *attempt) rejectResponse(httpResp *http.Response, err error) *failure {
	var refused *RefusedError
	var mismatch *RequestIDMismatchError
	f := &failure{server: a.permit.Server.Name, err: err}
	switch {
	case errors.As(err, &refused):
		f.notRun = a.sent.confirmRefusal(a.hasID(httpResp))
	case errors.As(err, &mismatch):
		a.sent.endUse()
	}
	class := loadbalancer.ClassFailed
	if f.notRun {
		class = loadbalancer.ClassRefused
	}
	load := parseLoad(httpResp.Header)
	// Whether the server still works on the request shows at the end of a small body.
	_, copyErr := io.CopyN(io.Discard, httpResp.Body, discardLimit)
	running := !errors.Is(copyErr, io.EOF) || errors.As(err, &mismatch)
	_ = httpResp.Body.Close()
	a.release(class, load, running && !f.notRun)
	return f
}

// discardLimit bounds the bytes read of a rejected response.
const discardLimit = 16 << 10

// readResponse reads the body up to the buffer limit. A response that doesn't
// fit into the buffer memory is streamed.
func (a *attempt) readResponse(ctx context.Context, httpResp *http.Response) (*response, *failure) {
	resp := &response{
		server: a.permit.Server.Name,
		status: httpResp.StatusCode,
		header: hop.EndToEnd(httpResp.Header),
		length: httpResp.ContentLength,
	}
	load := parseLoad(httpResp.Header)
	reserved := bufferedSize(httpResp.ContentLength, a.x.p.opts.BodyBufferBytes)
	if !a.x.p.memory.reserve(reserved) {
		return a.stream(resp, httpResp, load, 0), nil
	}
	complete, err := a.bufferBody(resp, httpResp)
	if err != nil {
		a.x.p.memory.release(reserved)
		return nil, a.bodyFailed(ctx, httpResp, load, err)
	}
	if !complete {
		return a.stream(resp, httpResp, load, reserved), nil
	}
	_ = httpResp.Body.Close()
	if a.hasID(httpResp) {
		a.sent.confirmAnswer()
	}
	a.x.reportAnswer()
	a.release(classOf(httpResp.StatusCode), load, false)
	resp.end = func(error) { a.x.p.memory.release(reserved) }
	return a.checkStatus(resp)
}

// bufferBody reads the body up to the buffer limit and reports whether it was
// complete.
func (a *attempt) bufferBody(resp *response, httpResp *http.Response) (complete bool, err error) {
	limit := a.x.p.opts.BodyBufferBytes
	var buf bytes.Buffer
	if 0 < httpResp.ContentLength && httpResp.ContentLength <= limit {
		buf.Grow(int(httpResp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(httpResp.Body, limit+1))
	resp.buffered = buf.Bytes()
	return n <= limit, err
}

// stream makes the rest of the body a stream. The buffered part has reserved
// bytes of buffer memory.
func (a *attempt) stream(resp *response, httpResp *http.Response, load *loadbalancer.Load, reserved int64) *response {
	resp.rest = httpResp.Body
	resp.end = func(err error) {
		a.x.p.memory.release(reserved)
		a.endStream(httpResp, load, err)
	}
	return resp
}

// checkStatus turns a server error status on a repeatable request into a
// failure, so that the request may be retried on another server.
func (a *attempt) checkStatus(resp *response) (*response, *failure) {
	if !a.x.route.Repeatable || resp.status < http.StatusInternalServerError {
		return resp, nil
	}
	err := &StatusError{Server: resp.server, Status: resp.status}
	return nil, &failure{server: resp.server, err: err, resp: resp}
}

func (a *attempt) bodyFailed(ctx context.Context, httpResp *http.Response, load *loadbalancer.Load, err error) *failure {
	cancelled := wasCancelled(ctx)
	_ = httpResp.Body.Close()
	class := loadbalancer.ClassFailed
	if cancelled {
		class = loadbalancer.ClassCancelled
	}
	a.release(class, load, true)
	return &failure{
		server: a.permit.Server.Name, err: &TruncatedError{Server: a.permit.Server.Name, Err: err},
		connLost: ctx.Err() == nil, sentAt: a.start,
	}
}

func (a *attempt) endStream(httpResp *http.Response, load *loadbalancer.Load, err error) {
	_ = httpResp.Body.Close()
	class := classOf(httpResp.StatusCode)
	var truncated *TruncatedError
	switch {
	case errors.As(err, &truncated):
		class = loadbalancer.ClassFailed
		a.x.reportLoss(a.permit.Server.Name, a.start)
	case err != nil:
		class = loadbalancer.ClassCancelled
	case a.hasID(httpResp):
		a.sent.confirmAnswer()
	}
	if err == nil {
		a.x.reportAnswer()
	}
	a.release(class, load, err != nil)
}

func classOf(status int) loadbalancer.Class {
	if status >= http.StatusInternalServerError {
		return loadbalancer.ClassFailed
	}
	return loadbalancer.ClassOK
}

// release releases the permit. The slot stays charged for the cancel grace if
// the server may still be running the request.
func (a *attempt) release(class loadbalancer.Class, load *loadbalancer.Load, running bool) {
	result := loadbalancer.Result{Class: class, Latency: time.Since(a.start), Load: load}
	if running {
		result.ChargedFor = time.Duration(a.x.service.CancelGraceMS) * time.Millisecond
	}
	a.x.p.observe(a.permit.Server, a.x.service.Name, result)
	a.permit.Release(result)
}
