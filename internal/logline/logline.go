// Package logline writes structured log lines, one line of key=value pairs per event,
// without ever blocking the caller. Lines beyond a rate limit are dropped and counted.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	charm "github.com/charmbracelet/log"
)

const (
	// queueCapacity bounds the lines that are queued for writing.
	queueCapacity = 1024
	// linesPerSecond is the rate limit, burstLines the size of a burst.
	linesPerSecond = 300
	burstLines     = 600
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// LevelError reports an unknown log level.
type LevelError struct{ Level string }

func (e *LevelError) Error() string { return fmt.Sprintf("logline: unknown log level %q", e.Level) }

// Writer queues lines and writes them in the background. It implements [io.Writer]
// and is safe for concurrent use. Lines beyond the rate limit or the size of the queue
// are dropped, and their number is logged every second.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

// NewWriter returns a writer to out. [Writer.Close] stops its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{}),
		tokens: burstLines, refilled: time.Now(),
	}
	go w.run()
	return w
}

// Write implements [io.Writer] for one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(time.Now()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.tokens+now.Sub(w.refilled).Seconds()*linesPerSecond, burstLines)
	w.refilled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-w.lines:
			if !ok {
				w.report()
				return
			}
			// There is no other place to report a failed write of the log.
			_, _ = w.out.Write(line)
		case <-ticker.C:
			w.report()
		}
	}
}

// report logs the number of lines dropped since the last report.
func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
	}
}

// Close writes the queued lines and stops the writer. Write must not be called after
// it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

// New returns a logger that writes one key=value line per event. It fails with
// [LevelError].
func New(w io.Writer, level string) (*slog.Logger, error) {
	parsed, err := charm.ParseLevel(level)
	if err != nil {
		return nil, &LevelError{Level: level}
	}
	handler := charm.NewWithOptions(w, charm.Options{
		Level:           parsed,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    charm.NowUTC,
		Formatter:       charm.LogfmtFormatter,
	})
	return slog.New(handler), nil
}
