package forward

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
)

// writeTimeout is the longest time in which a caller may accept nothing of an
// answer.
const writeTimeout = 15 * time.Second

// pass sends the answer of a server to the caller.
func (x *exchange) pass(ans *answer) {
	defer ans.close()
	header := x.w.Header()
	for name, values := range ans.header {
		header[name] = values
	}
	if ans.rest == nil && x.in.Method != http.MethodHead && hop.BodyAllowed(ans.status) {
		header.Set("Content-Length", strconv.Itoa(len(ans.held)))
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	x.w.WriteHeader(ans.status)
	err := x.copyBody(rc, ans)
	took := time.Since(x.start)
	if err != nil {
		x.log("answer broke off", slog.String("server", ans.server), slog.Any("error", err), slog.Duration("took", took))
		panic(http.ErrAbortHandler)
	}
	x.f.opts.Observer.Served(x.service.Name, took)
	x.log("served", slog.String("server", ans.server), slog.Int("status", ans.status),
		slog.Any("tried", x.placements), slog.Duration("took", took))
}

// copyBody writes the held part and then the rest as it comes.
func (x *exchange) copyBody(rc *http.ResponseController, ans *answer) error {
	if len(ans.held) > 0 && x.in.Method != http.MethodHead {
		if _, err := x.w.Write(ans.held); err != nil {
			return err
		}
	}
	if ans.rest == nil {
		return nil
	}
	buf := make([]byte, 32<<10)
	for {
		n, readErr := ans.rest.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := x.w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
