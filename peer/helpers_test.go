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
	// waitTimeout bounds waits for conditions that are certain to occur.
	waitTimeout = 30 * time.Second
)

// gate can block both directions of all its connections without closing them, as
// a suspended process does.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
}

func newGate() *gate {
	open := make(chan struct{})
	close(open)
	return &gate{frozen: open}
}

// freeze blocks the gate until thaw is called.
func (g *gate) freeze() (thaw func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frozen := make(chan struct{})
	g.frozen = frozen
	return sync.OnceFunc(func() { close(frozen) })
}

// waitOpen blocks while the gate is frozen.
func (g *gate) waitOpen() {
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
	c.gate.waitOpen()
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.gate.waitOpen()
	return c.Conn.Write(p)
}

func (c *gatedConn) Close() error {
	c.gate.waitOpen()
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

// startMesh starts a mesh on a local port with short intervals and closes it at
// the end of the test. change may modify the options.
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

// connectAll makes each mesh a target of all others.
func connectAll(meshes ...*testMesh) {
	var all []storage.Instance
	for _, mesh := range meshes {
		all = append(all, mesh.instance)
	}
	for _, mesh := range meshes {
		mesh.SetTargets(all)
	}
}

// awaitPeers waits until the mesh is connected to exactly these peers.
func awaitPeers(t *testing.T, mesh *testMesh, ids ...string) {
	t.Helper()
	g := gomega.NewWithT(t)
	if len(ids) == 0 {
		g.Eventually(mesh.Connected, waitTimeout).Should(gomega.BeEmpty())
		return
	}
	g.Eventually(mesh.Connected, waitTimeout).Should(gomega.Equal(ids))
}
