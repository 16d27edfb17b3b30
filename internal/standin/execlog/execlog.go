// Package execlog is the log of executions that a backend stand-in keeps and
// that tests, the load tool and the demo judge.
//
// The log is a file of JSON lines. Each line is written by one append before
// the execution goes on, so that it survives a crash of the process.
package execlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Event tells what an entry records.
type Event string

// Events of an execution.
const (
	// EventStart is written before the request runs.
	EventStart Event = "start"
	// EventEnd is written when it has ended.
	EventEnd Event = "end"
)

// Result tells how an execution ended.
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
	// Execution numbers the executions of a server's process, from 1.
	Execution      uint64 `json:"execution"`
	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	// Path is the path with the query.
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

// Append writes the entry with one system call.
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

// Close closes the file.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// Read returns the entries of the logs at paths, file by file.
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

// RunsPerKey counts the started executions of each idempotency key.
func RunsPerKey(entries []Entry) map[string]int {
	runs := make(map[string]int)
	for _, entry := range entries {
		if entry.Event == EventStart && entry.IdempotencyKey != "" {
			runs[entry.IdempotencyKey]++
		}
	}
	return runs
}

// RepeatedKeys counts the idempotency keys that were started more than once.
func RepeatedKeys(entries []Entry) int {
	repeated := 0
	for _, runs := range RunsPerKey(entries) {
		if runs > 1 {
			repeated++
		}
	}
	return repeated
}
