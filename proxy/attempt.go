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
	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

// answer is the answer of a backend server: held whole, or its head with a
// prefix of the body and the rest as a stream.
type answer struct {
	server string
	status int
	header http.Header
	held   []byte
	// rest is nil if held is the whole body.
	rest io.ReadCloser
	// length is the body's length, or -1.
	length int64
	// end releases what the stream uses. It is called once, with the error
	// that broke the stream off or nil.
	end func(err error)
}

// failure is an attempt without an answer.
type failure struct {
	server string
	err    error
	// ans is the server's whole answer if its status alone made it a
	// failure.
	ans *answer
	// notRun is set if the request provably did not run.
	notRun bool
	// lost is set if the connection broke off abruptly after the request
	// was sent and before an answer began.
	lost bool
}

// discard drops what the failed attempt holds.
func (f *failure) discard() {
	if f != nil && f.ans != nil {
		f.ans.end(nil)
	}
}

// attempt is one try of an exchange on one backend server.
type attempt struct {
	x      *exchange
	permit *loadbalancer.Permit
	start  time.Time
	sent   sendRecord
}

// run sends the request and reads the answer's head and up to the hold limit
// of its body. Exactly one of the results is set. The permit is released when
// the server is done with the request.
func (a *attempt) run(ctx context.Context) (*answer, *failure) {
	server := a.permit.Server
	a.start = time.Now()
	resp, err := a.x.p.transports.get(server).RoundTrip(a.request(a.sent.trace(ctx), server))
	if err != nil {
		return nil, a.sendFailed(ctx, err)
	}
	if err := a.check(resp); err != nil {
		return nil, a.reject(resp, err)
	}
	return a.read(ctx, resp)
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
	a.x.body.set(out, a.x.route.Repeatable)
	return out
}

// hideKey writes the key's field names in lower case, which are equal on the
// wire: the transport resends requests in whose header it finds the canonical
// names.
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

// sendFailed ends an attempt whose answer head did not arrive.
func (a *attempt) sendFailed(ctx context.Context, err error) *failure {
	f := &failure{server: a.permit.Server.Name, err: &SendError{Server: a.permit.Server.Name, Err: err}}
	f.notRun = a.sent.sealUnsent()
	cancelled := ctx.Err() != nil
	f.lost = !f.notRun && !cancelled && a.sent.cutUnanswered()
	class := loadbalancer.ClassFailed
	switch {
	case f.notRun && !cancelled:
		class = loadbalancer.ClassUnreachable
	case givenUp(ctx):
		class = loadbalancer.ClassCancelled
	}
	a.release(class, nil, !f.notRun)
	return f
}

// givenUp reports whether the instance ended the attempt itself, other than by
// its deadline.
func givenUp(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// check returns the reason for which the answer can't be used, if any.
func (a *attempt) check(resp *http.Response) error {
	server := a.permit.Server.Name
	mark := resp.Header.Get(outcome.HeaderRequestID)
	if a.x.service.ChecksMark && mark != a.x.id {
		return &MarkError{Server: server, Want: a.x.id, Got: mark}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(outcome.HeaderNotRun) == "true" {
		return &RefusedError{Server: server, Status: resp.StatusCode}
	}
	if unframed(resp) {
		return &UnframedError{Server: server}
	}
	return nil
}

func unframed(resp *http.Response) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead {
		return false
	}
	return resp.Body != http.NoBody
}

// reject discards an answer that can't be used.
func (a *attempt) reject(resp *http.Response, err error) *failure {
	var refused *RefusedError
	var wrong *MarkError
	f := &failure{server: a.permit.Server.Name, err: err, notRun: errors.As(err, &refused)}
	class := loadbalancer.ClassFailed
	if f.notRun {
		class = loadbalancer.ClassRefused
	}
	load := parseLoad(resp.Header)
	// The rest of a small answer is read so that its connection is kept;
	// closing an answer before its end closes the connection.
	_, copyErr := io.CopyN(io.Discard, resp.Body, discardLimit)
	running := !errors.Is(copyErr, io.EOF) || errors.As(err, &wrong)
	_ = resp.Body.Close()
	a.release(class, load, running && !f.notRun)
	return f
}

const discardLimit = 16 << 10

// read takes in the answer's body up to the hold limit.
func (a *attempt) read(ctx context.Context, resp *http.Response) (*answer, *failure) {
	ans := &answer{
		server: a.permit.Server.Name,
		status: resp.StatusCode,
		header: hop.EndToEnd(resp.Header),
		length: resp.ContentLength,
	}
	load := parseLoad(resp.Header)
	room := heldSize(resp.ContentLength, a.x.p.opts.HoldBytes)
	if !a.x.p.memory.reserve(room) {
		return a.stream(ans, resp, load, 0), nil
	}
	whole, err := a.hold(ans, resp)
	if err != nil {
		a.x.p.memory.release(room)
		return nil, a.truncated(ctx, resp, load, err)
	}
	if !whole {
		return a.stream(ans, resp, load, room), nil
	}
	_ = resp.Body.Close()
	a.release(classOf(resp.StatusCode), load, false)
	ans.end = func(error) { a.x.p.memory.release(room) }
	return a.judge(ans)
}

// hold reads the body up to the hold limit and reports whether that was all.
func (a *attempt) hold(ans *answer, resp *http.Response) (whole bool, err error) {
	limit := a.x.p.opts.HoldBytes
	var buf bytes.Buffer
	if 0 < resp.ContentLength && resp.ContentLength <= limit {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	ans.held = buf.Bytes()
	return n <= limit, err
}

// stream makes the rest of the answer a stream. Room is what its held part
// takes.
func (a *attempt) stream(ans *answer, resp *http.Response, load *loadbalancer.Load, room int64) *answer {
	ans.rest = resp.Body
	ans.end = func(err error) {
		a.x.p.memory.release(room)
		a.endStream(resp, load, err)
	}
	return ans
}

// judge makes a server error on a repeatable request a failure, so that it
// may be tried elsewhere.
func (a *attempt) judge(ans *answer) (*answer, *failure) {
	if !a.x.route.Repeatable || ans.status < http.StatusInternalServerError {
		return ans, nil
	}
	err := &StatusError{Server: ans.server, Status: ans.status}
	return nil, &failure{server: ans.server, err: err, ans: ans}
}

func (a *attempt) truncated(ctx context.Context, resp *http.Response, load *loadbalancer.Load, err error) *failure {
	cancelled := givenUp(ctx)
	_ = resp.Body.Close()
	class := loadbalancer.ClassFailed
	if cancelled {
		class = loadbalancer.ClassCancelled
	}
	a.release(class, load, true)
	return &failure{server: a.permit.Server.Name, err: &TruncatedError{Server: a.permit.Server.Name, Err: err}}
}

func (a *attempt) endStream(resp *http.Response, load *loadbalancer.Load, err error) {
	_ = resp.Body.Close()
	class := classOf(resp.StatusCode)
	var truncated *TruncatedError
	switch {
	case errors.As(err, &truncated):
		class = loadbalancer.ClassFailed
	case err != nil:
		class = loadbalancer.ClassCancelled
	}
	a.release(class, load, err != nil)
}

func classOf(status int) loadbalancer.Class {
	if status >= http.StatusInternalServerError {
		return loadbalancer.ClassFailed
	}
	return loadbalancer.ClassOK
}

// release ends the permit. The slot stays charged for the cancel grace if the
// server may still be running the request.
func (a *attempt) release(class loadbalancer.Class, load *loadbalancer.Load, running bool) {
	result := loadbalancer.Result{Class: class, Latency: time.Since(a.start), Load: load}
	if running {
		result.ChargedFor = time.Duration(a.x.service.CancelGraceMS) * time.Millisecond
	}
	a.x.p.observe(a.permit.Server, a.x.service.Name, result)
	a.permit.Release(result)
}
