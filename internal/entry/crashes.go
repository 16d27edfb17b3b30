package entry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/quarantine"
	"github.com/pomelolock/pomelolock/readings"
)

const (
	// crashLosses is the number of servers that a request has to crash before it
	// is refused. Callers repeat requests within a second; with a lower number, a
	// request would be refused that met two servers which crashed for other
	// reasons.
	crashLosses = 3
	// crashDetectionTime is the time after which a crashed server is known to be down.
	// Status checks and the datagrams that report them take less.
	crashDetectionTime = 500 * time.Millisecond
	// crashShareInterval is the time between two messages with all quarantined
	// requests. It is short enough for a restarted instance to receive them before
	// the platform sends it callers.
	crashShareInterval = time.Second
)

// crashes quarantines requests that crash servers. It implements
// [forward.Quarantine].
type crashes struct {
	*quarantine.Quarantine
	board *readings.Board
	// listed reports whether a server accepts new requests.
	listed func(server string) bool
}

// ReportLoss implements [forward.Quarantine]. It counts a connection that was lost
// while a request ran only if the server is down or no longer listed after
// crashDetectionTime, since live servers reset connections too.
func (c *crashes) ReportLoss(fp [32]byte, server string) {
	time.AfterFunc(crashDetectionTime, func() {
		if !c.listed(server) || c.board.Load(server, time.Now()).Health == readings.HealthUnreachable {
			c.Quarantine.ReportLoss(fp, server)
		}
	})
}

func (d *Daemon) wireCrashes() {
	d.crashes = &crashes{
		Quarantine: quarantine.New(quarantine.Options{
			Messenger: &messenger{exchange: d.exchange, self: d.self.ID, logger: d.logger.With("part", "quarantine")},
			Logger:    d.logger.With("part", "quarantine"),
			Losses:    crashLosses, ShareEvery: crashShareInterval,
		}),
		board:  d.board,
		listed: d.directory.Listed,
	}
}

// messenger sends the messages of the quarantine in gossip datagrams. It implements
// [quarantine.Messenger].
type messenger struct {
	exchange *gossip.Exchange
	self     string
	logger   *slog.Logger
}

// Connected implements [quarantine.Messenger].
func (m *messenger) Connected() []string {
	return slices.DeleteFunc(m.exchange.Alive(""), func(id string) bool { return id == m.self })
}

// Send implements [quarantine.Messenger].
func (m *messenger) Send(to string, kind peerpb.Kind, msg proto.Message) error {
	payload, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	return m.exchange.SendMessage(to, uint32(kind), payload)
}

// Handle implements [quarantine.Messenger]. Only the kind of the last call is handled.
func (m *messenger) Handle(kind peerpb.Kind, h peer.Handler) {
	m.exchange.HandleMessages(func(from string, got uint32, payload []byte) {
		if got != uint32(kind) {
			m.logger.Warn("message of an unknown kind", "from", from, "kind", got)
			return
		}
		if _, err := h(context.Background(), from, payload); err != nil {
			m.logger.Warn("handling the message failed", "from", from, "error", err)
		}
	})
}

// Subscribe implements [quarantine.Messenger]. It returns nil, since datagrams have no
// sessions and hence no events.
func (m *messenger) Subscribe(int) <-chan peer.Event { return nil }
