package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	charm "github.com/charmbracelet/log"
)

// LevelError reports a log level that does not exist.
type LevelError struct{ Level string }

func (e *LevelError) Error() string { return fmt.Sprintf("daemon: unknown log level %q", e.Level) }

// NewLogger returns a logger that writes one key=value line per event.
func NewLogger(w io.Writer, level string) (*slog.Logger, error) {
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
