package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/entry"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/retrybudget"
	"github.com/pomelolock/pomelolock/table"
)

// TestColdServerIsKnownToAllInstances guards against a status check whose warm-up reaches the
// instance that made it and no other one. One of two instances checks the server.
func TestColdServerIsKnownToAllInstances(t *testing.T) {
	g := gomega.NewWithT(t)
	var cold atomic.Bool
	cold.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", "s1")
		w.Header().Set("Upstream-Load", "0,0,6,100")
		w.Header().Set("Warmup-Ms", "0")
		if cold.Load() {
			w.Header().Set("Warmup-Ms", "60000")
		}
	}))
	t.Cleanup(server.Close)
	var instances []*instance
	peers := []string{freeAddress(t), freeAddress(t)}
	for n, peer := range peers {
		st := &store{server: strings.TrimPrefix(server.URL, "http://")}
		var service table.Service
		service.SetDefaults()
		service.Name, service.HealthPath, service.WarmUpMS, service.WarmUpPerSecond = "orders", "/healthz", 60_000, 5.3
		st.table = &table.Document{Version: 1, Services: []table.Service{service}}
		instances = append(instances, run(t, &entry.Settings{
			ID: []string{"entry-1", "entry-2"}[n], DataCentre: "a", Caller: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t),
			Peer: peer, Seeds: peers, Store: "127.0.0.1:1", Grace: time.Second,
			Retries: retrybudget.Limits{Ratio: 0.2, Burst: 62}, WarmUp: readings.WarmUpLimits{Excess: 1.5, Slack: 8},
		}, st, nil))
	}
	count := func(want string) func() int {
		return func() (n int) {
			for _, i := range instances {
				resp, err := client.Get("http://" + i.settings.Metrics + "/metrics")
				if err != nil {
					continue
				}
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if strings.Contains(string(body), "\npomelolock_instances_alive 2\n") && strings.Contains(string(body), "\npomelolock_servers_cold "+want+"\n") {
					n++
				}
			}
			return n
		}
	}
	g.Eventually(count("1")).WithTimeout(10 * time.Second).Should(gomega.Equal(2))
	cold.Store(false)
	g.Eventually(count("0")).WithTimeout(10 * time.Second).Should(gomega.Equal(2))
	for _, i := range instances {
		i.stop()
	}
	for _, i := range instances {
		g.Eventually(i.done).WithTimeout(10 * time.Second).Should(gomega.Receive(gomega.BeNil()))
	}
}
