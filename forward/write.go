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

// writeTimeout is how long a caller may block a write of the response.
const writeTimeout = 15 * time.Second

// writeResponse sends the response of a server to the caller.
func (x *exchange) writeResponse(resp *response) {
	defer resp.close()
	header := x.w.Header()
	for name, values := range resp.header {
		header[name] = values
	}
	if resp.rest == nil && x.in.Method != http.MethodHead && hop.BodyAllowed(resp.status) {
		header.Set("Content-Length", strconv.Itoa(len(resp.buffered)))
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	x.w.WriteHeader(resp.status)
	err := x.copyBody(rc, resp)
	took := time.Since(x.receivedAt)
	if err != nil {
		x.log("answer broke off", slog.String("server", resp.server), slog.Any("error", err), slog.Duration("took", took))
		panic(http.ErrAbortHandler)
	}
	x.f.opts.Observer.Served(x.service.Name, took)
	attrs := append(x.timing(), slog.String("server", resp.server), slog.Int("status", resp.status),
		slog.Any("tried", x.reservations), slog.Duration("took", took))
	x.log("served", append(attrs, resp.via.attrs()...)...)
}

// copyBody writes the buffered part, which it releases, and then streams the rest. A caller that
// reads slowly may take until the deadline of the request.
func (x *exchange) copyBody(rc *http.ResponseController, resp *response) error {
	if len(resp.buffered) > 0 && x.in.Method != http.MethodHead {
		if _, err := x.w.Write(resp.buffered); err != nil {
			return err
		}
	}
	if resp.rest == nil {
		return nil
	}
	resp.buffered = nil
	x.held.releaseResponses()
	buf := make([]byte, 32<<10)
	for {
		n, readErr := resp.rest.Read(buf)
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
