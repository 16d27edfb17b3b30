package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/outcome"
)

const maxAnswerBytes = 16 << 20

// Verdict is how a call ended for its caller.
type Verdict string

// Verdicts.
const (
	// Whole is the complete answer to the call itself.
	Whole Verdict = "whole"
	// Refused is an answer that says the call was not run.
	Refused Verdict = "refused"
	// Unknown is an answer that says the call may have run.
	Unknown Verdict = "unknown"
	// Failed is any other answer with an error status.
	Failed Verdict = "failed"
	// Cut is a connection lost before the answer's end, or never opened.
	Cut Verdict = "cut"
	// TimedOut is no whole answer within the timeout.
	TimedOut Verdict = "timed_out"
	// Foreign is a whole answer to another call.
	Foreign Verdict = "foreign"
	// Corrupt is an answer that looked whole but fails its checksum.
	Corrupt Verdict = "corrupt"
	// NotSent is a call past the bound of calls in flight.
	NotSent Verdict = "not_sent"
)

// Verdicts lists all verdicts, the good one first.
var Verdicts = []Verdict{Whole, Refused, Unknown, Failed, Cut, TimedOut, Foreign, Corrupt, NotSent}

// call is one request; a resent call shares its mark and key.
type call struct {
	mark   string
	kind   Kind
	target string
	resent bool
}

func (c call) key() string { return "key-" + c.mark }

// request builds the HTTP request. Its body is hidden from the transport,
// which would otherwise resend requests by itself.
func (c call) request(ctx context.Context, opts *Options) (*http.Request, error) {
	method, body := http.MethodGet, ""
	if c.kind.Keyed {
		method, body = http.MethodPost, `{"order":"`+c.mark+`"}`
	}
	query := "?" + backend.ParamCall + "=" + c.mark
	if opts.AnswerBytes > 0 {
		query += "&" + backend.ParamSize + "=" + strconv.Itoa(opts.AnswerBytes)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.target+c.kind.Path+query, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, fmt.Errorf("loadgen: %w", err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(outcome.HeaderRequestID, c.mark)
	if c.kind.Keyed {
		req.Header.Set(outcome.HeaderIdempotencyKey, c.key())
		req.Header.Set("Content-Type", "application/json")
	}
	if opts.Deadline > 0 {
		req.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(opts.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// result is what the caller saw.
type result struct {
	verdict Verdict
	status  int
	code    string
	// reused tells that a cut call had been sent over a reused connection
	// and no byte of an answer came back.
	reused bool
	// retryAfter is when the answer asks the caller to come back.
	retryAfter time.Duration
	// answer is the body's decoded form if it is whole.
	answer backend.Response
}

// send performs the call and judges the answer.
func send(ctx context.Context, client *http.Client, c call, opts *Options) result {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	reused, answered := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { reused = info.Reused },
		GotFirstResponseByte: func() { answered = true },
	})
	req, err := c.request(ctx, opts)
	if err != nil {
		return result{verdict: NotSent}
	}
	resp, err := client.Do(req)
	if err != nil {
		return result{verdict: lossVerdict(err), reused: reused && !answered}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return result{verdict: lossVerdict(err), status: resp.StatusCode}
	}
	return judge(c, resp, body)
}

func lossVerdict(err error) Verdict {
	if errors.Is(err, context.DeadlineExceeded) {
		return TimedOut
	}
	return Cut
}

// judge decides about an answer that was read without an error.
func judge(c call, resp *http.Response, body []byte) result {
	r := result{status: resp.StatusCode, retryAfter: retryAfter(resp.Header)}
	if resp.StatusCode != http.StatusOK {
		r.verdict = refusalVerdict(resp.Header)
		r.code = errorCode(body)
		return r
	}
	if resp.Header.Get(backend.HeaderChecksum) != backend.Checksum(body) {
		r.verdict = Corrupt
		return r
	}
	if json.Unmarshal(body, &r.answer) != nil {
		r.verdict = Corrupt
		return r
	}
	r.verdict = Whole
	if r.answer.Call != c.mark || (c.kind.Keyed && r.answer.IdempotencyKey != c.key()) {
		r.verdict = Foreign
	}
	return r
}

func refusalVerdict(header http.Header) Verdict {
	switch {
	case header.Get(outcome.HeaderOutcome) == string(outcome.NotRun), header.Get(outcome.HeaderNotRun) == "true":
		return Refused
	case header.Get(outcome.HeaderOutcome) == string(outcome.Unknown):
		return Unknown
	default:
		return Failed
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// errorCode returns the code of an answer of pomelolock's own, or "".
func errorCode(body []byte) string {
	var own struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body, &own) != nil {
		return ""
	}
	return own.Code
}

// newClient returns a client that keeps connections and follows no redirects.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: MaxInFlight,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
