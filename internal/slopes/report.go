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

// Report is the content of docs/slopes.json.
type Report struct {
	Date   time.Time `json:"date"`
	Commit string    `json:"commit"`
	// Cores is the machine's number, LoadBefore and LoadAfter its load
	// averages over one minute.
	Cores      int      `json:"cores"`
	LoadBefore string   `json:"load_average_before"`
	LoadAfter  string   `json:"load_average_after"`
	Seconds    float64  `json:"seconds"`
	Series     []Series `json:"series"`
	// Figures are worked out from the series for the size of [Target].
	Figures []Figure `json:"figures"`
}

// NewReport begins a report of the present machine and commit.
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

// ReadReport reads the report of an earlier run.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode slopes: %w", err)
	}
	return &r, nil
}

// Complete adds the series of all samples and the figures.
func (r *Report) Complete(samples Samples) {
	r.Seconds = time.Since(r.Date).Round(time.Second).Seconds()
	r.LoadAfter = loadAverage()
	r.Series = samples.Series()
	r.WorkOut()
}

// WorkOut computes the figures from the series.
func (r *Report) WorkOut() { r.Figures = Extrapolate(r.Series, Target) }

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

// Write writes the report to a file.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}
