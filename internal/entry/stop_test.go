package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/entry"
	"github.com/pomelolock/pomelolock/retrybudget"
	"github.com/pomelolock/pomelolock/table"
)

// busyServer is a backend server that serves one request at a time.
type busyServer struct {
	*httptest.Server
	mu      sync.Mutex
	running int
	ran     map[string]bool
}

func startBusyServer(t *testing.T, work time.Duration) *busyServer {
	t.Helper()
	s := &busyServer{ran: make(map[string]bool)}
	var slot sync.Mutex
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		w.Header().Set("Upstream-Load", fmt.Sprintf("%d,0,1,100", min(s.running, 1)))
		s.mu.Unlock()
		if r.URL.Path == "/healthz" {
			w.Header().Set("Instance-Id", "s1")
			return
		}
		id := r.Header.Get("Request-Id")
		s.mu.Lock()
		s.running++
		s.ran[id] = true
		s.mu.Unlock()
		slot.Lock()
		time.Sleep(work)
		slot.Unlock()
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		w.Header().Set("Request-Id", id)
		w.Header().Set("Upstream-Signature", "sig")
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(s.Close)
	return s
}

// TestStopAnswersRequestsThatWait guards against requests that wait in a queue and are cut off
// without an answer when a planned stop ends: their callers can't tell whether they have run.
func TestStopAnswersRequestsThatWait(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startBusyServer(t, 600*time.Millisecond)
	var service table.Service
	service.SetDefaults()
	service.Name, service.HealthPath = "orders", "/healthz"
	i := run(t, &entry.Settings{
		ID: "entry-1", DataCentre: "a", Caller: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t),
		Peer: freeAddress(t), Store: "127.0.0.1:1", Grace: 3 * time.Second,
		Retries: retrybudget.Limits{Ratio: 0.2, Burst: 62},
	}, &store{server: strings.TrimPrefix(server.URL, "http://"), table: &table.Document{
		Version: 1, Services: []table.Service{service},
		Routes: []table.Route{{Host: "h", PathPrefix: "/a/", Service: "orders", DeadlineMS: 10_000, TargetMS: 400}},
	}}, nil)
	g.Eventually(i.ready).WithTimeout(5 * time.Second).Should(gomega.Equal(http.StatusOK))
	const requests = 10
	results := make(chan [2]string, requests)
	for n := range requests {
		go func() {
			id := fmt.Sprint("r", n)
			req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.settings.Caller+"/a/", strings.NewReader("x"))
			req.Host = "h"
			req.Header.Set("Request-Id", id)
			resp, err := client.Do(req)
			if err != nil {
				results <- [2]string{id, err.Error()}
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			results <- [2]string{id, fmt.Sprint(resp.StatusCode)}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	i.stop()
	count := make(map[string]int)
	for range requests {
		result := <-results
		count[result[1]]++
		server.mu.Lock()
		ran := server.ran[result[0]]
		server.mu.Unlock()
		g.Expect(result[1]).To(gomega.Or(gomega.Equal("200"), gomega.Equal("503")))
		g.Expect(ran).To(gomega.Equal(result[1] == "200"), "a refused request must not run")
	}
	g.Expect(count["200"]).To(gomega.BeNumerically(">=", 3), "served while the instance stops: %v", count)
	g.Expect(count["503"]).To(gomega.BeNumerically(">=", 3), "refused: %v", count)
	g.Eventually(i.done).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.BeNil()))
}
