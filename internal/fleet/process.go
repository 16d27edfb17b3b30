package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	readyPoll    = 20 * time.Millisecond
	readyTimeout = 20 * time.Second
)

// Process is one process of the fleet.
type Process struct {
	Name string
	// LogFile is the path of its standard output and standard error.
	LogFile string

	cmd  *exec.Cmd
	done chan struct{}
}

// StartError reports a process that could not be started or did not become
// ready.
type StartError struct {
	Name string
	// Output is the end of the process's log file.
	Output string
	Err    error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("fleet: start %s: %v; its output ends with:\n%s", e.Name, e.Err, e.Output)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// startProcess starts a program that writes its output to a file in dir.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogFile: filepath.Join(dir, name+".out"), done: make(chan struct{})}
	file, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &StartError{Name: name, Err: err}
	}
	defer file.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		return nil, &StartError{Name: name, Err: err}
	}
	go func() {
		defer close(p.done)
		// ExitCode reads the result from the process state.
		_ = p.cmd.Wait()
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode waits until the process has ended and returns its exit code, or -1 if it
// was ended by a signal.
func (p *Process) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// Terminate sends the process SIGTERM, which makes a daemon stop gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Kill sends the process SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Wake resumes a suspended process with SIGCONT.
func (p *Process) Wake() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) {
	// Signal fails only if the process has ended, which needs no handling.
	_ = p.cmd.Process.Signal(signal)
}

// stop terminates the process, also a suspended one, and kills it after the timeout.
// It reports whether the process ended before that.
func (p *Process) stop(timeout time.Duration) bool {
	p.Wake()
	p.Terminate()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		p.Kill()
		return false
	}
}

// waitReady polls url until it returns a 2xx status. It fails if the process ends or
// readyTimeout passes first.
func (p *Process) waitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		if respondsOK(ctx, url) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-p.done:
			return p.startError(fmt.Errorf("exit code %d", p.ExitCode()))
		case <-ctx.Done():
			return p.startError(ctx.Err())
		}
	}
}

func respondsOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
}

func (p *Process) startError(err error) error {
	const tailBytes = 2000
	output, _ := os.ReadFile(p.LogFile)
	tail := output[max(0, len(output)-tailBytes):]
	return &StartError{Name: p.Name, Output: string(tail), Err: err}
}
