package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// minStaleRetryAfter and maxStaleRetryAfter bound the Retry-After of requests that an
	// instance can't judge. A new proof of the table arrives each second or so; the spread
	// keeps callers from retrying at the same time.
	minStaleRetryAfter = 300 * time.Millisecond
	maxStaleRetryAfter = 700 * time.Millisecond
)

// KeyRules bound the age of the table by which the keys of callers are judged.
type KeyRules struct {
	// ServeWithin is the age up to which requests with a key are served, since the key may
	// have been withdrawn; 0 means any age.
	ServeWithin time.Duration
	// CertainWithin is the age up to which a key that the table lacks is unknown for certain.
	CertainWithin time.Duration
}

// identity is who sent a request, by one table.
type identity struct {
	// judged is set if a table that needs keys was in force; headers that name a key or a
	// workspace then come from this instance only.
	judged bool
	// workspace is nil if the request has none.
	workspace *table.Workspace
	// weight is the weight of the workspace when capacity is short; 0 if the table needs no
	// keys.
	weight float64
	// table is the version of that table.
	table uint64
}

// apply replaces the key of a request to a backend server by the workspace.
func (id identity) apply(protocol Protocol, header http.Header) {
	if !id.judged {
		return
	}
	protocol.Identify(header, id.workspaceName())
}

// workspaceName returns the name of the workspace, or "" if the request has none.
func (id identity) workspaceName() string {
	if id.workspace == nil {
		return ""
	}
	return id.workspace.Name
}

// authorize judges the key of the request by the newest table. It is called before each
// attempt, since the key may be withdrawn while the request waits. What counts is the time
// of this decision, which is not before the caller sent the request: the request may reach
// the server later.
func (x *exchange) authorize() *outcome.Error {
	if !x.f.opts.Current.Load().NeedsKeys() {
		// The headers of a request that was judged before stay replaced.
		x.identity.workspace, x.identity.weight = nil, 0
		return nil
	}
	// The age is read before the table, so that it never is that of a newer one.
	age := x.f.opts.TableAge()
	newest := x.f.opts.Current.Load()
	x.identity.judged, x.identity.table = true, newest.Version()
	public := x.route.Public
	if newest.Version() != x.snapshot.Version() {
		if route, ok := newest.Match(x.in); ok {
			public = route.Public
		}
	}
	var workspace *table.Workspace
	keyed := x.caller.Key != ""
	if keyed {
		workspace = newest.Workspace(table.HashKey(x.caller.Key))
	}
	rules := x.f.opts.KeyRules()
	switch {
	case !keyed && public:
	case keyed && rules.ServeWithin > 0 && age > rules.ServeWithin:
		return x.deny(outcome.CodeTableStale, "the table is not proven to be the newest", age, rules.ServeWithin)
	case workspace == nil && age > rules.CertainWithin:
		return x.deny(outcome.CodeTableStale, "the table may lack the key", age, rules.CertainWithin)
	case workspace == nil && !public:
		return x.deny(outcome.CodeUnauthorized, "the request has no key of a workspace", age, rules.CertainWithin)
	}
	x.identity.workspace, x.identity.weight = workspace, newest.Weight(workspace)
	return nil
}

// deny records and logs why the request is not let through.
func (x *exchange) deny(code outcome.Code, detail string, age, limit time.Duration) *outcome.Error {
	failed := &outcome.Error{Outcome: outcome.NotRun, Status: http.StatusUnauthorized, Code: code, Detail: detail}
	if code == outcome.CodeTableStale {
		failed.Status = http.StatusServiceUnavailable
		failed.RetryAfter = minStaleRetryAfter + rand.N(maxStaleRetryAfter-minStaleRetryAfter)
	}
	x.denied = failed
	before := ""
	if x.identity.workspace != nil {
		before = x.identity.workspace.Name
	}
	x.log("key refused", slog.String("reason", detail), slog.Bool("has_key", x.caller.Key != ""), slog.String("workspace_before", before),
		slog.Uint64("judged_by", x.identity.table), slog.Duration("table_age", age), slog.Duration("limit", limit),
		slog.Int("sent", x.sent), slog.Bool("may_have_run", x.mayHaveRun))
	return failed
}

// countDenied counts a request that ends with the error of [exchange.deny].
func (x *exchange) countDenied(failed *outcome.Error) {
	switch {
	case failed != x.denied:
	case failed.Code == outcome.CodeUnauthorized:
		x.f.unknownKey.Add(1)
	default:
		x.f.unprovenTable.Add(1)
	}
}

// acquire reserves capacity for an attempt and judges the key again after the wait.
func (x *exchange) acquire(ctx context.Context, wait bool) (reservation, *outcome.Error) {
	r, failed := x.f.queue(x.service.Name).acquire(ctx, x, wait)
	if denied := x.authorize(); denied != nil {
		if failed == nil {
			r.release()
		}
		return reservation{}, denied
	}
	return r, failed
}

// priority returns the priority of the request: that of its workspace, or else of its route.
func (x *exchange) priority() int {
	if w := x.identity.workspace; w != nil && w.Priority != nil {
		return *w.Priority
	}
	return x.route.Priority
}

// keepsKey reports whether a peer gets the key of the request. It does not if the caller
// declared the header of the key as one for a single hop; the peer would then answer that
// the key is missing.
func (x *exchange) keepsKey() bool {
	return !x.identity.judged || x.f.opts.Protocol.Caller(hop.EndToEnd(x.in.Header)).Key == x.caller.Key
}
