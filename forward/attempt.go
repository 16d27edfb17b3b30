package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/internal/respcheck"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/serverconn"
)

const (
	// maxUncheckedIdle is how long a connection may be idle before it is checked
	// for a non-repeatable request. Some servers drop connections that were idle
	// for 180 ms.
	maxUncheckedIdle = 150 * time.Millisecond
	// idleCheckTimeout limits the check of an idle connection. Opening a new
	// connection takes less.
	idleCheckTimeout = 50 * time.Millisecond
)

// attempt is one attempt of an exchange at one server.
type attempt struct {
	x           *exchange
	reservation reservation
	// identity is that of the exchange when the attempt began.
	identity identity
	// open is told how the attempt ends, once it has been sent.
	open OpenAttempt
}

// response is a server's response: buffered completely, or a buffered prefix and a
// stream of the rest.
type response struct {
	server   string
	status   int
	header   http.Header
	buffered []byte
	// more is what was buffered behind buffered because of pipelined requests.
	more []byte
	rest io.ReadCloser
	// length is the length of the body, or -1 if unknown.
	length int64
	// via is the connection that it came on.
	via connUse
	// charged is the memory that is charged for the buffered part.
	charged int64
	// cancel ends the attempt that rest is read from.
	cancel context.CancelFunc
}

func (r *response) close() {
	if r.rest != nil {
		_ = r.rest.Close()
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// connUse is one use of a connection, for logs. The zero value stands for none.
type connUse struct {
	conn  uint64
	use   int
	early bool
	// written is the time at which the first byte of the request was written.
	written time.Time
}

func useOf(conn *serverconn.Conn) connUse {
	return connUse{conn: conn.Number, use: conn.Uses, early: conn.Early, written: conn.Written()}
}

// attrs returns the number of the connection, how often it had been used by then, whether
// the response began before the whole request was written, and when that was begun.
func (u connUse) attrs() []slog.Attr {
	if u.use == 0 {
		return nil
	}
	attrs := []slog.Attr{slog.Uint64("conn", u.conn), slog.Int("use", u.use), slog.Bool("early", u.early)}
	if !u.written.IsZero() {
		attrs = append(attrs, slog.Time("written", u.written))
	}
	return attrs
}

// result is the result of an attempt.
type result struct {
	server directory.Server
	// via is the connection that the request was sent on.
	via  connUse
	resp *response
	// failed is set if the response is a server error on a repeatable request.
	failed bool
	// notRun is set if the request certainly did not run.
	notRun bool
	// unsent is set if no byte of the request was sent.
	unsent bool
	// connLost is set if the connection broke before a whole response, while the server may
	// have been running the request.
	connLost bool
	// rejected is set if a server with free slots rejected the request.
	rejected bool
	// unreached is set if no connection to the server could be opened.
	unreached bool
	// evacuated is set if the request was not sent because the data centre of the server
	// was evacuated after the server was chosen, or the process was stopped then.
	evacuated bool
	// peer is the ID of the peer that the request was delegated to, in place of a server;
	// refusal is the error that it responded with itself.
	peer    string
	refusal *outcome.Error
	err     error
}

// closeResponse closes the response, if there is one, because it is not passed on.
func (r *result) closeResponse(h *held) {
	if r.resp != nil {
		r.resp.close()
		h.returnResponse(r.resp.charged)
		r.resp = nil
	}
}

// ResponseError reports a response that can't be passed on to the caller.
type ResponseError struct {
	Server string
	Status int
	Reason string
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("forward: response with status %d from %s: %s", e.Status, e.Server, e.Reason)
}

// run sends the request and reads the response.
func (a *attempt) run(ctx context.Context) result {
	x := a.x
	defer a.reservation.release()
	conn, err := a.connect(ctx)
	if err == nil {
		if err = a.checkEvacuated(ctx); err != nil {
			conn.Close()
		}
	}
	if err != nil {
		r := result{server: a.reservation.server, notRun: true, unsent: true, err: err}
		var evacuated *EvacuatedError
		if r.evacuated = errors.As(err, &evacuated); !r.evacuated {
			r.unreached = a.connectFailed(ctx, err)
		}
		return r
	}
	left := time.Until(x.deadline)
	if left < minSendTime || ctx.Err() != nil {
		conn.Close()
		return result{server: a.reservation.server, notRun: true, unsent: true, err: context.DeadlineExceeded}
	}
	if !x.body.streamed() {
		// A streamed body has been read in part by then, so that the request could not go to
		// another server.
		conn.MayWrite = func() error { return a.mayWrite(ctx) }
	}
	a.open = x.f.opts.Quarantine.Sent(x.fingerprint, SentAttempt{
		Request: x.caller.ID, Server: a.reservation.server.ID, Started: a.reservation.server.Born, At: time.Now(),
	})
	resp, err := conn.RoundTrip(ctx, a.request(left), x.matches(conn, a.reservation.server.ID))
	if err != nil {
		return a.sendFailed(ctx, conn, err)
	}
	return a.classify(ctx, conn, resp)
}

// connect returns a connection to the server. The server may have dropped an idle
// connection, which shows only when something is sent; a non-repeatable request
// would then be lost. A status check on the connection detects this beforehand.
func (a *attempt) connect(ctx context.Context) (*serverconn.Conn, error) {
	x := a.x
	for {
		if err := a.checkEvacuated(ctx); err != nil {
			return nil, err
		}
		conn, err := x.f.opts.Pool.GetFor(ctx, a.reservation.server.Address, x.f.opts.ConnLimit(x.service), x.caller.ID)
		if err != nil || x.route.Repeatable || conn.IdleTime < maxUncheckedIdle || x.service.HealthPath == "" {
			return conn, err
		}
		if a.reservation.load.Limit.Named {
			// A check would count as a request.
			conn.Close()
			continue
		}
		if err := a.checkEvacuated(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		conn.MayWrite = func() error { return a.checkEvacuated(ctx) }
		a.checkConn(ctx, conn)
		if now := time.Now(); x.f.opts.Board.Load(a.reservation.server.ID, now).Quiet(now) {
			return nil, &QuietError{Server: a.reservation.server.ID}
		}
	}
}

// EvacuatedError reports that nothing was sent to a server because its data centre is
// evacuated.
type EvacuatedError struct{ Server, DataCentre string }

func (e *EvacuatedError) Error() string {
	return "forward: " + e.Server + " is in the evacuated data centre " + e.DataCentre
}

// checkEvacuated fails with [EvacuatedError] if the data centre of the chosen server has been
// evacuated since it was chosen. It waits if the process was just stopped.
func (a *attempt) checkEvacuated(ctx context.Context) error {
	a.x.f.opts.AwaitCurrent(ctx)
	if s := a.reservation.server; a.x.f.opts.Directory.Evacuated(s.DataCentre) {
		return &EvacuatedError{Server: s.ID, DataCentre: s.DataCentre}
	}
	return nil
}

// errHeld reports that a request was not sent because it waited after a stop of the process, so
// that the time that it gives the server would be too long.
var errHeld = errors.New("forward: the process was stopped before the request was written")

// maxHeld is the time for which a request may be held up after its head was made.
const maxHeld = 20 * time.Millisecond

// mayWrite is the last look before a request is written, since the process may have been stopped
// after the one before.
func (a *attempt) mayWrite(ctx context.Context) error {
	began := time.Now()
	if err := a.checkEvacuated(ctx); err != nil {
		return err
	}
	if time.Since(began) > maxHeld {
		return errHeld
	}
	return nil
}

// QuietError reports that a request was not sent because the server wants nothing from this
// instance for a time.
type QuietError struct{ Server string }

func (e *QuietError) Error() string { return "forward: " + e.Server + " wants quiet" }

// checkConn sends a status check on an idle connection, which returns to the pool if
// it is usable.
func (a *attempt) checkConn(ctx context.Context, conn *serverconn.Conn) {
	x := a.x
	ctx, cancel := context.WithTimeout(ctx, idleCheckTimeout)
	defer cancel()
	began := time.Now()
	x.f.opts.Board.BeganCheck(a.reservation.server.ID, began)
	resp, err := conn.Check(ctx, x.service.HealthPath, func(resp *http.Response) bool {
		return readings.IsCheck(x.f.opts.Protocol, resp)
	})
	if err != nil {
		x.log("kept connection not usable", slog.String("server", a.reservation.server.ID), slog.Duration("rested", conn.IdleTime), slog.Any("error", err))
		return
	}
	a.recordLoad(x.f.opts.Protocol.Report(resp.Header))
	notice := x.f.opts.Protocol.Notice(resp)
	notice.Began = began
	if x.f.opts.Protocol.ServerID(resp.Header) == a.reservation.server.ID {
		x.f.opts.Board.AnsweredTo(a.reservation.server.ID, began, time.Now())
	} else {
		notice.WarmthKnown = false
	}
	x.f.opts.OnNotice(a.reservation.server, notice, true)
}

// connectFailed records that the server can't be reached, and reports whether that is so. It
// ignores attempts that were cancelled, found all connections in use or a server that wants
// quiet.
func (a *attempt) connectFailed(ctx context.Context, err error) (unreached bool) {
	var full *serverconn.FullError
	var quiet *QuietError
	if ctx.Err() != nil || errors.As(err, &full) || errors.As(err, &quiet) {
		return false
	}
	now := time.Now()
	a.x.f.opts.Board.Unanswered(a.reservation.server.ID, now)
	a.x.f.opts.Board.SuspectCold(a.reservation.server.ID, now)
	return true
}

func (a *attempt) request(left time.Duration) *http.Request {
	out := a.x.outgoing()
	a.identity.apply(a.x.f.opts.Protocol, out.Header)
	a.x.f.opts.Protocol.Address(out.Header, a.reservation.server.ID, left)
	return out
}

// requestURL returns a URL that reproduces the request line of the caller.
func requestURL(in *http.Request) *url.URL {
	if strings.HasPrefix(in.RequestURI, "/") && !strings.HasPrefix(in.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: in.Host, Opaque: in.RequestURI}
	}
	out := *in.URL
	out.Scheme, out.Host = "http", in.Host
	return &out
}

// matches returns a function that reports whether a response on the connection belongs to the
// request. Errors that a server returns before it has read the request carry no ID. On a
// connection that has carried anything else, such an error can be a late copy of the response
// to that, and says nothing about this request.
func (x *exchange) matches(conn *serverconn.Conn, server string) func(*http.Response) bool {
	return func(resp *http.Response) bool {
		id := x.f.opts.Protocol.Response(resp).RequestID
		if id == x.caller.ID || id == "" && resp.StatusCode >= http.StatusBadRequest && !conn.Reused() {
			return true
		}
		x.log("response to another request", append([]slog.Attr{
			slog.String("server", server), slog.String("its_request", id),
			slog.Int("status", resp.StatusCode), slog.Duration("rested", conn.IdleTime),
		}, useOf(conn).attrs()...)...)
		return false
	}
}

// sendFailed returns the result of an attempt without a response, or with one whose head is malformed.
func (a *attempt) sendFailed(ctx context.Context, conn *serverconn.Conn, err error) result {
	unsent := serverconn.Unsent(err)
	r := result{server: a.reservation.server, via: useOf(conn), notRun: unsent, unsent: unsent, err: err}
	var evacuated *EvacuatedError
	if r.evacuated = errors.As(err, &evacuated) || errors.Is(err, errHeld); r.evacuated {
		a.open.Settled()
		return r
	}
	var malformed *respcheck.HeadError
	rejected := errors.As(err, &malformed)
	r.connLost = !unsent && !rejected && ctx.Err() == nil
	if unsent {
		a.open.Settled()
	} else {
		a.cut(r.connLost)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return r
	}
	if rejected {
		return a.fail(r, err)
	}
	if ctx.Err() != nil && conn.Reused() {
		// The server may have dropped its connections without a reset.
		a.x.f.opts.Pool.Invalidate(a.reservation.server.Address)
	}
	now := time.Now()
	a.x.f.opts.Board.Unanswered(a.reservation.server.ID, now)
	silentSince := now
	if ctx.Err() != nil {
		// A status check that the server has answered since the request was sent shows what
		// it is now.
		silentSince = a.reservation.reservedAt
	}
	a.x.f.opts.Board.SuspectCold(a.reservation.server.ID, silentSince)
	return r
}

// classify reads a response and decides whether it can be passed on.
func (a *attempt) classify(ctx context.Context, conn *serverconn.Conn, resp *http.Response) result {
	info := a.x.f.opts.Protocol.Response(resp)
	now := time.Now()
	a.x.f.opts.Board.Answered(now)
	a.recordLoad(info.Report)
	if !info.Misdirected {
		a.x.f.opts.Board.AnsweredTo(a.reservation.server.ID, a.reservation.reservedAt, now)
		a.x.f.opts.OnNotice(a.reservation.server, info.Notice, false)
	}
	r := result{server: a.reservation.server, via: useOf(conn)}
	switch {
	case info.NotRun, info.Misdirected:
		a.open.Settled()
		serverconn.Discard(resp)
		r.notRun = true
		r.rejected = !info.Misdirected && info.Notice.Quiet == 0 && a.hadFreeSlots(info.Report)
		r.err = a.responseError(resp, "server did not run the request")
		if info.Misdirected {
			a.x.f.opts.Directory.Retire(a.reservation.server.ID)
		}
		a.x.f.opts.Board.Result(a.reservation.server.ID, true, time.Now())
		return r
	case claimsNotRun(resp.StatusCode):
		a.open.Settled()
		serverconn.Discard(resp)
		return a.fail(r, a.responseError(resp, "status implies that the request did not run, without proof"))
	case resp.StatusCode < http.StatusMultipleChoices && !info.Signed, info.Encoded:
		_ = resp.Body.Close()
		a.cut(false)
		return a.fail(r, a.responseError(resp, "response is not signed or has a content encoding"))
	}
	out, err := a.x.bufferBody(a.reservation.server.ID, resp)
	if err != nil {
		r.connLost = ctx.Err() == nil
		a.cut(r.connLost)
		if errors.Is(ctx.Err(), context.Canceled) {
			r.err = err
			return r
		}
		return a.fail(r, err)
	}
	removePeerError(out.header)
	out.via = r.via
	r.resp = out
	a.x.awaitWhole(out, info.RequestID == a.x.caller.ID, a.open.Settled, func(broke bool) { a.cut(broke && ctx.Err() == nil) })
	serverError := out.status >= http.StatusInternalServerError
	if !serverError {
		a.reservation.recordResponse(time.Now(), max(out.length, int64(len(out.buffered))))
	}
	a.x.f.opts.Board.Result(a.reservation.server.ID, serverError, time.Now())
	if serverError {
		r.failed = a.x.route.Repeatable
		r.err = a.responseError(resp, "status is a server error")
	}
	return r
}

// cut ends the attempt without a whole response. That of another attempt clears this one, too.
func (a *attempt) cut(broke bool) {
	if a.x.whole.Load() {
		a.open.Settled()
		return
	}
	a.open.Cut(broke)
}

// hadFreeSlots reports whether the server had free slots when it rejected the request: by the
// load report of the response or, without one, the one on which the choice was based.
func (a *attempt) hadFreeSlots(report *readings.Report) bool {
	if report == nil {
		report = &a.reservation.load.Report
	}
	return report.Waiting == 0 && report.Running < report.Slots
}

// claimsNotRun reports whether a status implies that the request did not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (a *attempt) fail(r result, err error) result {
	r.err = err
	a.x.f.opts.Board.Result(a.reservation.server.ID, true, time.Now())
	return r
}

func (a *attempt) responseError(resp *http.Response, reason string) error {
	return &ResponseError{Server: a.reservation.server.ID, Status: resp.StatusCode, Reason: reason}
}

// recordLoad records the load report of a server, if there is one.
func (a *attempt) recordLoad(report *readings.Report) {
	if report == nil {
		return
	}
	a.x.f.opts.Board.Observe(readings.Reading{Server: readings.KeyOf(a.reservation.server.ID), Report: *report, At: time.Now(), HasReport: true})
}
