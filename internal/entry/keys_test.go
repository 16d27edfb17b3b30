package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/entry"
	"github.com/pomelolock/pomelolock/retrybudget"
	"github.com/pomelolock/pomelolock/table"
)

// TestKeysAreServedWhileTheTableIsProven guards against settings and proofs that are not wired
// to the requests, and against a machine that serves by its old table after a suspension.
func TestKeysAreServedWhileTheTableIsProven(t *testing.T) {
	const revoke = time.Second
	g := gomega.NewWithT(t)
	var suspended atomic.Int64
	began := time.Now()
	store := &store{server: backend(t, 0)}
	store.setTable(1, "/a/")
	store.table.Workspaces = []table.Workspace{{Name: "bikes", KeyHashes: []table.KeyHash{table.HashKey("k1")}}}
	store.table.Routes = append(store.table.Routes, table.Route{Host: "h", PathPrefix: "/p/", Service: "orders", DeadlineMS: 2000, Public: true})
	i := runWith(t, entry.Options{
		Settings: &entry.Settings{
			ID: "entry-1", DataCentre: "a", Caller: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t),
			Peer: freeAddress(t), Store: "127.0.0.1:1", Grace: time.Second,
			Retries: retrybudget.Limits{Ratio: 0.2, Burst: 62}, RevokeWithin: revoke, ApplyWithin: revoke,
		},
		Store:    store,
		BootTime: func() time.Duration { return time.Since(began) + time.Hour + time.Duration(suspended.Load()) },
	})
	status := func(path, key string) int { status, _ := i.getWith(t, path, key); return status }
	g.Eventually(func() int { return status("/a/", "k1") }).WithTimeout(5 * time.Second).Should(gomega.Equal(http.StatusOK))
	g.Expect(status("/a/", "")).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(status("/a/", "k2")).To(gomega.Equal(http.StatusUnauthorized))
	store.setDown(true)
	g.Eventually(func() int { return status("/a/", "k1") }).WithTimeout(2 * revoke).Should(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(status("/p/", "")).To(gomega.Equal(http.StatusOK))
	g.Expect(i.ready()).To(gomega.Equal(http.StatusOK))
	store.setDown(false)
	g.Eventually(func() int { return status("/a/", "k1") }).WithTimeout(5 * time.Second).Should(gomega.Equal(http.StatusOK))
	store.setDown(true)
	suspended.Add(int64(time.Minute))
	g.Expect(status("/a/", "k1")).To(gomega.Equal(http.StatusServiceUnavailable))
	i.stop()
	g.Eventually(i.done).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.BeNil()))
}
