package loadgen

import (
	"fmt"
	"time"
)

// Bounds of a run.
const (
	MaxRate     = 20000
	MaxDuration = 10 * time.Minute
	// MaxCalls bounds the rate times the duration.
	MaxCalls = 2_000_000
	// MaxInFlight bounds the calls that wait for an answer; calls past it
	// count as not sent.
	MaxInFlight = 20000
)

const defaultTimeout = 5 * time.Second

// Kind is one kind of call in the mix.
type Kind struct {
	// Path is requested with GET, or with POST if Keyed.
	Path string
	// Keyed calls carry an Idempotency-Key and a body.
	Keyed bool
	// Weight is the kind's share in the mix.
	Weight int
}

// Options configure a run.
type Options struct {
	// Targets are base URLs; calls go to one of them at random.
	Targets []string
	// ReadyURLs, if any, are the readiness URLs of the targets in the same
	// order. Like the platform's balancer, the load then leaves out targets
	// that are not ready, BalancerLag after they changed.
	ReadyURLs   []string
	BalancerLag time.Duration
	Kinds       []Kind
	// Rate is the mean number of calls a second until a step changes it.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// ResendPercent of the keyed calls are sent a second time with the same
	// key, ResendAfter later and to another target.
	ResendPercent int
	ResendAfter   time.Duration
	// Retries is how often a caller sends a call again that was not answered
	// whole, to another target each time. A caller waits as long as the
	// answer's Retry-After says, within a second, or for RetryPause.
	Retries    int
	RetryPause time.Duration
	// Deadline is sent as Request-Timeout-Ms if not zero.
	Deadline time.Duration
	// Timeout bounds each call; zero stands for 5 s.
	Timeout time.Duration
	// Steps change the load and the faults during the run.
	Steps []Step
	// AnswerBytes is the least size of an answer; 0 asks for no padding.
	AnswerBytes int
}

// OptionsError reports options that cannot be used.
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
		return &OptionsError{Field: "ReadyURLs", Reason: "must be as many as Targets"}
	}
	if o.Rate <= 0 || o.Rate > MaxRate {
		return &OptionsError{Field: "Rate", Reason: fmt.Sprintf("must be within 0 and %d", MaxRate)}
	}
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return &OptionsError{Field: "Duration", Reason: fmt.Sprintf("must be within 0 and %v", MaxDuration)}
	}
	if o.Rate*o.Duration.Seconds() > MaxCalls {
		return &OptionsError{Field: "Duration", Reason: fmt.Sprintf("times Rate must not pass %d calls", MaxCalls)}
	}
	if o.totalWeight() <= 0 {
		return &OptionsError{Field: "Kinds", Reason: "must have a weight"}
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
