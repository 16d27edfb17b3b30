package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l
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

// order sends one request that may run at most once and reports whether it was served.
func (i *instance) order(t *testing.T, id string) bool {
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
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "whole"
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
