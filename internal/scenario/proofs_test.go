package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pomelolock/pomelolock/internal/cli"
	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/table"
)

const (
	convergenceTimeout = 30 * time.Second
	pollInterval       = 20 * time.Millisecond
	requestTimeout     = 500 * time.Millisecond

	pathStatus = "/status"
	pathReady  = "/readyz"
)

// TestProofScenarios runs the scripts in testdata/proofs. Commands that only they
// have are described at their functions below.
func TestProofScenarios(t *testing.T) {
	if err := fleet.Build(t.Context(), bin, "pomelolock"); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/proofs",
		Setup: func(env *testscript.Env) error {
			env.Values[stateKey{}] = &state{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":     startFleet,
			"load":      startLoad,
			"after":     after,
			"entry":     entry,
			"backend":   backendCommand,
			"platform":  platformCommand,
			"judge":     judge,
			"check":     check,
			"ready":     ready,
			"forget":    forget,
			"accept":    accept,
			"operators": operators,
			"inforce":   waitActive,
			"watch":     watch,
		},
	})
}

// eventually polls until done returns true and fails the script after
// convergenceTimeout.
func eventually(ts *testscript.TestScript, what string, done func() bool) {
	for deadline := time.Now().Add(convergenceTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out after %v waiting for: %s", convergenceTimeout, what)
		}
	}
}

// operatorGet fetches a path from a daemon's operator listener and decodes the JSON
// body into v unless v is nil.
func operatorGet(ctx context.Context, e *fleet.Entry, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.OperatorURL+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if v == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

func tableVersion(ctx context.Context, e *fleet.Entry) (uint64, error) {
	var status operator.Status
	err := operatorGet(ctx, e, pathStatus, &status)
	return status.TableVersion, err
}

// ready waits until the named daemons are ready: ready DAEMON...
func ready(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		e := stateOf(ts).fleet.Entry(name)
		eventually(ts, name+" ready", func() bool { return operatorGet(context.Background(), e, pathReady, nil) == nil })
	}
}

// forget removes daemons that have ended from the targets of later loads: forget
// DAEMON...
func forget(ts *testscript.TestScript, _ bool, names []string) {
	f := stateOf(ts).fleet
	f.Entries = slices.DeleteFunc(f.Entries, func(e *fleet.Entry) bool { return slices.Contains(names, e.Name) })
}

// acceptWeight runs the pomelolock command to accept, through the named daemon, the
// fleet's table with a new weight for its first backend server. It returns the
// command's exit code and output.
func acceptWeight(ts *testscript.TestScript, name string, base uint64, weight int) (cli.Code, string, error) {
	f := stateOf(ts).fleet
	doc := f.Document()
	doc.Version, doc.Servers[0].Weight = base, weight
	data, err := table.Encode(doc)
	if err != nil {
		return 0, "", err
	}
	path := filepath.Join(ts.MkAbs("."), fmt.Sprintf("table-%s-%d.json", name, weight))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return 0, "", err
	}
	token := filepath.Join(ts.MkAbs("."), "token-"+name)
	if err := os.WriteFile(token, []byte(fleet.OperatorToken+"\n"), 0o600); err != nil {
		return 0, "", err
	}
	output, err := f.Tool(context.Background(), "table", "accept", path, "--yes", "--message", "weight", "--author", name,
		"--token-file", token, "--platform", f.Platform.URL,
		"--operator", strings.TrimPrefix(f.Entry(name).OperatorURL, "http://"))
	var failed *fleet.ToolError
	var exit *exec.ExitError
	if errors.As(err, &failed) && errors.As(err, &exit) {
		return cli.Code(exit.ExitCode()), failed.Output, nil
	}
	return cli.CodeDone, output, err
}

// accept accepts a table with a new weight on version BASE: accept DAEMON BASE
// WEIGHT.
func accept(ts *testscript.TestScript, _ bool, args []string) {
	code, output, err := acceptWeight(ts, args[0], uint64(number(ts, args[1])), number(ts, args[2]))
	ts.Check(err)
	if code != cli.CodeDone {
		ts.Fatalf("accept through %s: exit code %d: %s", args[0], code, output)
	}
}

// operators accepts two tables on version BASE concurrently, each through one of the
// daemons: operators BASE DAEMON DAEMON. One must be accepted and the other must
// fail with a conflict that shows the difference.
func operators(ts *testscript.TestScript, _ bool, args []string) {
	base := uint64(number(ts, args[0]))
	codes, outputs, errs := make([]cli.Code, 2), make([]string, 2), make([]error, 2)
	var group sync.WaitGroup
	for i, name := range args[1:3] {
		group.Go(func() { codes[i], outputs[i], errs[i] = acceptWeight(ts, name, base, 10+i) })
	}
	group.Wait()
	ts.Check(errors.Join(errs...))
	won, lost := slices.Index(codes, cli.CodeDone), slices.Index(codes, cli.CodeConflict)
	if won < 0 || lost < 0 {
		ts.Fatalf("exit codes %v: %q", codes, outputs)
	}
	if want := fmt.Sprintf("weight: %d -> %d", 10+won, 10+lost); !strings.Contains(outputs[lost], want) {
		ts.Fatalf("conflict output lacks %q: %s", want, outputs[lost])
	}
}

// waitActive waits until the table version is active on every daemon that was not
// forgotten: inforce VERSION.
func waitActive(ts *testscript.TestScript, _ bool, args []string) {
	want := uint64(number(ts, args[0]))
	for _, e := range stateOf(ts).fleet.Entries {
		eventually(ts, fmt.Sprintf("version %d active on %s", want, e.Name), func() bool {
			got, err := tableVersion(context.Background(), e)
			return err == nil && got == want
		})
	}
}

// watch polls the active table version of each daemon until the script ends and
// fails the script if a version decreased.
func watch(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	entries := stateOf(ts).fleet.Entries
	errs := make([]error, len(entries))
	for i, e := range entries {
		group.Go(func() { errs[i] = checkMonotonic(ctx, e) })
	}
	ts.Defer(func() {
		cancel()
		group.Wait()
		ts.Check(errors.Join(errs...))
	})
}

// checkMonotonic polls a daemon's table version until ctx ends and returns an error
// if it decreases. Failed polls are ignored, since daemons may be suspended.
func checkMonotonic(ctx context.Context, e *fleet.Entry) error {
	var highest uint64
	for ; ctx.Err() == nil; time.Sleep(pollInterval) {
		got, err := tableVersion(ctx, e)
		if err != nil {
			continue
		}
		if got < highest {
			return fmt.Errorf("table version of %s went back from %d to %d", e.Name, highest, got)
		}
		highest = got
	}
	return nil
}
