// Package execlog reads and writes the execution log of a backend stand-in.
// Tests, the load generator and the demo check it for repeated executions and
// for executions that callers were told did not happen.
//
// The log is a file of JSON lines. Each line is appended in one write before
// the execution continues, so that it survives a crash of the process.
package execlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Event is the kind of an entry.
type Event string

// Events of an execution.
const (
	// EventStart is written before the request runs.
	EventStart Event = "start"
	// EventEnd is written after the request has ended.
	EventEnd Event = "end"
)

// Result is how an execution ended.
type Result string

// Results of an execution.
const (
	ResultFinished  Result = "finished"
	ResultFailed    Result = "failed"
	ResultCancelled Result = "cancelled"
	ResultExpired   Result = "expired"
)

// Entry is one line of the log.
type Entry struct {
	Event  Event  `json:"event"`
	Server string `json:"server"`
	// Execution is the number of the execution within the server's process,
	// starting at 1.
	Execution      uint64 `json:"execution"`
	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	// Path is the path including the query string.
	Path   string    `json:"path"`
	At     time.Time `json:"at"`
	Result Result    `json:"result,omitempty"`
}

// Writer appends entries to a file. It is safe for concurrent use.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens or creates the log at path. An empty path discards all entries.
func Open(path string) (*Writer, error) {
	if path == "" {
		return &Writer{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("execlog: %w", err)
	}
	return &Writer{file: file}, nil
}

// Append writes the entry as one line with a single write.
func (w *Writer) Append(entry Entry) error {
	if w.file == nil {
		return nil
	}
	line, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("execlog: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.file.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("execlog: %w", err)
	}
	return nil
}

// Close closes the log file, if any.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// Read returns the entries of the logs at paths, in the order of paths.
func Read(paths ...string) ([]Entry, error) {
	var entries []Entry
	for _, path := range paths {
		more, err := readFile(path)
		if err != nil {
			return nil, err
		}
		entries = append(entries, more...)
	}
	return entries, nil
}

func readFile(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("execlog: %w", err)
	}
	defer file.Close()
	var entries []Entry
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var entry Entry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			return nil, fmt.Errorf("execlog: %s: %w", path, err)
		}
		entries = append(entries, entry)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("execlog: %s: %w", path, err)
	}
	return entries, nil
}

// RunsPerKey returns the number of executions started for each idempotency key.
func RunsPerKey(entries []Entry) map[string]int {
	runs := make(map[string]int)
	for _, entry := range entries {
		if entry.Event == EventStart && entry.IdempotencyKey != "" {
			runs[entry.IdempotencyKey]++
		}
	}
	return runs
}

// RepeatedKeys returns the number of idempotency keys with more than one started
// execution.
func RepeatedKeys(entries []Entry) int {
	repeated := 0
	for _, runs := range RunsPerKey(entries) {
		if runs > 1 {
			repeated++
		}
	}
	return repeated
}
