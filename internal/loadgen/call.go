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

const maxResponseBytes = 16 << 20

// Verdict is how a call ended for its caller.
type Verdict string

// Verdicts.
const (
	// Complete is a complete response to the call itself.
	Complete Verdict = "whole"
	// Refused is a response that says the call was not run.
	Refused Verdict = "refused"
	// Unknown is a response that says the call may have run.
	Unknown Verdict = "unknown"
	// Failed is any other response with a status other than 200.
	Failed Verdict = "failed"
	// Cut is a connection that failed before the end of the response, or that
	// could not be opened.
	Cut Verdict = "cut"
	// TimedOut is a call without a complete response within the timeout.
	TimedOut Verdict = "timed_out"
	// Foreign is a complete response to another call.
	Foreign Verdict = "foreign"
	// Corrupt is a response that was read without an error but does not match
	// its checksum or is not valid JSON.
	Corrupt Verdict = "corrupt"
	// NotSent is a call that was not sent because [MaxInFlight] calls were in
	// flight or its request could not be built.
	NotSent Verdict = "not_sent"
)

// Verdicts lists all verdicts, the successful one first.
var Verdicts = []Verdict{Complete, Refused, Unknown, Failed, Cut, TimedOut, Foreign, Corrupt, NotSent}

// call is one request. A duplicate has the ID and the key of the original call.
type call struct {
	id     string
	kind   Kind
	target string
	resent bool
}

func (c call) key() string { return "key-" + c.id }

// request builds the HTTP request. It hides the type of the body from the
// transport, which would otherwise retry requests by itself.
func (c call) request(ctx context.Context, opts *Options) (*http.Request, error) {
	method, body := http.MethodGet, ""
	if c.kind.Keyed {
		method, body = http.MethodPost, `{"order":"`+c.id+`"}`
	}
	query := "?" + backend.ParamCall + "=" + c.id
	if opts.ResponseBytes > 0 {
		query += "&" + backend.ParamSize + "=" + strconv.Itoa(opts.ResponseBytes)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.target+c.kind.Path+query, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, fmt.Errorf("loadgen: %w", err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(outcome.HeaderRequestID, c.id)
	if c.kind.Keyed {
		req.Header.Set(outcome.HeaderIdempotencyKey, c.key())
		req.Header.Set("Content-Type", "application/json")
	}
	if opts.Deadline > 0 {
		req.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(opts.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// result is the result of one request for its caller.
type result struct {
	verdict Verdict
	status  int
	code    string
	// reused is set if the connection of a failed request was reused and no
	// byte of a response was received.
	reused bool
	// retryAfter is the delay in the Retry-After header, or 0.
	retryAfter time.Duration
	// response is the decoded body of a complete response.
	response backend.Response
}

// send sends the request and classifies the response.
func send(ctx context.Context, client *http.Client, c call, opts *Options) result {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	reused, responded := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { reused = info.Reused },
		GotFirstResponseByte: func() { responded = true },
	})
	req, err := c.request(ctx, opts)
	if err != nil {
		return result{verdict: NotSent}
	}
	resp, err := client.Do(req)
	if err != nil {
		return result{verdict: transportErrorVerdict(err), reused: reused && !responded}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return result{verdict: transportErrorVerdict(err), status: resp.StatusCode}
	}
	return classify(c, resp, body)
}

func transportErrorVerdict(err error) Verdict {
	if errors.Is(err, context.DeadlineExceeded) {
		return TimedOut
	}
	return Cut
}

// classify returns the result for a response that was read without an error.
func classify(c call, resp *http.Response, body []byte) result {
	r := result{status: resp.StatusCode, retryAfter: retryAfter(resp.Header)}
	if resp.StatusCode != http.StatusOK {
		r.verdict = errorStatusVerdict(resp.Header)
		r.code = errorCode(body)
		return r
	}
	if resp.Header.Get(backend.HeaderChecksum) != backend.Checksum(body) {
		r.verdict = Corrupt
		return r
	}
	if json.Unmarshal(body, &r.response) != nil {
		r.verdict = Corrupt
		return r
	}
	r.verdict = Complete
	if r.response.Call != c.id || (c.kind.Keyed && r.response.IdempotencyKey != c.key()) {
		r.verdict = Foreign
	}
	return r
}

func errorStatusVerdict(header http.Header) Verdict {
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

// errorCode returns the code of an error response written by pomelolock itself,
// or "".
func errorCode(body []byte) string {
	var response struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body, &response) != nil {
		return ""
	}
	return response.Code
}

// newClient returns a client that keeps idle connections open and does not follow
// redirects.
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
