package forward

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/quota"
)

// Quota caps the requests of workspaces over the whole fleet.
type Quota interface {
	// Take takes a request out of the workspace's cap, or refuses it. It may wait for some
	// hundred milliseconds, until ctx ends at most.
	Take(ctx context.Context, workspace string) quota.Decision
	// Return returns the unit of a request that certainly did not run.
	Return(unit quota.Unit)
}

// takeUnit takes the request out of the cap of its workspace, or refuses it. A delegated
// request was taken at the instance that delegates it.
func (x *exchange) takeUnit() *outcome.Error {
	workspace := x.identity.workspace
	if x.f.opts.Quota == nil || x.delegation != nil || workspace == nil || workspace.RatePerSecond <= 0 {
		return nil
	}
	d := x.f.opts.Quota.Take(x.in.Context(), workspace.Name)
	if d.OK {
		x.unit, x.unitAge = &d.Unit, d.Age
		return nil
	}
	x.log("over cap", slog.String("workspace", workspace.Name), slog.Float64("cap", d.Cap.PerSecond), slog.Float64("burst", d.Cap.Burst),
		slog.String("source", string(d.Source)), slog.String("allocator", d.Allocator), slog.Duration("age", d.Age))
	return &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusTooManyRequests, Code: outcome.CodeOverCap,
		Detail: "the workspace sends more than its cap", RetryAfter: d.RetryAfter,
	}
}

// returnUnit returns the unit of the request, which certainly did not run.
func (x *exchange) returnUnit() {
	if x.unit != nil && !x.unitReturned {
		x.f.opts.Quota.Return(*x.unit)
		x.unitReturned = true
	}
}

// unitAttrs describe the unit that the request took out of a cap, and its age then.
func (x *exchange) unitAttrs() []slog.Attr {
	if x.unit == nil {
		return nil
	}
	return []slog.Attr{
		slog.String("workspace", x.unit.Workspace), slog.Any("unit", *x.unit), slog.Duration("unit_age", x.unitAge),
		slog.Bool("unit_returned", x.unitReturned),
	}
}
