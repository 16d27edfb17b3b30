package forward

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/outcome"
)

// writeTimeout is how long a caller may block a write of the response.
const writeTimeout = 15 * time.Second

// pipelined is implemented by response writers of connections with pipelined requests.
type pipelined interface {
	// ArrivedAt returns the time at which the head of the request had been read.
	ArrivedAt() time.Time
	// BeginStream announces a response that may break off, which closes the connection. It
	// reports whether requests behind it are being handled.
	BeginStream() (behind bool)
}

// bufferRest buffers the rest of a response up to maxBufferedPipelined if requests behind it are
// being handled and there is memory for it. If it breaks off, or the planned stop ends before it is
// whole, the caller gets an error instead of the end of the connection.
func (x *exchange) bufferRest(resp *response) *outcome.Error {
	if resp.rest == nil {
		return nil
	}
	if p, ok := x.w.(pipelined); !ok || !p.BeginStream() || resp.length > maxBufferedPipelined {
		return nil
	}
	size := maxBufferedPipelined
	if resp.length >= 0 {
		size = int(resp.length)
	}
	size -= len(resp.buffered)
	if !x.held.addResponse(int64(size)) {
		return nil
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-x.f.ended:
			resp.cancel()
		case <-done:
		}
	}()
	// A buffer of its own, allocated once: growing that of the beginning would take more than is
	// charged. The last byte is for the read that meets the end of the body.
	more, complete, err := readUpTo(resp.rest, make([]byte, 0, size+1), -1, size)
	if err != nil {
		return x.bufferFailed(err)
	}
	resp.more = more
	if complete {
		_ = resp.rest.Close()
		resp.rest = nil
	}
	return nil
}

// bufferFailed returns the error for a response whose rest could not be read.
func (x *exchange) bufferFailed(err error) *outcome.Error {
	select {
	case <-x.f.ended:
		return x.cutByStop()
	default:
	}
	if !time.Now().Before(x.deadline) {
		return x.deadlineExceeded()
	}
	return &outcome.Error{
		Outcome: outcome.Unknown, Status: http.StatusBadGateway, Code: outcome.CodeServerFailed,
		Detail: "the response broke off", Err: err,
	}
}

// writeResponse sends the response of a server to the caller.
func (x *exchange) writeResponse(resp *response) {
	defer resp.close()
	if failed := x.bufferRest(resp); failed != nil {
		if x.in.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		x.writeError(failed)
		return
	}
	header := x.w.Header()
	for name, values := range resp.header {
		header[name] = values
	}
	if resp.rest == nil && x.in.Method != http.MethodHead && hop.BodyAllowed(resp.status) {
		header.Set("Content-Length", strconv.Itoa(len(resp.buffered)+len(resp.more)))
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
	for _, part := range [][]byte{resp.buffered, resp.more} {
		if len(part) == 0 || x.in.Method == http.MethodHead {
			continue
		}
		if _, err := x.w.Write(part); err != nil {
			return err
		}
	}
	if resp.rest == nil {
		return nil
	}
	resp.buffered, resp.more = nil, nil
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
