package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: one line for each thing that was sent, answered
// or run, with the time since the start.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// say writes one line, also to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// runs counts how often upstreams began to work on each request.
type runs struct {
	mu    sync.Mutex
	ids   map[string][]string
	first map[string]time.Time
}

func newRuns() *runs { return &runs{ids: make(map[string][]string), first: make(map[string]time.Time)} }

func (r *runs) add(id, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ids[id]) == 0 {
		r.first[id] = time.Now()
	}
	r.ids[id] = append(r.ids[id], upstream)
}

// firstAt returns when an upstream first began to work on the request.
func (r *runs) firstAt(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.first[id]
	return at, ok
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ids[id]...)
}
