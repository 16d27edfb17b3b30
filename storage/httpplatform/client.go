package httpplatform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/internal/respcheck"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	defaultTimeout     = 5 * time.Second
	maxIdleConnections = 32
	idleTimeout        = 30 * time.Second
	maxDetailBytes     = 256
)

const (
	// maxHeadBytes bounds the status line and the headers of a response, in bytes.
	maxHeadBytes = 64 << 10
	// maxOtherBytes bounds the part that is read of an error and of a response to a write, in bytes.
	maxOtherBytes = 4 << 10
	// maxListBytes bounds the body of a list of names or instances, in bytes.
	maxListBytes = 8 << 20
	// maxScanBytes bounds the body of a scan, in bytes. A value of MaxValueBytes has 4/3 of them in base64.
	maxScanBytes = 2 * MaxValueBytes
	// maxListCommas and maxInstanceCommas bound the elements of a list, which can take much more memory than
	// the bytes for them. An instance has up to eight fields, so these are 16,000 instances or more.
	maxListCommas     = 1 << 18
	maxInstanceCommas = 1 << 17
)

// bodySizeError reports the body of a response that exceeds its bound in bytes.
type bodySizeError int64

func (e bodySizeError) Error() string {
	return "httpplatform: the body of the response exceeds " + strconv.FormatInt(int64(e), 10) + " bytes"
}

// errManyElements reports a list with more commas than its bound.
var errManyElements = errors.New("too many elements")

// OptionReason is the reason why an option is invalid.
type OptionReason string

func (o OptionReason) Error() string { return "httpplatform: " + string(o) }

const errBaseURL OptionReason = "must be an http or https URL with a host"

// Options configure a [Client].
type Options struct {
	// BaseURL is the URL of the API, such as "http://10.0.0.1:7000".
	BaseURL string
	// Timeout bounds each operation; zero means 5 s.
	Timeout time.Duration
	// HTTPClient sends the requests; nil means a new client. Its redirect
	// policy is ignored: redirects are not followed.
	HTTPClient *http.Client
}

// Client implements [storage.Platform] over HTTP. It is safe for concurrent
// use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	// listing holds an element while a list is read and decoded: several at once could take more
	// memory than the process has.
	listing chan struct{}
}

var _ storage.Platform = (*Client)(nil)

// New returns a client without opening a connection. It fails with [OptionsError]
// if the base URL is invalid.
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
	return &Client{base: strings.TrimSuffix(opts.BaseURL, "/"), timeout: timeout, http: &client, listing: make(chan struct{}, 1)}, nil
}

func newTransport() *respcheck.Transport {
	return respcheck.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The dial function of the checks turns HTTP/2 off otherwise.
		ForceAttemptHTTP2: true,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type request struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	// limit bounds the body of a response with status 200 in bytes; 0 means that it is not needed.
	limit int64
	// commas bounds the commas in a list.
	commas int
}

func (c request) isWrite() bool { return c.method != http.MethodGet }

type response struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request once and reads the complete response. Its errors tell
// whether the request may have taken effect, see classifyError.
func (c *Client) do(ctx context.Context, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	target := c.base + req.path + "?" + req.query.Encode()
	httpReq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), req.method, target, bytes.NewReader(req.body))
	if err != nil {
		return response{}, &storage.UnavailableError{Op: req.op, Err: err}
	}
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return response{}, classifyError(req, sent.Load(), err)
	}
	defer func() { _ = httpResp.Body.Close() }()
	limit := int64(maxOtherBytes)
	whole := req.limit > 0 && httpResp.StatusCode == http.StatusOK
	if whole {
		limit = req.limit
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, limit+1))
	if err != nil {
		return response{}, classifyError(req, true, err)
	}
	if whole && int64(len(body)) > limit {
		return response{}, classifyError(req, true, bodySizeError(limit))
	}
	return response{status: httpResp.StatusCode, header: httpResp.Header, body: body}, nil
}

// classifyError wraps err in a [storage.UnknownOutcomeError] if the request is a
// write that may have been sent, and in a [storage.UnavailableError] otherwise.
func classifyError(req request, sent bool, err error) error {
	if req.isWrite() && sent {
		return &storage.UnknownOutcomeError{Op: req.op, Err: err}
	}
	return &storage.UnavailableError{Op: req.op, Err: err}
}

// statusError returns the error for a response whose status is neither a success
// nor specific to the operation.
func statusError(req request, resp response) error {
	detail := string(resp.body[:min(len(resp.body), maxDetailBytes)])
	err := &StatusError{Status: resp.status, Detail: strings.TrimSpace(detail)}
	return classifyError(req, !provesNoEffect(resp), err)
}

// provesNoEffect reports whether an error response proves that the request had no
// effect.
func provesNoEffect(resp response) bool {
	if resp.status >= 400 && resp.status < 500 && resp.status != http.StatusRequestTimeout {
		return true
	}
	return resp.status == http.StatusServiceUnavailable && resp.header.Get(HeaderNotApplied) == "true"
}
