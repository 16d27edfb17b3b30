package entry

import (
	"log/slog"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// Kinds of messages that are sent in gossip datagrams only. The numbers are not used by
// [peerpb.Kind].
const (
	kindUnitRequest   peerpb.Kind = 70
	kindUnitGrant     peerpb.Kind = 71
	kindBucketRequest peerpb.Kind = 72
	kindBucketReply   peerpb.Kind = 73
	kindLoan          peerpb.Kind = 74
)

// messages passes the messages of other instances to the handlers of their kinds.
type messages struct {
	handlers map[peerpb.Kind]func(from string, payload []byte)
	logger   *slog.Logger
}

func newMessages(logger *slog.Logger) *messages {
	return &messages{handlers: make(map[peerpb.Kind]func(string, []byte)), logger: logger}
}

// handle sets the handler of a kind. It must be called before messages arrive. The handler
// must not block.
func (m *messages) handle(kind peerpb.Kind, h func(from string, payload []byte)) {
	m.handlers[kind] = h
}

// receive passes a message to the handler of its kind.
func (m *messages) receive(from string, kind uint32, payload []byte) {
	h := m.handlers[peerpb.Kind(kind)]
	if h == nil {
		m.logger.Warn("message of an unknown kind", "from", from, "kind", kind)
		return
	}
	h(from, payload)
}
