package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo returns the request with the caller's ID as Fleet. It fails if InstanceId
// is "fail".
func echo(_ context.Context, from string, payload []byte) (proto.Message, error) {
	message := &peerpb.Hello{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, err
	}
	if message.GetInstanceId() == "fail" {
		return nil, errors.New("asked to fail\xff")
	}
	message.Fleet = from
	return message, nil
}

func TestMeshKeepsOneSessionPerPairAndMatchesReplies(t *testing.T) {
	var meshes []*testMesh
	for i := range 5 {
		mesh := startMesh(t, fmt.Sprintf("entry-%d", i), nil)
		mesh.Handle(testKind, echo)
		meshes = append(meshes, mesh)
	}
	connectAll(meshes...)
	var ids []string
	for _, mesh := range meshes {
		ids = append(ids, mesh.Self())
	}
	for i, mesh := range meshes {
		others := append(append([]string(nil), ids[:i]...), ids[i+1:]...)
		awaitPeers(t, mesh, others...)
	}
	var wg sync.WaitGroup
	for _, from := range meshes {
		for _, to := range ids {
			wg.Go(func() { callMany(t, from, to) })
		}
	}
	wg.Wait()
}

// callMany checks the responses to 200 consecutive calls.
func callMany(t *testing.T, from *testMesh, to string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for i := range 200 {
		want := fmt.Sprintf("%s-%s-%d", from.Self(), to, i)
		resp := &peerpb.Hello{}
		err := from.Call(ctx, to, testKind, &peerpb.Hello{InstanceId: want}, resp)
		if err != nil || resp.GetInstanceId() != want || resp.GetFleet() != from.Self() {
			t.Errorf("call %s: got %v, error %v", want, resp, err)
			return
		}
	}
}

func TestMeshErrorsReportWhetherCallWasHandled(t *testing.T) {
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	entered := make(chan struct{})
	b.Handle(testKind, echo)
	b.Handle(peerpb.Kind_KIND_STATUS, func(ctx context.Context, _ string, _ []byte) (proto.Message, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var unreachable *UnreachableError
	if err := a.Call(ctx, "b", testKind, &peerpb.Hello{}, &peerpb.Hello{}); !errors.As(err, &unreachable) {
		t.Fatalf("call without session: %v", err)
	}
	connectAll(a, b)
	awaitPeers(t, a, "b")
	var remote *RemoteError
	err := a.Call(ctx, "b", testKind, &peerpb.Hello{InstanceId: "fail"}, &peerpb.Hello{})
	if !errors.As(err, &remote) || !strings.Contains(remote.Message, "asked to fail") {
		t.Fatalf("failing handler: %v", err)
	}
	if err := a.Call(ctx, "b", peerpb.Kind_KIND_POISON, &peerpb.Hello{}, &peerpb.Hello{}); !errors.As(err, &remote) {
		t.Fatalf("missing handler: %v", err)
	}
	result := make(chan error, 1)
	go func() { result <- a.Call(ctx, "b", peerpb.Kind_KIND_STATUS, &peerpb.Hello{}, &peerpb.Hello{}) }()
	<-entered
	b.Close()
	var lost *LostError
	if err := <-result; !errors.As(err, &lost) {
		t.Fatalf("call to a closed peer: %v", err)
	}
	awaitPeers(t, a)
}

func TestMeshDetectsFrozenPeerAndReconnects(t *testing.T) {
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	b.Handle(testKind, echo)
	events := a.Subscribe(16)
	connectAll(a, b)
	awaitPeers(t, a, "b")
	awaitPeers(t, b, "a")
	thaw := b.gate.freeze()
	defer thaw()
	err := a.Call(context.Background(), "b", testKind, &peerpb.Hello{}, &peerpb.Hello{})
	var lost *LostError
	var heartbeatTimeout *HeartbeatTimeoutError
	if !errors.As(err, &lost) || !errors.As(err, &heartbeatTimeout) {
		t.Fatalf("call to a frozen peer: %v", err)
	}
	awaitPeers(t, a)
	thaw()
	awaitPeers(t, a, "b")
	for i, up := range []bool{true, false, true} {
		if event := <-events; event.Up != up || event.InstanceID != "b" {
			t.Fatalf("event %d: %+v", i, event)
		}
	}
}

func TestMeshBoundsQueueAndHandlers(t *testing.T) {
	a := startMesh(t, "a", func(o *Options) { o.QueueSize = 4 })
	b := startMesh(t, "b", func(o *Options) { o.MaxHandlers = 1 })
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	b.Handle(testKind, func(context.Context, string, []byte) (proto.Message, error) {
		select {
		case entered <- struct{}{}:
		default:
		}
		<-release
		return nil, nil
	})
	connectAll(a, b)
	awaitPeers(t, a, "b")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	first := make(chan error, 1)
	go func() { first <- a.Call(ctx, "b", testKind, &peerpb.Hello{}, &peerpb.Hello{}) }()
	<-entered
	var unreachable *UnreachableError
	if err := a.Call(ctx, "b", testKind, &peerpb.Hello{}, &peerpb.Hello{}); !errors.As(err, &unreachable) {
		t.Fatalf("call above MaxHandlers: %v", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Fatalf("first call: %v", err)
	}
	thaw := a.gate.freeze()
	defer thaw()
	sendLarge := func() error {
		return a.Send("b", testKind, &peerpb.Hello{InstanceId: strings.Repeat("x", 1000)})
	}
	gomega.NewWithT(t).Eventually(sendLarge, waitTimeout, time.Microsecond).Should(gomega.BeAssignableToTypeOf(unreachable))
	if a.Stats().Dropped == 0 {
		t.Fatal("no message counted as dropped")
	}
}

func TestMeshRefusesOtherFleetVersionAndIdentity(t *testing.T) {
	a := startMesh(t, "a", nil)
	tests := []struct {
		name string
		peer *testMesh
		want string
		err  any
	}{
		{"version", startMesh(t, "b", func(o *Options) { o.version = ProtocolVersion + 1 }), "a", new(*VersionError)},
		{"fleet", startMesh(t, "c", func(o *Options) { o.Fleet = "other" }), "a", new(*FleetError)},
		{"identity", startMesh(t, "d", nil), "another", new(*IdentityError)},
		{"self", startMesh(t, "a", nil), "a", new(*IdentityError)},
	}
	for _, test := range tests {
		_, err := test.peer.dialSession(context.Background(), test.want, a.instance.PeerAddress, 0)
		if err == nil || !errors.As(err, test.err) {
			t.Errorf("%s: got %v", test.name, err)
		}
	}
}

func TestMeshSurvivesGarbage(t *testing.T) {
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	b.Handle(testKind, echo)
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\xff\xff", ""} {
		conn, err := net.Dial("tcp", b.instance.PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(garbage))
		conn.Close()
	}
	gomega.NewWithT(t).Eventually(func() uint64 { return b.Stats().Refused }, waitTimeout).Should(gomega.BeEquivalentTo(3))
	connectAll(a, b)
	awaitPeers(t, a, "b")
	callMany(t, a, "b")
}

// TestMeshConvergesWhenBothDialAtOnce closes the session of a pair repeatedly.
// Both sides then redial simultaneously and must agree on one session that
// carries calls.
func TestMeshConvergesWhenBothDialAtOnce(t *testing.T) {
	a := startMesh(t, "a", func(o *Options) { o.RedialMin = time.Microsecond })
	b := startMesh(t, "b", func(o *Options) { o.RedialMin = time.Microsecond })
	a.Handle(testKind, echo)
	b.Handle(testKind, echo)
	connectAll(a, b)
	for range 20 {
		awaitPeers(t, a, "b")
		awaitPeers(t, b, "a")
		gomega.NewWithT(t).Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			return errors.Join(
				a.Call(ctx, "b", testKind, &peerpb.Hello{}, &peerpb.Hello{}),
				b.Call(ctx, "a", testKind, &peerpb.Hello{}, &peerpb.Hello{}))
		}, waitTimeout, time.Millisecond).Should(gomega.Succeed())
		if s, err := a.session("b"); err == nil {
			s.conn.Close()
		}
	}
}

func TestMeshCountsTrafficByKind(t *testing.T) {
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	b.Handle(testKind, echo)
	connectAll(a, b)
	awaitPeers(t, a, "b")
	callMany(t, a, "b")
	for _, kind := range a.Stats().Kinds {
		if kind.Kind == testKind && kind.Sent.Messages == 200 && kind.Received.Messages == 200 &&
			kind.Sent.Bytes > 200*frameHeaderBytes {
			return
		}
	}
	t.Fatalf("got %+v", a.Stats())
}

func TestSimultaneousDialIsDistinguishedFromRedial(t *testing.T) {
	mesh := NewMesh(Options{Fleet: "test", Self: storage.Instance{ID: "m"}})
	defer mesh.Close()
	dialling := &target{dialing: true}
	tests := []struct {
		name     string
		previous *session
		target   *target
		peer     string
		last     uint64
		want     bool
	}{
		{"first session", nil, nil, "z", 0, false},
		{"both dial, lower ID here", nil, dialling, "z", 0, true},
		{"both dial, lower ID there", nil, dialling, "a", 0, false},
		{"peer did not know our session", &session{id: 7, dialed: true}, nil, "a", 0, true},
		{"peer knew an older session", &session{id: 7, dialed: true}, nil, "a", 6, true},
		{"peer lost our session", &session{id: 7, dialed: true}, nil, "a", 7, false},
		{"peer lost its own session", &session{id: 7}, nil, "a", 0, false},
	}
	for _, test := range tests {
		if got := mesh.isSimultaneousDialLocked(test.previous, test.target, test.peer, test.last); got != test.want {
			t.Errorf("%s: got %v", test.name, got)
		}
	}
}

// TestHeartbeatTimeoutFollowsSlowerPeer connects a mesh with a long heartbeat
// interval to one with a short interval, which must not time out the other
// between its heartbeats.
func TestHeartbeatTimeoutFollowsSlowerPeer(t *testing.T) {
	slow := startMesh(t, "a", func(o *Options) { o.Heartbeat = time.Second })
	fast := startMesh(t, "b", func(o *Options) { o.Heartbeat = 50 * time.Millisecond })
	slow.Handle(testKind, echo)
	connectAll(slow, fast)
	awaitPeers(t, fast, "a")
	gomega.NewWithT(t).Eventually(func() uint64 {
		for _, kind := range slow.Stats().Kinds {
			if kind.Kind == peerpb.Kind_KIND_UNSPECIFIED {
				return kind.Sent.Messages
			}
		}
		return 0
	}, waitTimeout).Should(gomega.BeNumerically(">=", 2))
	if lost := fast.Stats().Lost; lost > 0 {
		t.Fatalf("%d sessions lost", lost)
	}
	mesh := NewMesh(Options{Fleet: "test", Self: storage.Instance{ID: "m"}})
	defer mesh.Close()
	for i := range 100 {
		mesh.sessions[fmt.Sprint(i)] = &session{}
	}
	if got := mesh.heartbeatInterval(); got != 100*heartbeatPerSession {
		t.Fatalf("heartbeat of 100 sessions: %v", got)
	}
}
