package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Script is a list of steps, read from a file in JSON with comments.
type Script struct {
	Steps []Step `json:"steps"`
}

// Step is a change of the load or of faults at a given time of the run.
type Step struct {
	// AtMS is the time in milliseconds from the start of the run.
	AtMS int64 `json:"at_ms"`
	// Rate is the new rate in calls per second; 0 keeps the current one.
	Rate float64 `json:"rate,omitempty"`
	// Put lists URLs that receive Body in a PUT request, such as /faults of a
	// backend stand-in or of the platform stand-in.
	Put  []string        `json:"put,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}

func (s Step) at() time.Duration { return time.Duration(s.AtMS) * time.Millisecond }

// ReadScript reads and validates a script. Unknown fields are errors.
func ReadScript(path string) (Script, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Script{}, fmt.Errorf("loadgen: %w", err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Script{}, fmt.Errorf("loadgen: %s: %w", path, err)
	}
	var script Script
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&script); err != nil {
		return Script{}, fmt.Errorf("loadgen: %s: %w", path, err)
	}
	return script, validateSteps(script.Steps)
}

func validateSteps(steps []Step) error {
	last := int64(0)
	for i, step := range steps {
		field := fmt.Sprintf("Steps[%d]", i)
		if step.AtMS < last {
			return &OptionsError{Field: field, Reason: "must not be earlier than the previous step"}
		}
		if step.Rate < 0 || step.Rate > MaxRate {
			return &OptionsError{Field: field, Reason: fmt.Sprintf("rate must be between 0 and %d", MaxRate)}
		}
		last = step.AtMS
	}
	return nil
}

// runSteps sends the PUT requests of the steps at their times.
func runSteps(ctx context.Context, start time.Time, steps []Step) error {
	for _, step := range steps {
		timer := time.NewTimer(time.Until(start.Add(step.at())))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		for _, url := range step.Put {
			if err := PutJSON(ctx, url, step.Body); err != nil {
				return err
			}
		}
	}
	return nil
}

// AdminError reports an error status from an admin endpoint of a stand-in.
type AdminError struct {
	URL    string
	Status int
	Detail string
}

func (e *AdminError) Error() string {
	return fmt.Sprintf("loadgen: %s returned status %d: %s", e.URL, e.Status, e.Detail)
}

// PutJSON sends value as JSON to an admin endpoint of a stand-in, such as its
// faults.
func PutJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("loadgen: %w", err)
	}
	return doRequest(ctx, http.MethodPut, url, body, nil)
}

// GetJSON decodes a JSON value from an admin endpoint of a stand-in.
func GetJSON(ctx context.Context, url string, into any) error {
	return doRequest(ctx, http.MethodGet, url, nil, into)
}

// Reset sets the counts of a stand-in to zero.
func Reset(ctx context.Context, url string) error {
	return doRequest(ctx, http.MethodDelete, url, nil, nil)
}

func doRequest(ctx context.Context, method, url string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("loadgen: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("loadgen: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("loadgen: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &AdminError{URL: url, Status: resp.StatusCode, Detail: string(data)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("loadgen: %s: %w", url, err)
	}
	return nil
}
