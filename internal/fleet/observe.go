package fleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/pprof/profile"
)

const (
	pathMetrics = "/metrics"
	pathAllocs  = "/debug/pprof/allocs?debug=1"
	pathProfile = "/debug/pprof/profile?seconds="

	bytesPerKiB = 1024
)

// ObserveError reports a measurement of a process that could not be read or parsed.
type ObserveError struct {
	Name   string
	Figure string
	Err    error
}

func (e *ObserveError) Error() string {
	return fmt.Sprintf("fleet: %s of %s: %v", e.Figure, e.Name, e.Err)
}

// Unwrap returns the cause.
func (e *ObserveError) Unwrap() error { return e.Err }

// operatorGet fetches a path from the daemon's operator listener.
func (e *Entry) operatorGet(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.OperatorURL+path, nil)
	if err != nil {
		return nil, &ObserveError{Name: e.Name, Figure: path, Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &ObserveError{Name: e.Name, Figure: path, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	if err != nil {
		return nil, &ObserveError{Name: e.Name, Figure: path, Err: err}
	}
	return data, nil
}

// Metrics returns the daemon's metrics, keyed by name with labels.
func (e *Entry) Metrics(ctx context.Context) (map[string]float64, error) {
	data, err := e.operatorGet(ctx, pathMetrics)
	if err != nil {
		return nil, err
	}
	values := make(map[string]float64)
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		name, text, _ := strings.Cut(scanner.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values, scanner.Err()
}

// Mallocs returns the number of heap objects that the daemon has allocated since it
// started.
func (e *Entry) Mallocs(ctx context.Context) (uint64, error) {
	const label = "# Mallocs = "
	data, err := e.operatorGet(ctx, pathAllocs)
	if err != nil {
		return 0, err
	}
	_, rest, found := bytes.Cut(data, []byte(label))
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	mallocs, err := strconv.ParseUint(string(line), 10, 64)
	if !found || err != nil {
		return 0, &ObserveError{Name: e.Name, Figure: "mallocs", Err: err}
	}
	return mallocs, nil
}

// ResidentBytes returns the resident set size of the process in bytes. It needs
// the proc file system.
func (p *Process) ResidentBytes() (uint64, error) {
	const label = "VmRSS:"
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, &ObserveError{Name: p.Name, Figure: label, Err: err}
	}
	_, rest, _ := strings.Cut(string(data), label)
	line, _, _ := strings.Cut(rest, "kB")
	kib, err := strconv.ParseUint(strings.TrimSpace(line), 10, 64)
	if err != nil {
		return 0, &ObserveError{Name: p.Name, Figure: label, Err: err}
	}
	return kib * bytesPerKiB, nil
}

// CPUTime is the CPU time in a profile of a daemon.
type CPUTime struct {
	Total time.Duration
	// Matched is the time in stacks with a function that has one of the prefixes.
	Matched time.Duration
}

// ControlPackages are the function name prefixes of the control plane. All time
// below such a function counts as control, whoever calls it.
var ControlPackages = []string{
	"github.com/pomelolock/pomelolock/slot.",
	"github.com/pomelolock/pomelolock/peer.",
	"github.com/pomelolock/pomelolock/membership.",
	"github.com/pomelolock/pomelolock/table.(*Sync",
	"github.com/pomelolock/pomelolock/claim.",
	"github.com/pomelolock/pomelolock/probe.",
	"github.com/pomelolock/pomelolock/quarantine.",
	"github.com/pomelolock/pomelolock/storage",
	"github.com/hashicorp/yamux.",
}

// Profile takes a CPU profile of the daemon for the given number of seconds and
// matches its stacks against function name prefixes.
func (e *Entry) Profile(ctx context.Context, seconds int, prefixes []string) (CPUTime, error) {
	data, err := e.operatorGet(ctx, pathProfile+strconv.Itoa(seconds))
	if err != nil {
		return CPUTime{}, err
	}
	p, err := profile.ParseData(data)
	if err != nil {
		return CPUTime{}, &ObserveError{Name: e.Name, Figure: "profile", Err: err}
	}
	var total CPUTime
	for _, sample := range p.Sample {
		spent := time.Duration(sample.Value[len(sample.Value)-1])
		total.Total += spent
		if matchesPrefix(sample, prefixes) {
			total.Matched += spent
		}
	}
	return total, nil
}

func matchesPrefix(sample *profile.Sample, prefixes []string) bool {
	for _, location := range sample.Location {
		for _, line := range location.Line {
			for _, prefix := range prefixes {
				if line.Function != nil && strings.HasPrefix(line.Function.Name, prefix) {
					return true
				}
			}
		}
	}
	return false
}
