package membership_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
)

// patience bounds waits whose end is certain.
const patience = 30 * time.Second

// freezer stops the connections of one instance without closing them, as
// SIGSTOP does.
type freezer struct {
	mu     sync.Mutex
	frozen chan struct{}
}

func (f *freezer) freeze() (thaw func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	frozen := make(chan struct{})
	f.frozen = frozen
	return sync.OnceFunc(func() { close(frozen) })
}

func (f *freezer) pass() {
	f.mu.Lock()
	frozen := f.frozen
	f.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

type frozenConn struct {
	net.Conn
	freezer *freezer
}

func (c *frozenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.freezer.pass()
	return n, err
}

func (c *frozenConn) Write(p []byte) (int, error) {
	c.freezer.pass()
	return c.Conn.Write(p)
}

func (c *frozenConn) Close() error {
	c.freezer.pass()
	return c.Conn.Close()
}

type frozenListener struct {
	net.Listener
	freezer *freezer
}

func (l *frozenListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &frozenConn{conn, l.freezer}, nil
}

// startReal runs a mesh with a tracker on loopback.
func startReal(t *testing.T, id string, list storage.InstanceList) (*membership.Tracker, *freezer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop := &freezer{}
	self := instance(id)
	self.PeerAddress = listener.Addr().String()
	mesh := peer.NewMesh(peer.Options{
		Fleet: "test", Self: self,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &frozenConn{conn, stop}, nil
		},
	})
	tracker := membership.NewTracker(membership.Options{
		Self: self, List: list, Messenger: mesh, Targets: mesh, PollEvery: 100 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = mesh.Serve(ctx, &frozenListener{listener, stop}) })
	wg.Go(func() { _ = tracker.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		mesh.Close()
		wg.Wait()
	})
	return tracker, stop
}

func TestFrozenInstanceLeavesViewAndReturns(t *testing.T) {
	list := memory.New()
	ids := []string{"a", "b", "c"}
	trackers := make(map[string]*membership.Tracker)
	freezers := make(map[string]*freezer)
	for _, id := range ids {
		trackers[id], freezers[id] = startReal(t, id, list)
	}
	view := func(id string) func() []string {
		f := &fleet{trackers: trackers}
		return func() []string { return f.ids(id) }
	}
	g := gomega.NewWithT(t)
	for _, id := range ids {
		g.Eventually(view(id), patience).Should(gomega.Equal(ids))
	}
	thaw := freezers["c"].freeze()
	defer thaw()
	g.Eventually(view("a"), patience).Should(gomega.Equal([]string{"a", "b"}))
	trackers["a"].ReportLeavingServer("10.0.0.1:80")
	thaw()
	g.Eventually(view("a"), patience).Should(gomega.Equal(ids))
	g.Eventually(func() bool { return trackers["c"].LeavingServer("10.0.0.1:80") }, patience).Should(gomega.BeTrue())
}
