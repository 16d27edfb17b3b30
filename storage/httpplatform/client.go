package httpplatform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

const (
	defaultTimeout     = 5 * time.Second
	maxIdleConnections = 32
	idleTimeout        = 30 * time.Second
	maxDetailBytes     = 256
	maxListBytes       = 64 << 20
)

// OptionReason tells why an option can't be used.
type OptionReason string

func (o OptionReason) Error() string { return "httpplatform: " + string(o) }

const errBaseURL OptionReason = "must be an http or https URL with a host"

// Options configure a [Client].
type Options struct {
	// BaseURL is the address of the API, such as "http://10.0.0.1:7000".
	BaseURL string
	// Timeout bounds each operation; zero stands for 5 s.
	Timeout time.Duration
	// HTTPClient sends the requests; nil stands for a client of its own.
	// Its redirect policy is not used.
	HTTPClient *http.Client
}

// Client implements [storage.Platform] over HTTP. It is safe for concurrent
// use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ storage.Platform = (*Client)(nil)

// New returns a client. It fails with [OptionsError] and opens no connection.
func New(opts Options) (*Client, error) {
	base, err := url.Parse(opts.BaseURL)
	if err != nil {
		return nil, &OptionsError{Field: "BaseURL", Err: err}
	}
	if base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, &OptionsError{Field: "BaseURL", Err: errBaseURL}
	}
	client := http.Client{Transport: newTransport()}
	if opts.HTTPClient != nil {
		client = *opts.HTTPClient
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	timeout := opts.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{base: strings.TrimSuffix(opts.BaseURL, "/"), timeout: timeout, http: &client}, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type call struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
}

func (c call) isWrite() bool { return c.method != http.MethodGet }

type answer struct {
	status int
	header http.Header
	body   []byte
}

// do sends the call once and reads the whole answer. Errors are classified by
// whether the call may have taken effect.
func (c *Client) do(ctx context.Context, call call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	target := c.base + call.path + "?" + call.query.Encode()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return answer{}, &storage.UnavailableError{Op: call.op, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, failure(call, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return answer{}, failure(call, true, err)
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

func failure(call call, sent bool, err error) error {
	if call.isWrite() && sent {
		return &storage.UnknownOutcomeError{Op: call.op, Err: err}
	}
	return &storage.UnavailableError{Op: call.op, Err: err}
}

// statusFailure classifies an answer that is neither a success nor one of the
// operation's own statuses.
func statusFailure(call call, a answer) error {
	detail := string(a.body[:min(len(a.body), maxDetailBytes)])
	err := &StatusError{Status: a.status, Detail: strings.TrimSpace(detail)}
	return failure(call, !refused(a), err)
}

// refused reports whether the answer proves that the call had no effect.
func refused(a answer) bool {
	if a.status >= 400 && a.status < 500 && a.status != http.StatusRequestTimeout {
		return true
	}
	return a.status == http.StatusServiceUnavailable && a.header.Get(HeaderNotApplied) == "true"
}
