package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

// benchMeshes starts n connected meshes with default options.
func benchMeshes(b *testing.B, n int) []*Mesh {
	b.Helper()
	var meshes []*Mesh
	var all []storage.Instance
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		self := storage.Instance{ID: fmt.Sprintf("entry-%03d", i), PeerAddress: listener.Addr().String()}
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

// BenchmarkIdle reports the bytes per second that an idle mesh sends, without TCP
// and IP headers, its CPU time per second, and the memory per session and side.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{4, 9, 18, 36} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			baseline := memoryInUse()
			meshes := benchMeshes(b, n)
			time.Sleep(time.Second)
			before, usedBefore, start := meshes[0].Stats(), processorTime(), time.Now()
			time.Sleep(3 * time.Second)
			after, used, seconds := meshes[0].Stats(), processorTime()-usedBefore, time.Since(start).Seconds()
			sessionEnds := float64(n * (n - 1))
			b.ReportMetric(float64(after.WireSent-before.WireSent)/seconds, "sent-B/s")
			b.ReportMetric(float64(used.Microseconds())/seconds/float64(n), "cpu-us/s")
			b.ReportMetric((memoryInUse()-baseline)/sessionEnds, "B/session")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// memoryInUse returns the bytes of heap objects and stacks in use.
func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// processorTime returns the CPU time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
