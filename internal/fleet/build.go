package fleet

import (
	"context"
	"fmt"
	"os/exec"
)

const commandPath = "github.com/pomelolock/pomelolock/cmd/"

// BuildError reports a failed build, with the output of the go tool.
type BuildError struct {
	Output string
	Err    error
}

func (e *BuildError) Error() string { return fmt.Sprintf("fleet: build: %v\n%s", e.Err, e.Output) }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Err }

// Build builds the named programs of this module's cmd directory into the
// directory bin. It runs the go tool in the current directory, which must be in
// the module.
func Build(ctx context.Context, bin string, programs ...string) error {
	args := []string{"build", "-o", bin + "/"}
	for _, program := range programs {
		args = append(args, commandPath+program)
	}
	output, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		return &BuildError{Output: string(output), Err: err}
	}
	return nil
}
