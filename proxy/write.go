package proxy

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/hop"
	"github.com/pomelolock/pomelolock/outcome"
)

// chunkSize is the size in bytes of the chunks of a streamed answer.
const chunkSize = 32 << 10

var chunks = sync.Pool{New: func() any {
	b := make([]byte, chunkSize)
	return &b
}}

// writeOwn sends an answer of pomelolock's own.
func (x *exchange) writeOwn(failed *outcome.Error) {
	x.p.counters.ownAnswers.Add(1)
	level := slog.LevelInfo
	if failed.Status >= http.StatusInternalServerError {
		x.record(false)
		level = slog.LevelWarn
	}
	x.p.log(level, "request not served "+string(failed.Code),
		slog.String("request", x.id), slog.String("outcome", string(failed.Outcome)),
		slog.Int("status", failed.Status), slog.Any("error", failed.Err))
	if failed.Status == statusCallerGone {
		panic(http.ErrAbortHandler)
	}
	_ = failed.Write(x.w, x.id)
}

// record counts the request for its service, if one was found.
func (x *exchange) record(whole bool) {
	if x.service != nil && x.p.opts.Recorder != nil {
		x.p.opts.Recorder.Record(x.service.Name, whole, time.Since(x.start))
	}
}

// writeAnswer sends the answer of a backend server.
func (x *exchange) writeAnswer(ans *answer) {
	if x.p.opts.Quarantine != nil {
		x.p.opts.Quarantine.ReportOK(x.print)
	}
	if ans.rest != nil && ans.length < 0 && !x.in.ProtoAtLeast(1, 1) {
		ans.end(context.Canceled)
		x.writeOwn(&outcome.Error{
			Outcome: outcome.Ran, Status: http.StatusBadGateway, Code: outcome.CodeServerFailed,
			Detail: "the answer is too long for an HTTP/1.0 caller",
		})
		return
	}
	x.writeHead(ans)
	err := x.writeBody(ans)
	ans.end(err)
	x.record(err == nil && ans.status < http.StatusInternalServerError)
	if err == nil {
		x.p.counters.whole.Add(1)
		return
	}
	x.p.counters.aborted.Add(1)
	x.p.log(slog.LevelWarn, "answer aborted", slog.String("request", x.id),
		slog.String("server", ans.server), slog.Any("error", err))
	panic(http.ErrAbortHandler)
}

func (x *exchange) writeHead(ans *answer) {
	header := x.w.Header()
	for name, values := range ans.header {
		header[name] = values
	}
	header.Del(outcome.HeaderLoad)
	header.Del(outcome.HeaderDraining)
	header.Set(outcome.HeaderRequestID, x.id)
	header.Set(outcome.HeaderOutcome, string(outcome.Ran))
	if ans.rest == nil && x.in.Method != http.MethodHead && hop.BodyAllowed(ans.status) {
		header.Set("Content-Length", strconv.Itoa(len(ans.held)))
	}
	x.w.WriteHeader(ans.status)
}

func (x *exchange) writeBody(ans *answer) error {
	if len(ans.held) > 0 {
		rc := http.NewResponseController(x.w)
		_ = rc.SetWriteDeadline(time.Now().Add(x.p.opts.WriteTimeout))
		if _, err := x.w.Write(ans.held); err != nil {
			return err
		}
	}
	if ans.rest == nil {
		return nil
	}
	return x.copyStream(ans)
}

func (x *exchange) copyStream(ans *answer) error {
	buf := chunks.Get().(*[]byte)
	defer chunks.Put(buf)
	rc := http.NewResponseController(x.w)
	for {
		n, readErr := ans.rest.Read(*buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(x.p.opts.WriteTimeout))
			if _, err := x.w.Write((*buf)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return x.streamError(ans, readErr)
		}
		if ans.length < 0 {
			_ = rc.Flush()
		}
	}
}

// streamError tells a broken answer from a caller that left.
func (x *exchange) streamError(ans *answer, err error) error {
	if cause := x.in.Context().Err(); cause != nil {
		return cause
	}
	return &TruncatedError{Server: ans.server, Err: err}
}
