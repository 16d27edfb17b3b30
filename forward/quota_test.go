package forward_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/forward"
	"github.com/pomelolock/pomelolock/quota"
	"github.com/pomelolock/pomelolock/table"
)

// fakeQuota counts the requests taken and returned, and refuses all if refused is set.
type fakeQuota struct {
	mu              sync.Mutex
	refused         bool
	taken, returned []string
}

func (q *fakeQuota) Take(_ context.Context, workspace string) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken = append(q.taken, workspace)
	return quota.Decision{OK: !q.refused, Unit: quota.Unit{Workspace: workspace}, RetryAfter: 700 * time.Millisecond}
}

func (q *fakeQuota) Return(unit quota.Unit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned = append(q.returned, unit.Workspace)
}

// addWorkspaces puts a table in force with a workspace that has a cap and one that has none.
func (f *fixture) addWorkspaces() {
	doc := f.current.Load().Document()
	doc.Version++
	doc.Workspaces = []table.Workspace{
		{Name: "capped", KeyHashes: []table.KeyHash{table.HashKey("k1")}, RatePerSecond: 10, Burst: 5},
		{Name: "free", KeyHashes: []table.KeyHash{table.HashKey("k2")}},
	}
	f.current.Swap(table.Compile(doc))
}

// callWithKey sends one request and returns the response, whose body is closed.
func (f *fixture) callWithKey(t *testing.T, path, key string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "r"+strconv.FormatInt(sequence.Add(1), 10))
	req.Header.Set("Deadline-Ms", "1500")
	req.Header.Set("X-Api-Key", key)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

// TestRequestOverTheCapIsRefusedBeforeItRuns guards against requests beyond a cap that reach a
// server or a queue, and against a cap for workspaces that have none.
func TestRequestOverTheCapIsRefusedBeforeItRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", ok)
	f := newFixture(t, s)
	f.addWorkspaces()
	f.quota.refused = true
	resp := f.callWithKey(t, "/look/", "k1")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusTooManyRequests))
	g.Expect(resp.Header.Get("Retry-After")).To(gomega.Equal("0.700"))
	g.Expect(s.arrivals()).To(gomega.BeZero())
	g.Expect(f.quota.taken).To(gomega.Equal([]string{"capped"}))
	g.Expect(f.quota.returned).To(gomega.BeEmpty(), "nothing was taken")
	g.Expect(f.callWithKey(t, "/look/", "k2").StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(f.quota.taken).To(gomega.HaveLen(1))
}

// TestRequestThatDidNotRunIsReturned guards against requests that use up a cap without a run,
// and against the return of requests that may have run.
func TestRequestThatDidNotRunIsReturned(t *testing.T) {
	notRun := func(conn net.Conn, req *http.Request) { respond(conn, req, 503, "", "Not-Executed: 1") }
	for _, c := range []struct {
		name, path string
		handle     func(net.Conn, *http.Request)
		quarantine bool
		returned   int
	}{
		{"served", "/look/", ok, false, 0},
		{"server error", "/look/", func(conn net.Conn, req *http.Request) { respond(conn, req, 500, "", signed) }, false, 0},
		{"outcome unknown", "/order/", reset, false, 0},
		{"not run", "/order/", notRun, false, 1},
		{"quarantined", "/order/", ok, true, 1},
		{"no route", "/other/", ok, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(t, startServer(t, "s1", c.handle))
			f.addWorkspaces()
			f.quarantine.refused = c.quarantine
			f.callWithKey(t, c.path, "k1")
			g.Expect(f.quota.returned).To(gomega.HaveLen(c.returned))
			g.Expect(len(f.quota.taken)).To(gomega.BeNumerically("<=", 1), "once per request, whatever its attempts")
		})
	}
}

// TestDelegatedRequestIsTakenOnce guards against a request that counts at two instances.
func TestDelegatedRequestIsTakenOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	peer := newFixture(t, startServer(t, "s1", ok))
	peer.addWorkspaces()
	f := cutOff(t, peer.asPeer(t, "peer"))
	f.addWorkspaces()
	g.Expect(f.callWithKey(t, "/order/", "k1").StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(f.quota.taken).To(gomega.HaveLen(1))
	g.Expect(f.quota.returned).To(gomega.BeEmpty())
	g.Expect(peer.quota.taken).To(gomega.BeEmpty())
	peer.quota.refused = true
	g.Expect(f.callWithKey(t, "/order/", "k1").StatusCode).To(gomega.Equal(http.StatusOK))
}

var _ forward.Quota = (*fakeQuota)(nil)
