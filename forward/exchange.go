package forward

import (
	"context"
	"encoding/hex"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/quota"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// defaultAttempts is the maximum number of servers that a request is sent to
	// if its route sets none.
	defaultAttempts = 2
	// maxUnreachable is the maximum number of servers that are tried in addition
	// to the attempts because others could not be reached.
	maxUnreachable = 4
	// defaultTimeout applies to a request whose caller and route set no timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After of an instance without a table.
	notReadyRetryAfter = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	// Interference from other workloads on a server lasts some hundred
	// milliseconds; the spread keeps callers from retrying at the same time.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
	// minRejectedRetryAfter and maxRejectedRetryAfter bound the Retry-After of requests that
	// servers with free slots rejected. Waiting longer doesn't help their callers:
	// a later attempt meets the same servers.
	minRejectedRetryAfter = 5 * time.Millisecond
	maxRejectedRetryAfter = 25 * time.Millisecond
	// minSendTime is the minimum time left for a request to be sent.
	minSendTime = 5 * time.Millisecond
	// hedgeDelayShare is the share of the target after which a repeatable request
	// without a response is sent to a second server, if one can still respond in
	// time.
	hedgeDelayShare = 0.5
	// maxHedgeFailureRate is the usual failure rate of servers up to which requests are hedged.
	// At this rate, retries take about half of a retry budget of a fifth of the requests.
	maxHedgeFailureRate = 0.1
)

// exchange handles one request of a caller, from its arrival to its response.
type exchange struct {
	f          *Forwarder
	w          http.ResponseWriter
	in         *http.Request
	receivedAt time.Time
	caller     Caller
	// firstSentAt is the estimated time at which the caller first sent the
	// request; earlier attempts may have been refused.
	firstSentAt time.Time

	snapshot *table.Snapshot
	route    table.Route
	service  *table.Service
	deadline time.Time
	body     *requestBody
	// delegation is set if a peer delegated the request.
	delegation *delegation
	// unit is what the request took out of the cap of its workspace, nil if there is none;
	// unitAge is the time since the unit was asked for.
	unit         *quota.Unit
	unitAge      time.Duration
	unitReturned bool
	// identity is who sent the request, by the newest table; denied is the error if that table
	// did not let it through.
	identity identity
	denied   *outcome.Error
	// held is the memory that the request holds.
	held held
	// fingerprint identifies the content of the request, as servers see it. trial is not 0 if
	// the request tries whether a server survives it.
	fingerprint [32]byte
	trial       uint64

	// tried lists the servers that the request was sent to, reservations the
	// capacity reserved there, with the loads on which the choices were based.
	tried        []string
	reservations []reservation
	// peers lists the peers that the request was delegated to, unreached counts the servers
	// to which no connection could be opened.
	peers     []string
	unreached int
	// sent counts the attempts that reached a server or still may reach it.
	sent int
	// charged counts the additional attempts taken from the retry budget.
	charged int
	// mayHaveRun is set once an attempt ended without proof that the request did
	// not run.
	mayHaveRun bool
	// whole is set once a server's whole response has cleared the request.
	whole atomic.Bool
	// rejected is set once a server with free slots has rejected the request without
	// running it.
	rejected bool
}

func (x *exchange) serve() {
	defer x.held.release()
	if failed := x.admit(); failed != nil {
		x.writeError(failed)
		return
	}
	ctx, cancel := context.WithDeadline(x.in.Context(), x.deadline)
	defer cancel()
	resp, failed := x.tryServers(ctx)
	if x.trial != 0 && (len(x.tried)+len(x.peers) == 0 || failed != nil && failed.Outcome == outcome.NotRun) {
		x.f.opts.Quarantine.EndTrial(x.fingerprint, x.trial)
	}
	switch {
	case x.in.Context().Err() != nil:
		if resp != nil {
			resp.close()
		}
		if len(x.reservations) == 0 && len(x.peers) == 0 {
			x.returnUnit()
		}
		x.log("caller left", append(x.timing(), slog.Any("tried", x.reservations), slog.Duration("after", time.Since(x.receivedAt)))...)
		panic(http.ErrAbortHandler)
	case failed != nil:
		x.writeError(failed)
	default:
		x.writeResponse(resp)
	}
}

// admit matches the request to a route, reads its body and checks the quarantine.
func (x *exchange) admit() *outcome.Error {
	x.awaitTable()
	x.snapshot = x.f.opts.Current.Load()
	if x.snapshot == nil || !x.f.opts.Directory.Synced() || !x.f.opts.Directory.EvacuationsKnown() {
		return &outcome.Error{
			Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: outcome.CodeNotReady,
			Detail: "the state of the store is not known yet", RetryAfter: notReadyRetryAfter,
		}
	}
	if x.delegation != nil && x.snapshot.Version() < x.delegation.table {
		return &outcome.Error{
			Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: outcome.CodeNotReady,
			Detail: "a newer table is not in force yet", RetryAfter: notReadyRetryAfter,
		}
	}
	route, ok := x.snapshot.Match(x.in)
	if ok {
		x.service = x.snapshot.Service(x.snapshot.Pick(route))
	}
	if x.service == nil {
		return &outcome.Error{
			Outcome: outcome.NotRun, Status: http.StatusNotFound, Code: outcome.CodeNoRoute,
			Detail: "no route of the table matches",
		}
	}
	x.route = route
	if failed := x.authorize(); failed != nil {
		return failed
	}
	x.deadline = x.receivedAt.Add(x.timeout())
	x.firstSentAt = x.receivedAt
	switch {
	case x.delegation != nil:
		// The delegating instance has earned the retries of the request.
		x.firstSentAt = x.receivedAt.Add(-x.delegation.elapsed)
	case x.caller.Timeout > 0:
		x.firstSentAt = x.receivedAt.Add(-x.f.timeouts.elapsed(route.Host+route.PathPrefix, x.caller.Timeout))
	}
	if failed := x.takeUnit(); failed != nil {
		return failed
	}
	if x.delegation == nil {
		x.f.opts.Budget.Earn(x.service.Name)
	}
	if failed := x.readBody(); failed != nil {
		return failed
	}
	if !time.Now().Before(x.deadline) {
		// It was held back behind a response to the same caller.
		return x.refusal(outcome.CodeDeadline, "the time of the request passed before it could be sent")
	}
	if failed := x.checkStop(); failed != nil {
		return failed
	}
	x.fingerprint = hop.Fingerprint(x.body.chunks, x.in.Method, x.in.Host, x.in.RequestURI, x.identity.workspaceName())
	return x.checkQuarantine()
}

// awaitTable delays the request during startup until the table and the servers are
// known, for at most maxWaitShare of its timeout.
func (x *exchange) awaitTable() {
	select {
	case <-x.f.opts.ViewReady:
		return
	default:
	}
	timeout := defaultTimeout
	if x.caller.Timeout > 0 {
		timeout = x.caller.Timeout
	}
	timer := time.NewTimer(time.Duration(maxWaitShare * float64(timeout)))
	defer timer.Stop()
	select {
	case <-x.f.opts.ViewReady:
	case <-timer.C:
	case <-x.in.Context().Done():
	}
}

// checkQuarantine returns an error if the request is held back because servers that ran it
// were lost. It may wait for the outcome of the same request of another caller.
func (x *exchange) checkQuarantine() *outcome.Error {
	if x.trial != 0 {
		return nil
	}
	deadline := x.deadline
	if end := x.f.stopEnd.Load(); end != nil && end.Before(deadline) {
		deadline = *end
	}
	began := time.Now()
	verdict := x.f.opts.Quarantine.Check(x.in.Context(), x.fingerprint, deadline)
	x.trial = verdict.Trial
	if verdict.Refused || verdict.Trial != 0 {
		x.log("held back", x.fingerprintAttr(), slog.Bool("refused", verdict.Refused), slog.Bool("confirmed", verdict.Confirmed),
			slog.Uint64("trial", verdict.Trial), slog.Duration("waited", time.Since(began)), slog.Duration("retry_after", verdict.RetryAfter))
	}
	if !verdict.Refused {
		return nil
	}
	return outcome.Quarantined(verdict.Confirmed, verdict.RetryAfter)
}

// fingerprintAttr returns the beginning of the fingerprint, as the quarantine logs it.
func (x *exchange) fingerprintAttr() slog.Attr {
	return slog.String("fingerprint", hex.EncodeToString(x.fingerprint[:8]))
}

// reserve reserves capacity at a server, and waits for it and for what has to become known of the
// content of the request if wait is set. What becomes known meanwhile counts, too.
func (x *exchange) reserve(ctx context.Context, wait bool) (reservation, *outcome.Error) {
	for {
		if wait {
			if failed := x.checkQuarantine(); failed != nil {
				return reservation{}, failed
			}
		}
		r, failed := x.acquire(ctx, wait)
		if failed != nil || x.trial != 0 || !x.f.opts.Quarantine.HoldsBack(x.fingerprint) {
			return r, failed
		}
		r.release()
		if !wait {
			return reservation{}, outcome.Quarantined(false, retryAfter())
		}
	}
}

// timeout returns the timeout of the request: the shorter of those of its route and
// its caller.
func (x *exchange) timeout() time.Duration {
	timeout := x.snapshot.Deadline(x.route)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.caller.Timeout > 0 {
		timeout = min(timeout, x.caller.Timeout)
	}
	return timeout
}

func (x *exchange) readBody() *outcome.Error {
	limit := x.snapshot.Fleet().MaxBodyBytes
	if limit <= 0 {
		limit = x.service.MaxBodyBytes
	}
	if x.in.ContentLength > limit {
		return tooLarge(&http.MaxBytesError{Limit: limit})
	}
	if err := x.chargeRequest(); err != nil {
		return x.noMemory(err)
	}
	if err := x.chargeUpload(); err != nil {
		return x.noMemory(err)
	}
	body, err := readBody(x.w, x.in, limit, x.deadline, x.held.upload)
	x.body = body
	var large *http.MaxBytesError
	switch full := x.held.upload.Full(); {
	case full != nil:
		return x.noMemory(full)
	case err == nil:
		x.held.upload.Read()
		return nil
	case errors.As(err, &large):
		return tooLarge(err)
	case time.Now().After(x.deadline):
		return &outcome.Error{
			Outcome: outcome.NotRun, Status: http.StatusRequestTimeout, Code: outcome.CodeDeadline,
			Detail: "the body did not arrive in time", Err: err,
		}
	}
	return &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusBadRequest, Code: outcome.CodeBadRequest,
		Detail: "the body can't be read", Err: err,
	}
}

func tooLarge(err error) *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusRequestEntityTooLarge, Code: outcome.CodeBodyTooLarge,
		Detail: "the body is too long", Err: err,
	}
}

// tryServers sends the request to servers until one returns a usable response or no
// further attempt is allowed.
func (x *exchange) tryServers(ctx context.Context) (*response, *outcome.Error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result, x.maxAttempts()+maxUnreachable+maxPeers)
	running := 0
	delegate := func(unreached int) bool {
		peer, why, ok := x.delegatee(unreached)
		if !ok || x.held.upload.Keep() != nil {
			return false
		}
		attempts := max(x.maxAttempts()-x.sent, 1)
		x.peers = append(x.peers, peer.ID)
		x.sent++
		running++
		version := max(x.tableVersion(), x.identity.table)
		go func() { results <- x.delegate(ctx, peer, why, attempts, version) }()
		return true
	}
	launch := func() *outcome.Error {
		if failed := x.authorize(); failed != nil {
			return failed
		}
		if x.f.stopsBefore(x.service.Name, time.Now()) {
			return x.tooLong()
		}
		if delegate(maxUnreached) {
			return nil
		}
		if full := x.held.upload.Full(); full != nil {
			return x.noMemory(full)
		}
		if x.delegation != nil && x.f.opts.Board.LinksLost() {
			return x.refusal(outcome.CodeServerUnreached, "this instance reaches no server")
		}
		reservation, failed := x.reserve(ctx, running == 0)
		if failed != nil {
			if failed != x.denied && delegate(1) {
				return nil
			}
			return failed
		}
		if err := x.held.upload.Keep(); err != nil {
			reservation.release()
			return x.noMemory(err)
		}
		x.tried = append(x.tried, reservation.server.ID)
		x.reservations = append(x.reservations, reservation)
		x.sent++
		running++
		a := &attempt{x: x, reservation: reservation, identity: x.identity}
		go func() { results <- a.run(ctx) }()
		return nil
	}
	// last is the newest result without a usable response. If it has a response, that is passed
	// on unless another attempt gives a better result.
	var last result
	finish := func(resp *response, failed *outcome.Error) (*response, *outcome.Error) {
		if last.resp != resp {
			last.closeResponse(&x.held)
		}
		if resp == nil || resp.rest == nil {
			cancel()
		} else {
			resp.cancel = cancel
		}
		if running > 0 {
			go closeResponses(results, running, &x.held)
		}
		return resp, failed
	}
	if failed := launch(); failed != nil {
		return finish(nil, failed)
	}
	hedge := x.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case r := <-results:
			running--
			if r.resp != nil && !r.failed {
				return finish(r.resp, nil)
			}
			x.recordFailure(r)
			last.closeResponse(&x.held)
			last = r
			if x.mayRetry(r) {
				if launch() == nil {
					last.closeResponse(&x.held)
					if !r.evacuated {
						x.f.retries.Add(1)
					}
					continue
				}
				x.refund()
				// No other server has room.
				x.rejected = false
			}
			if running == 0 {
				return finish(x.finalResponse(last))
			}
		case <-hedge.C:
			if !x.mayHedge() {
				continue
			}
			if launch() != nil {
				x.refund()
				continue
			}
			x.f.hedges.Add(1)
		case <-ctx.Done():
			return finish(nil, x.deadlineExceeded())
		case <-x.f.ended:
			return finish(nil, x.cutByStop())
		}
	}
}

// closeResponses closes the responses of the given number of attempts that have not ended yet.
// They are not passed on, and one longer than its buffered part keeps its connection until then.
func closeResponses(results <-chan result, running int, h *held) {
	for range running {
		r := <-results
		r.closeResponse(h)
	}
}

func (x *exchange) maxAttempts() int {
	attempts := defaultAttempts
	if x.route.Attempts > 0 {
		attempts = x.route.Attempts
	}
	if x.delegation != nil {
		attempts = min(attempts, x.delegation.attempts)
	}
	return attempts
}

// hedgeTimer returns a timer that fires when a hedge may be sent. For requests that
// can't be hedged the time is long after any usual deadline.
func (x *exchange) hedgeTimer() *time.Timer {
	target := x.target()
	if !x.route.Repeatable || target <= 0 || x.body.streamed() {
		target = time.Hour
	}
	return time.NewTimer(time.Until(x.receivedAt) + time.Duration(float64(target)*hedgeDelayShare))
}

// target returns the target latency of the request, within which the response has
// its full value to the caller.
func (x *exchange) target() time.Duration {
	ms := x.route.TargetMS
	if ms == 0 {
		ms = x.service.ObjectiveLatencyMS
	}
	return time.Duration(ms) * time.Millisecond
}

// mayHedge reports whether a hedge is allowed, and takes it from the retry budget if
// so. Most hedged requests would be served in time anyway; while others wait for capacity or
// servers reject many, these need the capacity and the budget more.
func (x *exchange) mayHedge() bool {
	return x.maxAttempts() > 1 && x.sent == 1 && x.trial == 0 && len(x.tried) == 1 && x.f.queue(x.service.Name).relaxed(time.Now()) && x.charge()
}

// charge takes an additional attempt from the retry budget; it reports false if the
// budget is exhausted.
func (x *exchange) charge() bool {
	if !x.f.opts.Budget.Take(x.service.Name) {
		return false
	}
	x.charged++
	return true
}

// refund returns an additional attempt that did not reach a server to the retry
// budget.
func (x *exchange) refund() {
	if x.charged > 0 {
		x.charged--
		x.f.opts.Budget.Return(x.service.Name)
	}
}

// mayRetry reports whether the request may be sent to another server after the given
// result, and takes the attempt from the retry budget if necessary.
func (x *exchange) mayRetry(r result) bool {
	if x.body.streamed() && !r.evacuated || x.sent >= x.maxAttempts() || len(x.tried) >= x.maxAttempts()+maxUnreachable ||
		time.Until(x.deadline) < minSendTime {
		return false
	}
	if !r.notRun && !x.route.Repeatable {
		return false
	}
	if r.peer != "" && (!r.notRun || len(x.peers) >= maxPeers) {
		// How many attempts the peer has made is not known.
		return false
	}
	if r.refusal != nil && r.refusal.Status != http.StatusServiceUnavailable {
		return false
	}
	if x.trial != 0 && !r.notRun && r.resp == nil || r.connLost && !x.f.opts.Quarantine.AllowSecondAttempt(x.fingerprint) {
		return false
	}
	if x.sent == 0 {
		return true
	}
	return x.charge()
}

// recordFailure records an attempt without a usable response.
func (x *exchange) recordFailure(r result) {
	if !r.notRun {
		x.mayHaveRun = true
	}
	x.rejected = x.rejected || r.rejected
	if r.unsent || r.peer != "" && r.notRun {
		x.sent--
		x.refund()
	}
	if r.unreached {
		x.unreached++
	}
	if r.evacuated {
		x.tried = slices.DeleteFunc(x.tried, func(id string) bool { return id == r.server.ID })
	}
	to := slog.String("server", r.server.ID)
	if r.peer != "" {
		to = slog.String("peer", r.peer)
	}
	if r.connLost {
		to = slog.Group("", to, x.fingerprintAttr())
	}
	x.log("attempt failed", append([]slog.Attr{
		to, slog.Bool("sent", !r.unsent), slog.Bool("not_run", r.notRun),
		slog.Duration("left", time.Until(x.deadline)), slog.Any("error", r.err),
	}, r.via.attrs()...)...)
}

// refusal returns the error for a request that no server can take now.
func (x *exchange) refusal(code outcome.Code, detail string) *outcome.Error {
	return x.refusalFor(code, detail, 0)
}

// refusalFor is like refusal if no server takes the request for at least the given time.
func (x *exchange) refusalFor(code outcome.Code, detail string, least time.Duration) *outcome.Error {
	if x.mayHaveRun {
		return &outcome.Error{
			Outcome: outcome.Unknown, Status: http.StatusBadGateway, Code: code, Detail: detail,
		}
	}
	return &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: code,
		Detail: detail, RetryAfter: least + retryAfter(),
	}
}

func rejectedRetryAfter() time.Duration {
	return minRejectedRetryAfter + rand.N(maxRejectedRetryAfter-minRejectedRetryAfter)
}

func retryAfter() time.Duration { return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) }

// finalResponse returns the final response or error after the last attempt failed.
func (x *exchange) finalResponse(last result) (*response, *outcome.Error) {
	if last.resp != nil {
		return last.resp, nil
	}
	if x.denied != nil && !x.mayHaveRun {
		return nil, x.denied
	}
	if last.refusal != nil && (last.refusal.Outcome != outcome.NotRun || !x.mayHaveRun) {
		return nil, last.refusal
	}
	if !x.mayHaveRun {
		failed := x.refusal(outcome.CodeServerUnreached, "no server took the request")
		if x.rejected {
			failed.RetryAfter = rejectedRetryAfter()
		}
		return nil, failed
	}
	if !time.Now().Before(x.deadline) {
		return nil, x.deadlineExceeded()
	}
	return nil, &outcome.Error{
		Outcome: outcome.Unknown, Status: http.StatusBadGateway, Code: outcome.CodeServerFailed,
		Detail: "no server answered the request whole", Err: last.err,
	}
}

// deadlineExceeded returns the error for a request whose deadline has passed.
func (x *exchange) deadlineExceeded() *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.Unknown, Status: http.StatusGatewayTimeout, Code: outcome.CodeDeadline,
		Detail: "no server answered in time",
	}
}

// writeError logs and writes an error response.
func (x *exchange) writeError(failed *outcome.Error) {
	if failed.Outcome == outcome.NotRun {
		x.returnUnit()
	}
	took := time.Since(x.receivedAt)
	service := ""
	if x.service != nil {
		service = x.service.Name
	}
	x.log("request not served", append(x.timing(), slog.String("code", string(failed.Code)), slog.Int("status", failed.Status),
		slog.Any("tried", x.reservations), slog.Duration("took", took),
		slog.Duration("retry_after", failed.RetryAfter), slog.Any("error", failed.Err))...)
	if x.delegation != nil {
		writePeerError(x.w.Header(), failed)
	}
	x.countDenied(failed)
	x.f.opts.Observer.Refused(service, string(failed.Code), took)
	if err := x.f.opts.Protocol.WriteError(x.w, failed, x.caller.ID); err != nil {
		x.log("answer not written", slog.Any("error", err))
	}
}

// timing returns what the log tells about the time of a request: its service and target, its
// age when it arrived, counted from the caller's first attempt, and after which time it was
// first sent to a server.
func (x *exchange) timing() []slog.Attr {
	if x.service == nil {
		return nil
	}
	attrs := []slog.Attr{
		slog.String("service", x.service.Name), slog.Duration("target", x.target()),
		slog.Duration("age", x.receivedAt.Sub(x.firstSentAt)),
	}
	if len(x.reservations) > 0 {
		attrs = append(attrs, slog.Duration("waited", x.reservations[0].reservedAt.Sub(x.receivedAt)))
	}
	return append(attrs, x.unitAttrs()...)
}

// log writes a log line about the request.
func (x *exchange) log(event string, attrs ...slog.Attr) {
	ctx := context.Background()
	if !x.f.opts.Log.Enabled(ctx, slog.LevelInfo) {
		return
	}
	attrs = append([]slog.Attr{slog.String("request", x.caller.ID), slog.Uint64("table", x.tableVersion())}, attrs...)
	if x.delegation != nil {
		attrs = append(attrs, slog.String("delegated_by", x.delegation.by))
	}
	x.f.opts.Log.LogAttrs(ctx, slog.LevelInfo, event, attrs...)
}

func (x *exchange) tableVersion() uint64 {
	if x.snapshot == nil {
		return 0
	}
	return x.snapshot.Version()
}
