package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/platform"
)

// benchMeshes starts n connected meshes with default options.
func benchMeshes(b *testing.B, n int) []*Mesh {
	b.Helper()
	var meshes []*Mesh
	var all []platform.Instance
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		self := platform.Instance{ID: fmt.Sprintf("entry-%03d", i), PeerAddress: listener.Addr().String()}
		mesh := NewMesh(Options{Fleet: "bench", Self: self})
		mesh.Handle(testKind, echo)
		go func() { _ = mesh.Serve(context.Background(), listener) }()
		b.Cleanup(mesh.Close)
		meshes, all = append(meshes, mesh), append(all, self)
	}
	for _, mesh := range meshes {
		mesh.SetTargets(all)
	}
	for _, mesh := range meshes {
		for len(mesh.Connected()) < n-1 {
			time.Sleep(time.Millisecond)
		}
	}
	return meshes
}

func BenchmarkCall(b *testing.B) {
	meshes := benchMeshes(b, 2)
	req := &peerpb.Hello{InstanceId: "x"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		resp := &peerpb.Hello{}
		for pb.Next() {
			if err := meshes[0].Call(context.Background(), "entry-001", testKind, req, resp); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// BenchmarkIdle reports the bytes that one idle mesh sends in a second, without
// TCP and IP headers, and the memory and goroutines of one end of a session.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{6, 18, 36} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			memory, goroutines := memoryInUse(), runtime.NumGoroutine()
			meshes := benchMeshes(b, n)
			ends := float64(n * (n - 1))
			b.ReportMetric(float64(memoryInUse()-memory)/ends, "B/session")
			b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/ends, "goroutines/session")
			time.Sleep(time.Second)
			before, start := meshes[0].Stats(), time.Now()
			time.Sleep(3 * time.Second)
			after, seconds := meshes[0].Stats(), time.Since(start).Seconds()
			b.ReportMetric(float64(after.WireSent-before.WireSent)/seconds, "sent-B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
