package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// ProtocolVersion is the version of the peer protocol; sessions between
// different versions are refused with [VersionError].
const ProtocolVersion = 1

// Handler serves one message of a kind. The payload is the encoded message.
// The returned message answers a call and is dropped for a one-way message.
// Handlers run concurrently and must not block past ctx.
type Handler func(ctx context.Context, from string, payload []byte) (proto.Message, error)

// Event tells that a session to a peer opened or closed.
type Event struct {
	InstanceID string
	DataCentre string
	Up         bool
}

// Messenger sends typed messages to peers by instance ID.
type Messenger interface {
	// Self returns the instance ID of the local instance.
	Self() string
	// Call sends req and decodes the answer into resp. It fails with
	// [UnreachableError] if the message was certainly not handled, with
	// [LostError] if it may have been handled, and with [RemoteError] if
	// the handler failed. A call to Self runs the local handler.
	Call(ctx context.Context, to string, kind peerpb.Kind, req, resp proto.Message) error
	// Send queues a one-way message and never blocks. It fails with
	// [UnreachableError] if there is no session or its queue is full.
	Send(to string, kind peerpb.Kind, msg proto.Message) error
	// Connected returns the IDs of peers with an open session, sorted,
	// without Self.
	Connected() []string
	// Handle registers the handler of a kind. It must be called before the
	// messenger starts.
	Handle(kind peerpb.Kind, h Handler)
	// Subscribe returns a channel of session events. Events are dropped
	// when the channel's buffer of size is full; Connected stays right.
	Subscribe(size int) <-chan Event
}
