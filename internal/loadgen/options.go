package loadgen

import (
	"fmt"
	"time"
)

// Limits of a run.
const (
	MaxRate     = 20000
	MaxDuration = 10 * time.Minute
	// MaxCalls limits the product of rate and duration.
	MaxCalls = 2_000_000
	// MaxInFlight limits the calls in flight. Calls beyond it are recorded as
	// [NotSent].
	MaxInFlight = 20000
)

const defaultTimeout = 5 * time.Second

// Kind describes one kind of call in the mix.
type Kind struct {
	// Path is requested with GET, or with POST if Keyed.
	Path string
	// Keyed calls carry an Idempotency-Key and a body.
	Keyed bool
	// Weight is the share of the kind in the mix, relative to the other
	// weights.
	Weight int
}

// Options configure a run.
type Options struct {
	// Targets are base URLs; calls go to one of them at random.
	Targets []string
	// ReadyURLs, if any, are the readiness URLs of the targets in the same
	// order. Like the platform's load balancer, the run then skips targets
	// that are not ready. A change of readiness takes effect after
	// BalancerLag.
	ReadyURLs   []string
	BalancerLag time.Duration
	Kinds       []Kind
	// Rate is the mean number of calls per second until a step changes it.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// ResendPercent of the keyed calls are sent a second time with the same
	// key, ResendAfter later and to the next target.
	ResendPercent int
	ResendAfter   time.Duration
	// Retries is the maximum number of retries of a call that received no
	// complete response. Each retry goes to the next target, after the delay
	// in Retry-After, at most one second, or else after RetryPause.
	Retries    int
	RetryPause time.Duration
	// Deadline is sent as Request-Timeout-Ms if not zero.
	Deadline time.Duration
	// Timeout limits each request; zero selects 5 s.
	Timeout time.Duration
	// Steps change the load and the faults during the run.
	Steps []Step
	// ResponseBytes is the minimum size of a response body; 0 requests no
	// padding.
	ResponseBytes int
}

// OptionsError reports an invalid option.
type OptionsError struct {
	Field  string
	Reason string
}

func (e *OptionsError) Error() string {
	return fmt.Sprintf("loadgen: option %s: %s", e.Field, e.Reason)
}

func (o *Options) validate() error {
	if len(o.Targets) == 0 {
		return &OptionsError{Field: "Targets", Reason: "must not be empty"}
	}
	if len(o.ReadyURLs) != 0 && len(o.ReadyURLs) != len(o.Targets) {
		return &OptionsError{Field: "ReadyURLs", Reason: "must have one entry per target"}
	}
	if o.Rate <= 0 || o.Rate > MaxRate {
		return &OptionsError{Field: "Rate", Reason: fmt.Sprintf("must be above 0 and at most %d", MaxRate)}
	}
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return &OptionsError{Field: "Duration", Reason: fmt.Sprintf("must be above 0 and at most %v", MaxDuration)}
	}
	if o.Rate*o.Duration.Seconds() > MaxCalls {
		return &OptionsError{Field: "Duration", Reason: fmt.Sprintf("times Rate must not exceed %d calls", MaxCalls)}
	}
	if o.totalWeight() <= 0 {
		return &OptionsError{Field: "Kinds", Reason: "must have a positive total weight"}
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	return validateSteps(o.Steps)
}

func (o *Options) totalWeight() int {
	total := 0
	for _, kind := range o.Kinds {
		total += kind.Weight
	}
	return total
}
