package forward_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// begin sends a request and returns the response when its head has arrived.
func (f *fixture) begin(t *testing.T, path string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "r"+strconv.FormatInt(sequence.Add(1), 10))
	req.Header.Set("Deadline-Ms", "1500")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestUnusedResponsesReleaseTheirConnections guards against places among the connections to a
// server that stay taken after a response whose body did not end was not passed on: because the
// request was sent to another server, or because that one answered a hedged request first.
func TestUnusedResponsesReleaseTheirConnections(t *testing.T) {
	const connections = 4
	for name, c := range map[string]struct {
		path   string
		status int
		// delay is that of the response to the first attempt, held the time for which the caller
		// keeps its response open.
		delay, held time.Duration
	}{
		"retried": {path: "/look/", status: http.StatusInternalServerError},
		"hedged":  {path: "/hedged/", status: http.StatusOK, delay: 80 * time.Millisecond, held: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			data := []byte(strings.Repeat("x", 16<<10))
			var sound atomic.Bool
			var seen sync.Map
			var second atomic.Int64
			endless := func(conn net.Conn, req *http.Request) {
				if sound.Load() {
					ok(conn, req)
					return
				}
				id := req.Header.Get("Request-Id")
				if _, again := seen.LoadOrStore(id, true); again {
					second.Add(1)
				} else {
					time.Sleep(c.delay)
				}
				_, err := io.WriteString(conn, "HTTP/1.1 "+strconv.Itoa(c.status)+" X\r\nRequest-Id: "+id+"\r\n"+signed+"\r\n\r\n")
				for err == nil {
					_, err = conn.Write(data)
				}
			}
			f := newFixture(t, startServer(t, "s1", endless), startServer(t, "s2", endless))
			f.connections = connections
			// Not each request is hedged.
			for n := 0; second.Load() <= 2*connections; n++ {
				g.Expect(n).To(gomega.BeNumerically("<", 30*connections))
				resp := f.begin(t, c.path)
				g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
				time.Sleep(c.held)
				resp.Body.Close()
			}
			sound.Store(true)
			for range 4 {
				resp, _ := f.call(t, http.MethodGet, "/look/", "")
				g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			}
		})
	}
}
