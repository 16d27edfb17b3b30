package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/pomelolock/pomelolock/burn"
)

const (
	// MaxHeadBytes bounds the status line and the headers of a response, in bytes. It is for the transport
	// of [Client.HTTP].
	MaxHeadBytes = 64 << 10
	// maxResponseBytes bounds the body of a response with status 200, in bytes, maxFailureBytes the part
	// that is read of another.
	maxResponseBytes = 8 << 20
	maxFailureBytes  = 64 << 10
)

// errLongResponse reports the body of a response that exceeds maxResponseBytes.
var errLongResponse = errors.New("the response is too long")

// UnreachableError reports an instance that could not be reached or from which no
// complete, decodable response was received. Address is the base URL.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("operator: %s unreachable: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client sends requests to the operator listener of one instance.
type Client struct {
	// URL is the base of the operator listener, as in "http://10.0.0.1:8082".
	URL string
	// Token is the operators' bearer token. It is empty if HTTP uses a client
	// certificate.
	Token string
	// HTTP sends the requests. Its timeout applies to each of them, and its transport should bound the
	// head of a response to [MaxHeadBytes].
	HTTP *http.Client
}

// Status returns the state of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.do(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Backends returns the backend servers whose slot coordinators run on the instance.
func (c *Client) Backends(ctx context.Context) (Backends, error) {
	var backends Backends
	err := c.do(ctx, http.MethodGet, "/backends", nil, &backends)
	return backends, err
}

// Burn returns the burn report of the fleet.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	var report burn.Report
	err := c.do(ctx, http.MethodGet, "/burn", nil, &report)
	return report, err
}

// Accept sends a table to be accepted. If the response is lost, the outcome is
// unknown; sending the same request again determines it.
func (c *Client) Accept(ctx context.Context, request AcceptRequest) (AcceptResponse, error) {
	var response AcceptResponse
	body, err := json.Marshal(request)
	if err != nil {
		return response, fmt.Errorf("operator: encode request: %w", err)
	}
	err = c.do(ctx, http.MethodPost, "/table", body, &response)
	return response, err
}

// do sends a request and decodes the response into out. It fails with
// [UnreachableError] if there is no usable response and with [Failure] if the status
// is not 200.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	if c.Token != "" && method != http.MethodGet {
		req.Header.Set("Authorization", bearerPrefix+c.Token)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return &UnreachableError{Address: c.URL, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	limit := int64(maxResponseBytes)
	if resp.StatusCode != http.StatusOK {
		limit = maxFailureBytes
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return &UnreachableError{Address: c.URL, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(resp.StatusCode, data)
	}
	if len(data) > maxResponseBytes {
		return &UnreachableError{Address: c.URL, Err: errLongResponse}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &UnreachableError{Address: c.URL, Err: err}
	}
	return nil
}

func decodeFailure(status int, data []byte) error {
	failure := &Failure{}
	if err := json.Unmarshal(data, failure); err != nil {
		failure.Detail = string(bytes.TrimSpace(data))
	}
	failure.Status = status
	return failure
}

// HasCode reports whether err is or wraps a [Failure] with the code.
func HasCode(err error, code Code) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Code == code
}
