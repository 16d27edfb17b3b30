package prove

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Options configure a [Runner].
type Options struct {
	// Root is the module's root directory.
	Root string
	// Timeout is the time allowed per test; tests that run together share the
	// sum. Zero means two minutes.
	Timeout time.Duration
	// Parallel is the go tool's -p flag, the number of packages that it builds
	// at once. Zero means four.
	Parallel int
	// Out receives a line for each result.
	Out io.Writer
	// Verbose adds the output of the go tool to each failed result.
	Verbose bool
}

// Runner runs the tests of rows sequentially and counts their results.
type Runner struct {
	opts           Options
	passed, failed int
}

// NewRunner returns a runner with the defaults of opts filled in.
func NewRunner(opts Options) *Runner {
	if opts.Timeout == 0 {
		opts.Timeout = 2 * time.Minute
	}
	if opts.Parallel == 0 {
		opts.Parallel = 4
	}
	return &Runner{opts: opts}
}

// Run runs the rows' tests, package by package. Every test must pass.
func (r *Runner) Run(ctx context.Context, rows []Row) {
	for len(rows) > 0 {
		var group, rest []Row
		for _, row := range rows {
			if row.canRunWith(rows[0]) {
				group = append(group, row)
			} else {
				rest = append(rest, row)
			}
		}
		output, _ := r.test(ctx, group, "")
		if ctx.Err() != nil {
			return
		}
		for _, row := range group {
			r.report(testPassed(output, row.Test), row.ID, row.Test, "", output)
		}
		rows = rest
	}
}

// Off runs each row's test once with each of its switch-offs. The test must fail
// each time. A row with NotShown set adds a failed result.
func (r *Runner) Off(ctx context.Context, rows []Row) {
	for _, row := range rows {
		if ctx.Err() != nil {
			return
		}
		if row.NotShown != "" {
			r.report(false, row.ID, row.Test, "not shown: "+row.NotShown, "")
		}
		for _, off := range row.Off {
			result, output := r.runWithSwitchOff(ctx, row, off)
			if ctx.Err() != nil {
				return
			}
			r.report(result == failedWithout, row.ID, row.Test, off.Name+": "+string(result), output)
		}
	}
}

// Failed returns the number of failed results.
func (r *Runner) Failed() int { return r.failed }

// Summary returns the counts of passed and failed results as text.
func (r *Runner) Summary() string { return fmt.Sprintf("%d passed, %d failed", r.passed, r.failed) }

// outcome is the result of running a test with a switch-off.
type outcome string

const (
	failedWithout outcome = "fails without it"
	passedWithout outcome = "PASSES WITHOUT IT"
	// notBuilt also covers every other error before the test starts.
	notBuilt outcome = "NOT BUILT"
)

func (r *Runner) runWithSwitchOff(ctx context.Context, row Row, off SwitchOff) (outcome, string) {
	dir, err := os.MkdirTemp("", "pomelolock-prove-")
	if err != nil {
		return notBuilt, err.Error()
	}
	defer func() { _ = os.RemoveAll(dir) }()
	overlay, err := off.writeOverlay(r.opts.Root, dir)
	if err != nil {
		return notBuilt, err.Error()
	}
	// A build error must not count as a failing test.
	if output, err := r.goTool(ctx, overlay, append([]string{"build"}, off.editedPackages()...)...); err != nil {
		return notBuilt, output
	}
	output, err := r.test(ctx, []Row{row}, overlay)
	if err == nil {
		return passedWithout, output
	}
	if !testFailed(output, row.Test) {
		return notBuilt, output
	}
	return failedWithout, output
}

// test runs the tests of the rows, which belong to one package, in one invocation
// of go test.
func (r *Runner) test(ctx context.Context, rows []Row, overlay string) (string, error) {
	timeout := r.opts.Timeout * time.Duration(len(rows))
	args := []string{"test", "-count=1", "-v", "-vet=off", "-timeout=" + timeout.String(), "-run", runPattern(rows), "./" + rows[0].Package}
	if usesRapid(filepath.Join(r.opts.Root, rows[0].Package)) {
		// Expected failures must not leave rapid's fail files in the working tree.
		args = append(args, "-rapid.nofailfile")
	}
	return r.goTool(ctx, overlay, args...)
}

// usesRapid reports whether the tests in dir accept rapid's flags.
func usesRapid(dir string) bool {
	return anyTestFileMatches(dir, func(source string) bool {
		return strings.Contains(source, `"pgregory.net/rapid"`) || strings.Contains(source, "/internal/fixedseed\"")
	})
}

func (r *Runner) goTool(ctx context.Context, overlay string, args ...string) (string, error) {
	args = append([]string{args[0], fmt.Sprintf("-p=%d", r.opts.Parallel)}, args[1:]...)
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = r.opts.Root
	cmd.Env = os.Environ()
	if overlay != "" {
		cmd.Env = append(cmd.Env, "GOFLAGS="+strings.TrimSpace(os.Getenv("GOFLAGS")+" -overlay="+overlay))
	}
	output, err := cmd.CombinedOutput()
	return string(output), err
}

// testPassed reports whether the test ran and passed. The exit status does not
// tell, as go test also succeeds if no test ran or all were skipped.
func testPassed(output, test string) bool {
	return strings.Contains(output, "--- PASS: "+test+" (")
}

// testFailed reports whether the test failed, timed out or crashed after it had
// started, as opposed to a build failure.
func testFailed(output, test string) bool {
	name, _, _ := strings.Cut(test, "/")
	return strings.Contains(output, "--- FAIL: "+name) || strings.Contains(output, "=== RUN   "+name)
}

func (r *Runner) report(ok bool, id, test, detail, output string) {
	status := "ok"
	if ok {
		r.passed++
	} else {
		r.failed++
		status = "FAIL"
	}
	fmt.Fprintln(r.opts.Out, strings.TrimSpace(fmt.Sprintf("%-4s %s %s %s", status, id, test, detail)))
	if !ok && r.opts.Verbose {
		fmt.Fprintln(r.opts.Out, output)
	}
}
