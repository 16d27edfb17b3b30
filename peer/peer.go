package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// ProtocolVersion is the version of the peer protocol. Sessions between
// different versions fail with [VersionError].
const ProtocolVersion = 1

// Handler handles one message of a kind. from is the sender's instance ID and
// payload the encoded message. The returned message is the response to a call;
// for a one-way message it is dropped. Handlers run concurrently and must return
// when ctx ends.
type Handler func(ctx context.Context, from string, payload []byte) (proto.Message, error)

// Event reports that the session with a peer opened or closed.
type Event struct {
	InstanceID string
	DataCentre string
	Up         bool
}

// Messenger sends typed messages to peers by instance ID.
type Messenger interface {
	// Self returns the instance ID of the local instance.
	Self() string
	// Call sends req and decodes the response into resp. It fails with
	// [UnreachableError] if the message was not handled, with [LostError]
	// if it may have been handled, and with [RemoteError] if the handler
	// failed. A call to Self runs the local handler.
	Call(ctx context.Context, to string, kind peerpb.Kind, req, resp proto.Message) error
	// Send queues a one-way message and never blocks. It fails with
	// [UnreachableError] if there is no session or its queue is full.
	Send(to string, kind peerpb.Kind, msg proto.Message) error
	// Connected returns the sorted instance IDs of the peers with an open
	// session. Self is not among them.
	Connected() []string
	// Handle registers the handler of a kind and replaces an earlier one.
	// It must be called before the messenger starts.
	Handle(kind peerpb.Kind, h Handler)
	// Subscribe returns a channel of session events with a buffer of size
	// events. Events are dropped while the buffer is full; Connected is
	// always up to date.
	Subscribe(size int) <-chan Event
}
