package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// discardWriter is a response writer that discards everything.
type discardWriter struct{ header http.Header }

func (s *discardWriter) Header() http.Header         { return s.header }
func (s *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (s *discardWriter) WriteHeader(int)             {}

// BenchmarkLookup measures one lookup through the proxy to a server on the
// loopback interface, without the caller's connection.
func BenchmarkLookup(b *testing.B) {
	bed := newTestbed(b, nil, always(faultNone))
	b.ReportAllocs()
	for b.Loop() {
		req := httptest.NewRequest(http.MethodGet, "/lookup", nil)
		bed.proxy.ServeHTTP(&discardWriter{header: make(http.Header)}, req)
	}
}

// BenchmarkDirect measures the same lookup without the proxy.
func BenchmarkDirect(b *testing.B) {
	bed := newTestbed(b, nil, always(faultNone))
	address := bed.servers[0].listener.Addr().String()
	transport := &http.Transport{DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/lookup", nil)
		if err != nil {
			b.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
	}
}
