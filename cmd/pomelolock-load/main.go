// Command pomelolock-load sends open-loop load to entry addresses and reports
// latency and verdicts. Given the logs or counts of the backend stand-ins, it
// also reports repeated executions and slot overruns.
//
// The exit code is 0 if no response was corrupt or belonged to another request
// and, where logs or counts are given, the judgement on them is clean; 1 if not
// or after a failure; 2 for invalid options.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/pomelolock/pomelolock/internal/loadgen"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/internal/standin/execlog"
)

const (
	exitViolation = 1
	exitUsage     = 2
)

type cli struct {
	Target        []string      `required:"" help:"Base URL of an entry address; repeat for several."`
	Lookup        []string      `default:"/lookup" help:"Path of repeatable calls, sent with GET."`
	Order         []string      `help:"Path of keyed calls, sent with POST and an Idempotency-Key."`
	OrderPercent  int           `default:"20" help:"Percentage of keyed calls, if there are any."`
	Rate          float64       `default:"100" help:"Mean calls a second."`
	Duration      time.Duration `default:"10s" help:"Time for which calls are sent."`
	Seed          uint64        `default:"1" help:"Seed of arrivals and mix."`
	ResendPercent int           `default:"0" help:"Percentage of keyed calls sent twice with the same key."`
	ResendAfter   time.Duration `default:"20ms" help:"Time after which they are sent again."`
	Retries       int           `default:"0" help:"How often a call that was not answered whole is sent again."`
	RetryPause    time.Duration `default:"50ms" help:"Wait before that, unless Retry-After says otherwise."`
	Deadline      time.Duration `help:"Deadline to send as Request-Timeout-Ms."`
	Timeout       time.Duration `default:"5s" help:"Longest wait for an answer."`
	AnswerBytes   int           `help:"Least size of an answer."`
	Script        string        `help:"File of load shifts and faults, JSON with comments."`
	ExecutionLog  []string      `help:"Pattern of backend stand-ins' execution logs to judge."`
	Admin         []string      `help:"Admin URL of a backend stand-in whose counts to judge."`
	JSON          string        `name:"json" help:"File to write the report to; - for standard output."`
	Plot          string        `help:"File to draw latency over percentiles to, such as load.png."`
}

// output is the JSON report.
type output struct {
	Report    *loadgen.Report    `json:"report"`
	Judgement *loadgen.Judgement `json:"judgement,omitempty"`
}

func main() {
	var cli cli
	kong.Parse(&cli, kong.Name("pomelolock-load"), kong.Description("Open-loop load with judged answers."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	clean, err := cli.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pomelolock-load:", err)
	}
	switch _, usage := errors.AsType[*loadgen.OptionsError](err); {
	case usage:
		os.Exit(exitUsage)
	case err != nil || !clean:
		os.Exit(exitViolation)
	}
}

func (c *cli) run(ctx context.Context) (clean bool, err error) {
	opts, err := c.options()
	if err != nil {
		return false, err
	}
	report, err := loadgen.Run(ctx, opts)
	if err != nil {
		return false, err
	}
	out := output{Report: report}
	if len(c.ExecutionLog)+len(c.Admin) > 0 {
		if out.Judgement, err = c.judge(ctx, report); err != nil {
			return false, err
		}
	}
	if err := c.write(out); err != nil {
		return false, err
	}
	clean = report.Verdicts[loadgen.Foreign]+report.Verdicts[loadgen.Corrupt] == 0
	return clean && (out.Judgement == nil || out.Judgement.Clean()), nil
}

func (c *cli) options() (loadgen.Options, error) {
	opts := loadgen.Options{
		Targets:       c.Target,
		Kinds:         c.kinds(),
		Rate:          c.Rate,
		Duration:      c.Duration,
		Seed:          c.Seed,
		ResendPercent: c.ResendPercent,
		ResendAfter:   c.ResendAfter,
		Retries:       c.Retries,
		RetryPause:    c.RetryPause,
		Deadline:      c.Deadline,
		Timeout:       c.Timeout,
		ResponseBytes: c.AnswerBytes,
	}
	if c.Script == "" {
		return opts, nil
	}
	script, err := loadgen.ReadScript(c.Script)
	opts.Steps = script.Steps
	return opts, err
}

// kinds spreads the share of keyed requests evenly over the paths in Order, and
// that of repeatable requests evenly over the paths in Lookup.
func (c *cli) kinds() []loadgen.Kind {
	orders := 0
	if len(c.Order) > 0 {
		orders = c.OrderPercent
	}
	var kinds []loadgen.Kind
	for _, path := range c.Lookup {
		kinds = append(kinds, loadgen.Kind{Path: path, Weight: (100 - orders) * max(len(c.Order), 1)})
	}
	for _, path := range c.Order {
		kinds = append(kinds, loadgen.Kind{Path: path, Keyed: true, Weight: orders * max(len(c.Lookup), 1)})
	}
	return kinds
}

// judge compares the report with the execution logs and counts of the backend
// stand-ins.
func (c *cli) judge(ctx context.Context, report *loadgen.Report) (*loadgen.Judgement, error) {
	var paths []string
	for _, pattern := range c.ExecutionLog {
		matches, err := filepath.Glob(pattern)
		if err != nil {
			return nil, &loadgen.OptionsError{Field: "ExecutionLog", Reason: err.Error()}
		}
		paths = append(paths, matches...)
	}
	entries, err := execlog.Read(paths...)
	if err != nil {
		return nil, err
	}
	counts := make([]backend.Counts, len(c.Admin))
	for i, url := range c.Admin {
		if err := loadgen.GetJSON(ctx, url+backend.PathCounts, &counts[i]); err != nil {
			return nil, err
		}
	}
	judgement := loadgen.Judge(report, entries, counts)
	if len(paths) == 0 {
		// Without execution logs every complete response would count as not run.
		judgement.WholeButNotRun = 0
	}
	return &judgement, nil
}

func (c *cli) write(out output) error {
	if c.Plot != "" {
		if err := loadgen.WritePlot(c.Plot, "pomelolock-load", loadgen.Series{Label: "whole answers", Report: out.Report}); err != nil {
			return err
		}
	}
	if c.JSON == "" {
		writeText(os.Stdout, out)
		return nil
	}
	data, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	data = append(data, '\n')
	if c.JSON == "-" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return os.WriteFile(c.JSON, data, 0o644)
}

func writeText(w io.Writer, out output) {
	r := out.Report
	fmt.Fprintf(w, "sent %d resent %d goodput %.1f/s\n", r.Sent, r.Resent, r.Goodput)
	for _, verdict := range loadgen.Verdicts {
		if n := r.Verdicts[verdict]; n > 0 {
			fmt.Fprintf(w, "%s %d\n", verdict, n)
		}
	}
	fmt.Fprintf(w, "p50 %.2f ms p90 %.2f ms p99 %.2f ms max %.2f ms\n", r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.Max)
	if j := out.Judgement; j != nil {
		fmt.Fprintf(w, "executions %d, keys run twice %d, ran but told not run %d, whole but not run %d, over limit %d, most connections %d\n",
			j.Executions, j.RepeatedKeys, j.RanButToldNotRun, j.WholeButNotRun, j.OverLimit, j.MaxConnections)
	}
}
