package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	testKind = peerpb.Kind_KIND_CLAIM
	// patience bounds waits whose end is certain.
	patience = 30 * time.Second
)

// gate can freeze both directions of all its connections, as a stopped
// process does, without closing them.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
}

func newGate() *gate {
	open := make(chan struct{})
	close(open)
	return &gate{frozen: open}
}

func (g *gate) freeze() (thaw func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frozen := make(chan struct{})
	g.frozen = frozen
	return sync.OnceFunc(func() { close(frozen) })
}

func (g *gate) pass() {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	<-frozen
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.pass()
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.gate.pass()
	return c.Conn.Write(p)
}

func (c *gatedConn) Close() error {
	c.gate.pass()
	return c.Conn.Close()
}

type gatedListener struct {
	net.Listener
	gate *gate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{conn, l.gate}, nil
}

type testMesh struct {
	*Mesh
	instance storage.Instance
	gate     *gate
}

func startMesh(t *testing.T, id string, change func(*Options)) *testMesh {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := newGate()
	self := storage.Instance{ID: id, DataCentre: "dc-1", PeerAddress: listener.Addr().String()}
	opts := Options{
		Fleet: "test", Self: self, Heartbeat: 100 * time.Millisecond,
		RedialMin: 5 * time.Millisecond, RedialMax: 50 * time.Millisecond,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialTCP(ctx, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{conn, gate}, nil
		},
	}
	if change != nil {
		change(&opts)
	}
	mesh := NewMesh(opts)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := mesh.Serve(context.Background(), &gatedListener{listener, gate}); err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	t.Cleanup(func() {
		mesh.Close()
		wg.Wait()
	})
	return &testMesh{Mesh: mesh, instance: self, gate: gate}
}

func join(meshes ...*testMesh) {
	var all []storage.Instance
	for _, mesh := range meshes {
		all = append(all, mesh.instance)
	}
	for _, mesh := range meshes {
		mesh.SetTargets(all)
	}
}

func awaitPeers(t *testing.T, mesh *testMesh, ids ...string) {
	t.Helper()
	g := gomega.NewWithT(t)
	if len(ids) == 0 {
		g.Eventually(mesh.Connected, patience).Should(gomega.BeEmpty())
		return
	}
	g.Eventually(mesh.Connected, patience).Should(gomega.Equal(ids))
}
