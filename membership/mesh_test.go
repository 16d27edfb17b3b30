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

// eventuallyTimeout bounds the wait for conditions that must eventually hold.
const eventuallyTimeout = 30 * time.Second

// freezer blocks the connections of one instance without closing them, as
// SIGSTOP on its process does.
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

func (f *freezer) waitWhileFrozen() {
	f.mu.Lock()
	frozen := f.frozen
	f.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

type freezableConn struct {
	net.Conn
	freezer *freezer
}

func (c *freezableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.freezer.waitWhileFrozen()
	return n, err
}

func (c *freezableConn) Write(p []byte) (int, error) {
	c.freezer.waitWhileFrozen()
	return c.Conn.Write(p)
}

func (c *freezableConn) Close() error {
	c.freezer.waitWhileFrozen()
	return c.Conn.Close()
}

type freezableListener struct {
	net.Listener
	freezer *freezer
}

func (l *freezableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &freezableConn{conn, l.freezer}, nil
}

// startMeshTracker runs a tracker over a peer mesh on the loopback interface. The
// returned freezer controls all connections of the instance.
func startMeshTracker(t *testing.T, id string, list storage.InstanceList) (*membership.Tracker, *freezer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connFreezer := &freezer{}
	self := instance(id)
	self.PeerAddress = listener.Addr().String()
	mesh := peer.NewMesh(peer.Options{
		Fleet: "test", Self: self,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &freezableConn{conn, connFreezer}, nil
		},
	})
	tracker := membership.NewTracker(membership.Options{
		Self: self, List: list, Messenger: mesh, Targets: mesh, PollEvery: 100 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = mesh.Serve(ctx, &freezableListener{listener, connFreezer}) })
	wg.Go(func() { _ = tracker.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		mesh.Close()
		wg.Wait()
	})
	return tracker, connFreezer
}

// A process that is stopped keeps its connections open, so peers must detect it by
// its silence. Once it continues, it must rejoin the view and receive the notices
// that it missed.
func TestFrozenInstanceLeavesViewAndReturns(t *testing.T) {
	list := memory.New()
	ids := []string{"a", "b", "c"}
	trackers := make(map[string]*membership.Tracker)
	freezers := make(map[string]*freezer)
	for _, id := range ids {
		trackers[id], freezers[id] = startMeshTracker(t, id, list)
	}
	view := func(id string) func() []string {
		f := &fleet{trackers: trackers}
		return func() []string { return f.ids(id) }
	}
	g := gomega.NewWithT(t)
	for _, id := range ids {
		g.Eventually(view(id), eventuallyTimeout).Should(gomega.Equal(ids))
	}
	thaw := freezers["c"].freeze()
	defer thaw()
	g.Eventually(view("a"), eventuallyTimeout).Should(gomega.Equal([]string{"a", "b"}))
	trackers["a"].ReportLeavingServer("10.0.0.1:80")
	thaw()
	g.Eventually(view("a"), eventuallyTimeout).Should(gomega.Equal(ids))
	g.Eventually(func() bool { return trackers["c"].LeavingServer("10.0.0.1:80") }, eventuallyTimeout).Should(gomega.BeTrue())
}
