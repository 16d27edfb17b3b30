package entry_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/entry"
	"github.com/pomelolock/pomelolock/retrybudget"
)

// links are the links of one instance to the backend servers.
type links struct {
	// how says what a cut does: "refused" and "silent" also end or silence the connections
	// that are open, "open ones live" does not.
	how string

	mu    sync.Mutex
	cut   bool
	conns []*linkConn
}

// dial opens a connection, unless the links are cut.
func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut && l.how == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if cut {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: conn.(*net.TCPConn)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// setCut cuts or heals the links. Connections that were silenced stay silent.
func (l *links) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut || l.how == "open ones live" {
		return
	}
	for _, c := range l.conns {
		if l.how == "silent" {
			c.silent.Store(true)
			continue
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	l.conns = nil
}

func (l *links) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// linkConn is a connection that can fall silent in both directions.
type linkConn struct {
	*net.TCPConn
	silent atomic.Bool
}

// Read implements [net.Conn].
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements [net.Conn].
func (c *linkConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// startFleet starts instances that know each other and reach the backend server at the given
// address by their own links.
func startFleet(t *testing.T, server string, own ...*links) []*instance {
	t.Helper()
	seed := freeAddress(t)
	var fleet []*instance
	for n, l := range own {
		peer := seed
		if n > 0 {
			peer = freeAddress(t)
		}
		table := &store{server: server}
		table.setTable(1, "/a/")
		i := run(t, &entry.Settings{
			ID: fmt.Sprint("entry-", n), DataCentre: "a", Caller: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t),
			Peer: peer, Seeds: []string{seed}, Store: "127.0.0.1:1", Grace: time.Second,
			Retries: retrybudget.Limits{Ratio: 0.2, Burst: 62}, ChecksPerSecond: 60,
		}, table, l.dial)
		t.Cleanup(func() {
			i.stop()
			if err := <-i.done; err != nil {
				t.Error(err)
			}
		})
		fleet = append(fleet, i)
	}
	return fleet
}

// send sends one request that may run at most once and returns the status and the body of
// the response, or status 0 if there is no complete response.
func (i *instance) send(t *testing.T, id string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+i.settings.Caller+"/a/", strings.NewReader("one"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "1000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

// order reports whether one request was served.
func (i *instance) order(t *testing.T, id string) bool {
	t.Helper()
	status, body := i.send(t, id)
	return status == http.StatusOK && body == "whole"
}

// TestInstanceCutOffFromServersServesItsCallers guards against an instance that fails all of
// its requests while its peers reach the servers.
func TestInstanceCutOffFromServersServesItsCallers(t *testing.T) {
	for _, how := range []string{"refused", "silent", "open ones live"} {
		t.Run(how, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := backend(t, 20*time.Millisecond)
			cut := &links{how: how}
			fleet := startFleet(t, server, cut, &links{}, &links{})
			for _, i := range fleet {
				g.Eventually(i.ready).WithTimeout(10 * time.Second).Should(gomega.Equal(http.StatusOK))
			}
			g.Eventually(func() bool { return fleet[0].order(t, "before") }).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
			cut.setCut(true)
			const before, requests, atOnce = 90, 120, 3
			served := 0
			var mu sync.Mutex
			var wg sync.WaitGroup
			for n := range before + requests {
				wg.Go(func() {
					ok := fleet[0].order(t, fmt.Sprint("r", n))
					mu.Lock()
					defer mu.Unlock()
					if ok && n >= before {
						served++
					}
				})
				if n%atOnce == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
			wg.Wait()
			// Two thirds as often as at the others is the target; these serve all.
			g.Expect(served).To(gomega.BeNumerically(">=", requests*2/3))
		})
	}
}

// recorder is a backend server that counts the runs of each request.
type recorder struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Upstream-Load", "1,0,6,100")
	if req.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", "s1")
		return
	}
	id := req.Header.Get("Request-Id")
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Upstream-Signature", "sig")
	_, _ = io.WriteString(w, id)
}

// TestPromisesHoldWhileLinksComeAndGo cuts and heals the links of some instances at random
// times: an order runs once at most, and one that is refused never runs.
func TestPromisesHoldWhileLinksComeAndGo(t *testing.T) {
	const seed, duration, callers = 7, 8 * time.Second, 12
	g := gomega.NewWithT(t)
	server := &recorder{runs: make(map[string]int)}
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	address := strings.TrimPrefix(backend.URL, "http://")
	own := []*links{{how: "refused"}, {how: "silent"}, {how: "open ones live"}, {}}
	fleet := startFleet(t, address, own...)
	for _, i := range fleet {
		g.Eventually(i.ready).WithTimeout(10 * time.Second).Should(gomega.Equal(http.StatusOK))
	}
	var mu sync.Mutex
	status := make(map[string]int)
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for n := range callers {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("c%d-%d", n, k)
				got, body := fleet[n%len(fleet)].send(t, id)
				if got == http.StatusOK && body != id {
					t.Errorf("request %s got the answer of %q", id, body)
				}
				mu.Lock()
				status[id] = got
				mu.Unlock()
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	for time.Now().Before(end) {
		// The last instance keeps its links.
		l := own[rng.IntN(len(own)-1)]
		l.setCut(!l.isCut())
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
	served := 0
	server.mu.Lock()
	defer server.mu.Unlock()
	tally := make(map[string]int)
	for id, got := range status {
		var n, k int
		_, _ = fmt.Sscanf(id, "c%d-%d", &n, &k)
		tally[fmt.Sprintf("entry-%d %d", n%len(fleet), got)]++
		switch runs := server.runs[id]; {
		case runs > 1:
			t.Errorf("order %s ran %d times", id, runs)
		case got == http.StatusServiceUnavailable && runs > 0:
			t.Errorf("order %s was refused and ran", id)
		}
		if got == http.StatusOK {
			served++
		}
	}
	t.Logf("%d of %d orders served; by instance and status: %v", served, len(status), tally)
	g.Expect(served).To(gomega.BeNumerically(">", len(status)/2))
}
