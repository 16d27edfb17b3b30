package respcheck

import (
	"net/http"
	"net/http/httptrace"
)

// Transport is an [http.Transport] that applies the rules of this package to responses of HTTP/1.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of base, which must not be used any more.
func NewTransport(base *http.Transport) *Transport { return &Transport{Transport: base} }

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var write RequestWrite
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { write.Begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { write.End(info.Err) },
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if req.Method != http.MethodHead {
		RequireWhole(resp, func() error { return write.Wait(req.Context()) })
	}
	return resp, nil
}
