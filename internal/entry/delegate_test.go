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
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/entry"
	"github.com/pomelolock/pomelolock/retrybudget"
)

// link carries connections to a backend server until it is cut.
type link struct {
	listener net.Listener
	target   string
	how      string
	cut      atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

// newLink opens a link. how says what a cut does: "refused" and "silent" also end or silence
// the connections that are open, "open ones live" does not.
func newLink(t *testing.T, target, how string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target, how: how}
	t.Cleanup(l.close)
	go l.accept(listener)
	return l
}

func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

func (l *link) carry(conn net.Conn) {
	l.mu.Lock()
	l.conns = append(l.conns, conn)
	l.mu.Unlock()
	if l.cut.Load() {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		conn.Close()
		return
	}
	l.mu.Lock()
	l.conns = append(l.conns, server)
	l.mu.Unlock()
	pipe := func(to, from net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			if err != nil {
				to.Close()
				return
			}
			if l.how == "silent" && l.cut.Load() {
				continue
			}
			_, _ = to.Write(buf[:n])
		}
	}
	go pipe(conn, server)
	pipe(server, conn)
}

func (l *link) doCut() {
	l.cut.Store(true)
	if l.how != "silent" {
		l.listener.Close()
	}
	if l.how != "refused" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// heal ends a cut. Connections that were silenced stay silent.
func (l *link) heal(t *testing.T) {
	t.Helper()
	l.cut.Store(false)
	if l.how == "silent" {
		return
	}
	listener, err := net.Listen("tcp", l.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	l.listener = listener
	go l.accept(listener)
}

func (l *link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
}

// startFleet starts instances that know each other and reach the backend server at the given
// addresses.
func startFleet(t *testing.T, servers ...string) []*instance {
	t.Helper()
	seed := freeAddress(t)
	var fleet []*instance
	for n, server := range servers {
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
		}, table)
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
			cut := newLink(t, server, how)
			fleet := startFleet(t, cut.listener.Addr().String(), server, server)
			for _, i := range fleet {
				g.Eventually(i.ready).WithTimeout(10 * time.Second).Should(gomega.Equal(http.StatusOK))
			}
			g.Eventually(func() bool { return fleet[0].order(t, "before") }).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
			cut.doCut()
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
	const seed, duration, instances, callers = 7, 8 * time.Second, 4, 12
	g := gomega.NewWithT(t)
	server := &recorder{runs: make(map[string]int)}
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	address := strings.TrimPrefix(backend.URL, "http://")
	var links []*link
	var addresses []string
	for n := range instances {
		l := newLink(t, address, []string{"refused", "silent", "open ones live", "refused"}[n])
		links, addresses = append(links, l), append(addresses, l.listener.Addr().String())
	}
	fleet := startFleet(t, addresses...)
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
				got, body := fleet[n%instances].send(t, id)
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
		l := links[rng.IntN(instances-1)]
		if l.cut.Load() {
			l.heal(t)
		} else {
			l.doCut()
		}
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
	served := 0
	server.mu.Lock()
	defer server.mu.Unlock()
	for id, got := range status {
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
	t.Logf("%d of %d orders served", served, len(status))
	g.Expect(served).To(gomega.BeNumerically(">", len(status)/2))
}
