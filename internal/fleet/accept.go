package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/table"
)

const (
	author     = "fleet"
	acceptWait = 20 * time.Second

	pathLive  = "/livez"
	pathReady = "/readyz"
)

// ToolError reports a pomelolock command that failed.
type ToolError struct {
	Args   []string
	Output string
	Err    error
}

func (e *ToolError) Error() string {
	return fmt.Sprintf("fleet: pomelolock %s: %v: %s", strings.Join(e.Args, " "), e.Err, e.Output)
}

// Unwrap returns the cause.
func (e *ToolError) Unwrap() error { return e.Err }

// Accept stores doc in the platform as the next accepted table and returns its
// version. It fails unless base is the version accepted last.
func (f *Fleet) Accept(ctx context.Context, doc table.Document, base uint64) (uint64, error) {
	client, err := httpplatform.New(httpplatform.Options{BaseURL: f.Platform.URL})
	if err != nil {
		return 0, err
	}
	defer client.Close()
	accepted, err := table.NewStore(client, client).Accept(ctx, doc, base, author, "")
	return accepted.Version, err
}

// Tool runs the pomelolock command with args and returns its combined output. A
// failed command gives a [ToolError].
func (f *Fleet) Tool(ctx context.Context, args ...string) (string, error) {
	output, err := exec.CommandContext(ctx, f.program("pomelolock"), args...).CombinedOutput()
	if err != nil {
		return "", &ToolError{Args: args, Output: string(output), Err: err}
	}
	return string(output), nil
}

// AcceptByTool accepts the fleet's table with the pomelolock command, waits until
// it is active on every daemon and returns the command's output.
func (f *Fleet) AcceptByTool(ctx context.Context, message string) (string, error) {
	file, err := f.WriteTable()
	if err != nil {
		return "", err
	}
	tokenFile := filepath.Join(f.spec.Dir, "operator.token")
	if err := os.WriteFile(tokenFile, []byte(OperatorToken+"\n"), filePermissions); err != nil {
		return "", fmt.Errorf("fleet: %w", err)
	}
	args := []string{
		"table", "accept", file, "--yes", "--message", message, "--author", author,
		"--token-file", tokenFile, "--wait", acceptWait.String(), "--platform", f.Platform.URL,
	}
	for _, daemon := range f.Entries {
		args = append(args, "--operator", strings.TrimPrefix(daemon.OperatorURL, "http://"))
	}
	return f.Tool(ctx, args...)
}

// WriteTable writes the fleet's table to a JSON file and returns the path.
func (f *Fleet) WriteTable() (string, error) {
	path := filepath.Join(f.spec.Dir, "table.json")
	return path, writeJSON(path, f.Document())
}

// WaitReady waits until every daemon reports ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, daemon := range f.Entries {
		if err := daemon.waitReady(ctx, daemon.OperatorURL+pathReady); err != nil {
			return err
		}
	}
	return nil
}
