package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/entry"
	"github.com/pomelolock/pomelolock/quota"
	"github.com/pomelolock/pomelolock/retrybudget"
	"github.com/pomelolock/pomelolock/table"
)

// metric returns the value of a metric without a label.
func (i *instance) metric(name string) float64 {
	resp, err := client.Get("http://" + i.settings.Metrics + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	match := regexp.MustCompile(`(?m)^pomelolock_` + name + ` (\S+)$`).FindSubmatch(text)
	if match == nil {
		return 0
	}
	value, _ := strconv.ParseFloat(string(match[1]), 64)
	return value
}

func (i *instance) getWithKey(t *testing.T, key string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+i.settings.Caller+"/a/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("X-Api-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

// TestInstancesLendTheirSharesOfCaps guards against messages that reach the wrong handler, and
// against instances that exchange shares without a cap. One of two instances gets the requests
// of a workspace; its own share is one request a second.
func TestInstancesLendTheirSharesOfCaps(t *testing.T) {
	for _, capped := range []bool{true, false} {
		t.Run(fmt.Sprint("capped ", capped), func(t *testing.T) {
			g := gomega.NewWithT(t)
			seed, server := freeAddress(t), backend(t, 0)
			var fleet []*instance
			for n := range 2 {
				peer := seed
				if n > 0 {
					peer = freeAddress(t)
				}
				st := &store{server: server}
				st.setTable(1, "/a/")
				w := table.Workspace{Name: "w", KeyHashes: []table.KeyHash{table.HashKey("k")}}
				if capped {
					w.RatePerSecond, w.Burst = 2, 1
				}
				st.table.Workspaces = []table.Workspace{w}
				i := run(t, &entry.Settings{
					ID: fmt.Sprint("entry-", n), DataCentre: "a", Caller: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t),
					Peer: peer, Seeds: []string{seed}, Store: "127.0.0.1:1", Grace: time.Second,
					Retries: retrybudget.Limits{Ratio: 0.2, Burst: 62}, Caps: quota.Limits{Window: 5 * time.Second, Excess: 0.1},
				}, st, nil)
				t.Cleanup(func() {
					i.stop()
					if err := <-i.done; err != nil {
						t.Error(err)
					}
				})
				fleet = append(fleet, i)
			}
			g.Eventually(fleet[0].ready).WithTimeout(5 * time.Second).Should(gomega.Equal(http.StatusOK))
			if !capped {
				for range 20 {
					g.Expect(fleet[0].getWithKey(t, "k").StatusCode).To(gomega.Equal(http.StatusOK))
				}
				g.Consistently(func() float64 { return fleet[0].metric("quota_asked_total") }).WithTimeout(500 * time.Millisecond).Should(gomega.BeZero())
				return
			}
			refused := 0
			g.Eventually(func() float64 {
				if resp := fleet[0].getWithKey(t, "k"); resp.StatusCode == http.StatusTooManyRequests {
					refused++
					after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(after).To(gomega.BeNumerically(">=", 0.05))
					g.Expect(after).To(gomega.BeNumerically("<=", 3))
				}
				return min(fleet[0].metric("quota_asked_total"), fleet[0].metric("quota_served_total"), fleet[0].metric("quota_granted_total")+fleet[1].metric("quota_granted_total"))
			}).WithTimeout(10 * time.Second).Should(gomega.BeNumerically(">=", 3))
			g.Expect(refused).To(gomega.BeNumerically(">", 0))
		})
	}
}
