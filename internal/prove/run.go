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
	// Timeout bounds one test; zero means two minutes.
	Timeout time.Duration
	// Parallel is the number of packages that the go tool builds at once;
	// zero means four.
	Parallel int
	// Out receives one line a row.
	Out io.Writer
	// Verbose prints the output of the tests that failed a row.
	Verbose bool
}

// Runner runs the tests of rows one after the other.
type Runner struct {
	opts           Options
	passed, failed int
}

// NewRunner returns a runner.
func NewRunner(opts Options) *Runner {
	if opts.Timeout == 0 {
		opts.Timeout = 2 * time.Minute
	}
	if opts.Parallel == 0 {
		opts.Parallel = 4
	}
	return &Runner{opts: opts}
}

// Run runs the rows' tests, package by package. Each has to pass.
func (r *Runner) Run(ctx context.Context, rows []Row) {
	for len(rows) > 0 {
		var group, rest []Row
		for _, row := range rows {
			if row.sameRun(rows[0]) {
				group = append(group, row)
			} else {
				rest = append(rest, row)
			}
		}
		output, _ := r.test(ctx, group, "")
		for _, row := range group {
			r.report(passed(output, row.Test), row.ID, row.Test, "", output)
		}
		rows = rest
	}
}

// Off runs each row's test with each of its switch-offs, which has to make it
// fail. What a row does not show counts as failed.
func (r *Runner) Off(ctx context.Context, rows []Row) {
	for _, row := range rows {
		if row.NotShown != "" {
			r.report(false, row.ID, row.Test, "not shown: "+row.NotShown, "")
		}
		for _, off := range row.Off {
			seen, output := r.off(ctx, row, off)
			r.report(seen == failedWithout, row.ID, row.Test, off.Name+": "+string(seen), output)
		}
	}
}

// Failed returns the number of rows or switch-offs that failed.
func (r *Runner) Failed() int { return r.failed }

// Summary returns the last line of a run.
func (r *Runner) Summary() string { return fmt.Sprintf("%d passed, %d failed", r.passed, r.failed) }

// verdict tells how a test took a switch-off.
type verdict string

const (
	failedWithout verdict = "fails without it"
	passedWithout verdict = "PASSES WITHOUT IT"
	notBuilt      verdict = "NOT BUILT"
)

func (r *Runner) off(ctx context.Context, row Row, off SwitchOff) (verdict, string) {
	dir, err := os.MkdirTemp("", "pomelolock-prove-")
	if err != nil {
		return notBuilt, err.Error()
	}
	defer func() { _ = os.RemoveAll(dir) }()
	overlay, err := off.overlay(r.opts.Root, dir)
	if err != nil {
		return notBuilt, err.Error()
	}
	// A test that can't be built proves nothing.
	if output, err := r.goTool(ctx, overlay, append([]string{"build"}, off.packages()...)...); err != nil {
		return notBuilt, output
	}
	output, err := r.test(ctx, []Row{row}, overlay)
	if err == nil {
		return passedWithout, output
	}
	if !failedTest(output, row.Test) {
		return notBuilt, output
	}
	return failedWithout, output
}

// test runs the tests of rows of one package together.
func (r *Runner) test(ctx context.Context, rows []Row, overlay string) (string, error) {
	timeout := r.opts.Timeout * time.Duration(len(rows))
	args := []string{"test", "-count=1", "-v", "-vet=off", "-timeout=" + timeout.String(), "-run", pattern(rows), "./" + rows[0].Package}
	if usesRapid(filepath.Join(r.opts.Root, rows[0].Package)) {
		// A failure without the mechanism leaves no file behind.
		args = append(args, "-rapid.nofailfile")
	}
	return r.goTool(ctx, overlay, args...)
}

// usesRapid reports whether the package's tests take rapid's flags.
func usesRapid(dir string) bool {
	return anyTestFile(dir, func(source string) bool {
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

// passed reports whether the test ran and passed; the go tool also succeeds
// without any test or with all skipped.
func passed(output, test string) bool {
	return strings.Contains(output, "--- PASS: "+test+" (")
}

// failedTest reports whether the test itself failed, hung or crashed.
func failedTest(output, test string) bool {
	name, _, _ := strings.Cut(test, "/")
	return strings.Contains(output, "--- FAIL: "+name) || strings.Contains(output, "=== RUN   "+name)
}

func (r *Runner) report(ok bool, id, test, detail, output string) {
	word := "ok"
	if ok {
		r.passed++
	} else {
		r.failed++
		word = "FAIL"
	}
	fmt.Fprintln(r.opts.Out, strings.TrimSpace(fmt.Sprintf("%-4s %s %s %s", word, id, test, detail)))
	if !ok && r.opts.Verbose {
		fmt.Fprintln(r.opts.Out, output)
	}
}
