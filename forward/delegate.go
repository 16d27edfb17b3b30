package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/serverconn"
)

// An instance that reaches no server of a service delegates the request to a peer that does.
// The peer serves it as if its own caller had sent it, within the attempts and the time that
// are left, and never delegates it again. The request is sent to one peer; to another one
// only if the first certainly did not run it.

// Headers between instances.
const (
	// headerDelegatedBy is the ID of the instance that delegates the request.
	headerDelegatedBy = "Pomelolock-Delegated-By"
	// headerAttempts is the number of servers that the request may still be sent to.
	headerAttempts = "Pomelolock-Attempts"
	// headerTimeout is the time left for the response, in milliseconds.
	headerTimeout = "Pomelolock-Timeout-Ms"
	// headerElapsed is the time since the caller first sent the request, in milliseconds.
	headerElapsed = "Pomelolock-Elapsed-Ms"
	// headerTable is the version of the table by which the request was accepted. A peer
	// with an older one doesn't serve it: its caller has seen the newer one in force.
	headerTable = "Pomelolock-Table"
	// headerCode and headerRetryAfterMS, with outcome.HeaderOutcome, describe a response
	// that the peer generated itself.
	headerCode         = "Pomelolock-Code"
	headerRetryAfterMS = "Pomelolock-Retry-After-Ms"
)

const (
	// maxPeers is the number of peers that are asked to serve one request.
	maxPeers = 3
	// maxUnreached is the number of servers that a request may fail to reach before it is
	// delegated.
	maxUnreached = 2
)

// Peer is another instance.
type Peer struct {
	ID string
	// Address is the IP address and port at which it accepts delegated requests.
	Address string
}

// delegation is what an instance says of a request that it delegates.
type delegation struct {
	by       string
	attempts int
	timeout  time.Duration
	elapsed  time.Duration
	table    uint64
}

// takeDelegation removes the headers of a delegation from a request and returns their content,
// or false if they are missing or malformed.
func takeDelegation(header http.Header) (delegation, bool) {
	attempts, attemptsErr := strconv.Atoi(header.Get(headerAttempts))
	timeout, timeoutErr := strconv.ParseInt(header.Get(headerTimeout), 10, 32)
	elapsed, elapsedErr := strconv.ParseInt(header.Get(headerElapsed), 10, 32)
	table, tableErr := strconv.ParseUint(header.Get(headerTable), 10, 64)
	d := delegation{
		by: header.Get(headerDelegatedBy), attempts: attempts, table: table,
		timeout: time.Duration(timeout) * time.Millisecond, elapsed: time.Duration(elapsed) * time.Millisecond,
	}
	for _, name := range []string{headerDelegatedBy, headerAttempts, headerTimeout, headerElapsed, headerTable} {
		header.Del(name)
	}
	valid := attemptsErr == nil && timeoutErr == nil && elapsedErr == nil && tableErr == nil
	return d, valid && d.by != "" && d.attempts > 0 && d.timeout > 0 && d.elapsed >= 0
}

// write sets the headers of a delegation.
func (d delegation) write(header http.Header) {
	header.Set(headerDelegatedBy, d.by)
	header.Set(headerAttempts, strconv.Itoa(d.attempts))
	header.Set(headerTimeout, strconv.FormatInt(max(d.timeout.Milliseconds(), 1), 10))
	header.Set(headerTable, strconv.FormatUint(d.table, 10))
	header.Set(headerElapsed, strconv.FormatInt(max(d.elapsed.Milliseconds(), 0), 10))
}

// DelegatedHandler returns the handler of requests that peers delegate to this instance.
func (f *Forwarder) DelegatedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d, ok := takeDelegation(r.Header)
		if !ok {
			// Without the ID, the peer could not tell the response from one to another request.
			_ = f.opts.Protocol.WriteError(w, &outcome.Error{
				Outcome: outcome.NotRun, Status: http.StatusBadRequest, Code: outcome.CodeBadRequest, Detail: "the delegation can't be read",
			}, f.opts.Protocol.Caller(r.Header).ID)
			return
		}
		f.forPeers.Add(1)
		f.serve(w, r, &d)
	})
}

// delegatee returns the peer to which the request is delegated, or false if this instance
// tries the servers itself. The request is delegated after it has failed to reach the given
// number of servers, or if the links to all are lost. why is the reason, for the log.
func (x *exchange) delegatee(unreached int) (peer Peer, why []slog.Attr, ok bool) {
	lost := x.f.opts.Board.LinksLost()
	if x.delegation != nil || len(x.peers) >= maxPeers || !lost && x.unreached < unreached || !x.keepsKey() {
		return Peer{}, nil, false
	}
	peer, ok = x.f.opts.Peer(x.peers)
	return peer, []slog.Attr{slog.Bool("links_lost", lost), slog.Int("unreached", x.unreached), slog.Any("tried", x.reservations)}, ok
}

// delegate sends the request to a peer and reads the response. The peer judges the key
// again, by a table that is no older than the given version. The request is logged and counted as
// delegated once it is about to be written on a connection to the peer.
func (x *exchange) delegate(ctx context.Context, peer Peer, why []slog.Attr, attempts int, tableVersion uint64) result {
	r := result{peer: peer.ID}
	conn, err := x.f.opts.PeerPool.GetFor(ctx, peer.Address, 0, x.caller.ID)
	if err != nil {
		r.notRun, r.unsent, r.err = true, true, err
		return r
	}
	left := time.Until(x.deadline)
	if left < minSendTime || ctx.Err() != nil {
		conn.Close()
		r.notRun, r.unsent, r.err = true, true, context.DeadlineExceeded
		return r
	}
	out := x.outgoing()
	delegation{
		by: x.f.opts.ID, attempts: attempts, timeout: left, elapsed: time.Since(x.firstSentAt), table: tableVersion,
	}.write(out.Header)
	x.f.delegated.Add(1)
	x.log("delegated", append(append([]slog.Attr{slog.String("peer", peer.ID)}, why...), slog.Duration("left", left))...)
	resp, err := conn.RoundTrip(ctx, out, x.matches(conn, peer.ID))
	r.via = useOf(conn)
	if err != nil {
		r.err = err
		r.unsent = serverconn.Unsent(err)
		r.notRun = r.unsent
		return r
	}
	if failed := peerError(resp); failed != nil {
		serverconn.Discard(resp)
		r.refusal, r.err = failed, failed
		r.notRun = failed.Outcome == outcome.NotRun
		return r
	}
	if claimsNotRun(resp.StatusCode) || x.f.opts.Protocol.Response(resp).RequestID != x.caller.ID {
		// The peer has not read the request, or broke off reading it.
		serverconn.Discard(resp)
		r.err = &ResponseError{Server: peer.ID, Status: resp.StatusCode, Reason: "response of the peer is neither an outcome nor that of a server"}
		return r
	}
	if r.resp, r.err = x.bufferBody(peer.ID, resp); r.resp != nil {
		r.resp.via = r.via
		x.awaitWhole(r.resp, true, func() {}, func(bool) {})
	}
	return r
}

// peerError returns the error that a peer responded with itself, or nil if the response is
// from a server.
func peerError(resp *http.Response) *outcome.Error {
	header := resp.Header
	if header.Get(outcome.HeaderOutcome) == "" {
		return nil
	}
	failed := &outcome.Error{
		Outcome: outcome.Outcome(header.Get(outcome.HeaderOutcome)), Status: resp.StatusCode,
		Code: outcome.Code(header.Get(headerCode)), Detail: "the response of a peer",
	}
	if ms, err := strconv.ParseInt(header.Get(headerRetryAfterMS), 10, 32); err == nil && ms > 0 {
		failed.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return failed
}

// removePeerError removes the headers of [writePeerError] from the response of a server, which a
// delegating instance would otherwise take for an error of this one.
func removePeerError(header http.Header) {
	for _, name := range []string{outcome.HeaderOutcome, headerCode, headerRetryAfterMS} {
		header.Del(name)
	}
}

// writePeerError sets the headers that tell the delegating instance of an error.
func writePeerError(header http.Header, failed *outcome.Error) {
	header.Set(outcome.HeaderOutcome, string(failed.Outcome))
	header.Set(headerCode, string(failed.Code))
	if failed.RetryAfter > 0 {
		header.Set(headerRetryAfterMS, strconv.FormatInt(failed.RetryAfter.Milliseconds(), 10))
	}
}

// outgoing returns the request as the caller sent it, to be sent on.
func (x *exchange) outgoing() *http.Request {
	out := &http.Request{
		Method:     x.in.Method,
		URL:        requestURL(x.in),
		Host:       x.in.Host,
		Header:     hop.EndToEnd(x.in.Header),
		ProtoMajor: 1, ProtoMinor: 1,
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "")
	}
	x.body.attach(out)
	return out
}
