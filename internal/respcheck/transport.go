package respcheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an [http.Transport] that applies the rules of this package to responses of HTTP/1. It
// checks their heads on connections without TLS only.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of base, which must not be used any more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw, reader: NewReader(raw)}, nil
	}
	return &Transport{Transport: base}
}

// Dialed returns the connection below one of a [Transport]: that which the dial function of its base has
// opened.
func Dialed(checked net.Conn) net.Conn {
	if c, ok := checked.(*conn); ok {
		return c.Conn
	}
	return checked
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var write RequestWrite
	var reader atomic.Pointer[Reader]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			write.Begin()
			if c, ok := info.Conn.(*conn); ok {
				_ = c.reader.ExpectHead(nil)
				reader.Store(c.reader)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { write.End(info.Err) },
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		if r := reader.Load(); r != nil && r.Err() != nil {
			err = r.Err()
		}
		return nil, err
	}
	if req.Method != http.MethodHead {
		RequireWhole(resp, func() error { return write.Wait(req.Context()) })
	}
	return resp, nil
}
