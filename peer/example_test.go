package peer_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

// Two instances open a session, and one calls the other over it.
func Example() {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	var meshes []*peer.Mesh
	var instances []storage.Instance
	for _, id := range []string{"entry-1", "entry-2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println(err)
			return
		}
		self := storage.Instance{ID: id, PeerAddress: listener.Addr().String()}
		mesh := peer.NewMesh(peer.Options{Fleet: "example", Self: self})
		defer mesh.Close()
		mesh.Handle(peerpb.Kind_KIND_STATUS, func(context.Context, string, []byte) (proto.Message, error) {
			return &peerpb.Hello{InstanceId: id}, nil
		})
		go func() { _ = mesh.Serve(ctx, listener) }()
		meshes, instances = append(meshes, mesh), append(instances, self)
	}
	for _, mesh := range meshes {
		mesh.SetTargets(instances)
	}
	resp := new(peerpb.Hello)
	err := meshes[0].Call(ctx, "entry-2", peerpb.Kind_KIND_STATUS, &peerpb.Hello{}, resp)
	for err != nil && ctx.Err() == nil { // No session yet.
		time.Sleep(time.Millisecond)
		err = meshes[0].Call(ctx, "entry-2", peerpb.Kind_KIND_STATUS, &peerpb.Hello{}, resp)
	}
	fmt.Println(resp.GetInstanceId(), err)
	// Output: entry-2 <nil>
}
