package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"
)

// Report is the result of one measurement run, stored in docs/slopes.json.
type Report struct {
	Date   time.Time `json:"date"`
	Commit string    `json:"commit"`
	// Cores is the machine's number of CPU cores. LoadBefore and LoadAfter are
	// its one-minute load averages before and after the run.
	Cores      int      `json:"cores"`
	LoadBefore string   `json:"load_average_before"`
	LoadAfter  string   `json:"load_average_after"`
	Seconds    float64  `json:"seconds"`
	Series     []Series `json:"series"`
	// Figures are extrapolated from Series to the size [Target].
	Figures []Figure `json:"figures"`
}

// NewReport starts a report on this machine and the checked-out commit.
func NewReport(ctx context.Context) *Report {
	commit, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		commit = []byte("unknown")
	}
	return &Report{
		Date: time.Now().UTC().Truncate(time.Second), Commit: strings.TrimSpace(string(commit)),
		Cores: runtime.NumCPU(), LoadBefore: loadAverage(),
	}
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	minute, _, _ := strings.Cut(string(data), " ")
	return minute
}

// ReadReport reads the report of an earlier run from a file.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read slopes report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode slopes report: %w", err)
	}
	return &r, nil
}

// Complete ends the run: it records the duration and the load, and computes the
// series and figures from samples.
func (r *Report) Complete(samples Samples) {
	r.Seconds = time.Since(r.Date).Round(time.Second).Seconds()
	r.LoadAfter = loadAverage()
	r.Series = samples.Series()
	r.ComputeFigures()
}

// ComputeFigures recomputes the figures from the series.
func (r *Report) ComputeFigures() { r.Figures = Extrapolate(r.Series, Target) }

// Print writes the series and figures as text.
func (r *Report) Print(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s commit %s, %d cores, load %s to %s, %.0f s\n",
		r.Date.Format(time.RFC3339), r.Commit, r.Cores, r.LoadBefore, r.LoadAfter, r.Seconds)
	for _, s := range r.Series {
		fmt.Fprintf(&text, "%-52s", s.Name)
		for _, p := range s.Points {
			fmt.Fprintf(&text, " %g:%.4g", p.Size, p.Value)
		}
		fmt.Fprintf(&text, "  [%s by %s] slope %.4g base %.4g\n", s.Unit, s.Per, s.Slope, s.Base)
	}
	for _, f := range r.Figures {
		fmt.Fprintf(&text, "%-44s %12.5g %-14s %s\n", f.Name, f.Value, f.Unit, f.From)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// Write writes the report to a file as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode slopes report: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write slopes report: %w", err)
	}
	return nil
}
