package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/feed"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/internal/entry"
	"github.com/pomelolock/pomelolock/platform"
	"github.com/pomelolock/pomelolock/retrybudget"
	"github.com/pomelolock/pomelolock/table"
)

// store is an in-memory store with one backend server and at most one table.
type store struct {
	mu     sync.Mutex
	server string
	table  *table.Document
	// down makes reads of the table fail.
	down bool
}

var errUnavailable = errors.New("store unavailable")

// startedAt is when the store's clock was at zero.
var startedAt = time.Now().Add(-time.Minute)

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) Servers(context.Context) ([]directory.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []directory.Change{{Version: 1, Server: directory.Server{
		ID: "s1", Service: "orders", Address: s.server, DataCentre: "a", Slots: 6,
	}}}, 1, nil
}

func (s *store) ServerChanges(context.Context, uint64) ([]directory.Change, uint64, error) {
	return nil, 1, nil
}

func (s *store) Desired(context.Context) (feed.Desired, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Desired{}, 0, errUnavailable
	}
	return feed.Desired{Table: s.table, Complete: true, StoreNow: time.Since(startedAt)}, 1, nil
}

func (s *store) DesiredChange(ctx context.Context, after uint64, _ time.Duration) (feed.Desired, uint64, error) {
	select {
	case <-ctx.Done():
		return feed.Desired{}, 0, ctx.Err()
	case <-time.After(50 * time.Millisecond):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Desired{}, 0, errUnavailable
	}
	return feed.Desired{Table: s.table, StoreNow: time.Since(startedAt)}, after, nil
}

func (s *store) Remove(context.Context, string) error { return nil }

func (s *store) Register(context.Context, gossip.Member) error { return nil }

func (s *store) Join(_ context.Context, self gossip.Member, _ bool) ([]gossip.Member, error) {
	return []gossip.Member{self}, nil
}

func (s *store) setTable(version uint64, prefix string) {
	var service table.Service
	service.SetDefaults()
	service.Name, service.HealthPath = "orders", "/healthz"
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = &table.Document{
		Version: version, Services: []table.Service{service},
		Routes: []table.Route{{Host: "h", PathPrefix: prefix, Service: "orders", DeadlineMS: 2000}},
	}
}

// givenAddresses holds the addresses that freeAddress has returned: the kernel may choose the
// port of one again that is not in use yet.
var givenAddresses sync.Map

// freeAddress returns an address that is free for TCP and UDP. Its IP address depends on
// the process ID, so that no other process takes the port before it is used.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f)
	for {
		tcp, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := tcp.Addr().String()
		udp, err := net.ListenPacket("udp", address)
		tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

// backend starts a backend server that responds to requests after a pause and to
// status checks at once, and returns its address.
func backend(t *testing.T, pause time.Duration) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Upstream-Load", "1,0,6,100")
		if r.URL.Path == "/healthz" {
			w.Header().Set("Instance-Id", "s1")
			return
		}
		time.Sleep(pause)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Upstream-Signature", "sig")
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

type instance struct {
	settings *entry.Settings
	store    *store
	stop     context.CancelFunc
	done     chan error
}

func start(t *testing.T, pause time.Duration) *instance {
	t.Helper()
	return run(t, &entry.Settings{
		ID: "entry-1", DataCentre: "a", Caller: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t),
		Peer: freeAddress(t), Store: "127.0.0.1:1", Grace: 2 * time.Second,
		Retries: retrybudget.Limits{Ratio: 0.2, Burst: 62},
	}, &store{server: backend(t, pause)}, nil)
}

type dial = func(ctx context.Context, network, address string) (net.Conn, error)

// run starts an instance that connects to servers with the given function, or by TCP.
func run(t *testing.T, settings *entry.Settings, store *store, server dial) *instance {
	t.Helper()
	return runWith(t, entry.Options{Settings: settings, Store: store, DialServer: server})
}

// runWith starts an instance with the given settings, store, dial function and clock.
func runWith(t *testing.T, opts entry.Options) *instance {
	t.Helper()
	i := &instance{settings: opts.Settings, store: opts.Store.(*store), done: make(chan error, 1)}
	opts.Protocol, opts.Logger = platform.Headers{}, slog.New(slog.DiscardHandler)
	opts.Reload = func() (*entry.Settings, error) { return opts.Settings, nil }
	d, err := entry.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	i.stop = cancel
	go func() { i.done <- d.Run(ctx) }()
	return i
}

// client opens a new connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

func (i *instance) get(t *testing.T, path string) (int, string) {
	t.Helper()
	return i.getWith(t, path, "")
}

// getWith is like get with the key of a workspace, unless that is "".
func (i *instance) getWith(t *testing.T, path, key string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+i.settings.Caller+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "r1")
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func (i *instance) ready() int {
	resp, err := client.Get("http://" + i.settings.Ready + "/-/readyz")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestServesFromTheFirstTableToTheStop(t *testing.T) {
	g := gomega.NewWithT(t)
	i := start(t, 0)
	g.Eventually(i.ready).WithTimeout(5*time.Second).Should(gomega.Equal(http.StatusServiceUnavailable), "no table yet")
	status, _ := i.get(t, "/a/")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	i.store.setTable(1, "/a/")
	g.Eventually(i.ready).WithTimeout(5 * time.Second).Should(gomega.Equal(http.StatusOK))
	status, body := i.get(t, "/a/")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("whole"))
	i.store.setTable(2, "/b/")
	g.Eventually(func() int { status, _ := i.get(t, "/b/"); return status }).WithTimeout(5 * time.Second).Should(gomega.Equal(http.StatusOK))
	status, _ = i.get(t, "/a/")
	g.Expect(status).To(gomega.Equal(http.StatusNotFound))
	i.stop()
	g.Eventually(i.done).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.BeNil()))
}

func TestStopFinishesRequestsAndServesWhileTheBalancerLags(t *testing.T) {
	g := gomega.NewWithT(t)
	i := start(t, 300*time.Millisecond)
	i.store.setTable(1, "/a/")
	g.Eventually(i.ready).WithTimeout(5 * time.Second).Should(gomega.Equal(http.StatusOK))
	inFlight := make(chan int, 1)
	go func() { status, _ := i.get(t, "/a/"); inFlight <- status }()
	time.Sleep(50 * time.Millisecond)
	i.stop()
	g.Eventually(i.ready).Should(gomega.Equal(http.StatusServiceUnavailable))
	status, _ := i.get(t, "/a/")
	g.Expect(status).To(gomega.Equal(http.StatusOK), "a new connection after the shutdown began")
	g.Expect(<-inFlight).To(gomega.Equal(http.StatusOK))
	g.Eventually(i.done).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.BeNil()))
}

func TestHangupDoesNotEndTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	i := start(t, 0)
	i.store.setTable(1, "/a/")
	g.Eventually(i.ready).WithTimeout(5 * time.Second).Should(gomega.Equal(http.StatusOK))
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(gomega.Succeed())
	status, _ := i.get(t, "/a/")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	i.stop()
	g.Eventually(i.done).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.BeNil()))
}

// TestMetricsAreDocumented guards against a served metric that is missing from
// docs/OPERATIONS.md.
func TestMetricsAreDocumented(t *testing.T) {
	g := gomega.NewWithT(t)
	i := start(t, 0)
	resp, err := client.Get("http://" + i.settings.Metrics + "/metrics")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, match := range regexp.MustCompile(`(?m)^# TYPE (\S+)`).FindAllSubmatch(text, -1) {
		g.Expect(string(page)).To(gomega.ContainSubstring(fmt.Sprintf("`%s`", match[1])))
	}
	i.stop()
	g.Eventually(i.done).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.BeNil()))
}

func TestInvalidSettingIsNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	set := &entry.Settings{ID: "x", DataCentre: "a", Caller: "here"}
	g.Expect(set.Check()).To(gomega.BeAssignableToTypeOf(&entry.SettingError{}))
	g.Expect(set.Check().Error()).To(gomega.ContainSubstring("caller address"))
}
