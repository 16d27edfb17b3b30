package serverconn

import (
	"context"
	"net/http"
	"net/url"
)

// Check makes a status check at the given path and returns the status and headers of
// the response. The connection is returned to the pool if it can be reused. isCheck
// reports whether a response belongs to a status check; others are skipped. Check fails
// with [SendError].
func (c *Conn) Check(ctx context.Context, path string, isCheck func(*http.Response) bool) (*http.Response, error) {
	c.pool.Checks.Add(1)
	c.request = 0
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: c.address, Path: path},
		Host: c.address, Header: http.Header{"User-Agent": {""}}, ProtoMajor: 1, ProtoMinor: 1,
	}
	resp, err := c.RoundTrip(ctx, req, isCheck)
	if err != nil {
		return nil, err
	}
	Discard(resp)
	return resp, nil
}
