package entry

import (
	"context"
	"encoding/hex"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/forward"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/membership"
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
	// crashDetectionTime is the time in which status checks and the datagrams that
	// report them usually show that a server is down. silenceDetectionTime is that time for
	// a server that only fell silent: links that are lost look the same, until peers tell that
	// the server answers them. crashJudgeTimeout is the time after which an attempt is dropped
	// that no later check has judged.
	crashDetectionTime   = 500 * time.Millisecond
	silenceDetectionTime = time.Second
	crashJudgeTimeout    = 5 * time.Second
	// maxCut bounds the attempts that have ended and wait to be judged.
	maxCut = 4096
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
	// ended reports whether a process of a server has no entry in the store any more, replaced
	// whether a later process of the server has one.
	ended, replaced func(server string, started int64) bool
	logger          *slog.Logger
	// cut is the number of attempts that have ended and wait to be judged.
	cut atomic.Int64
}

// Sent implements [forward.Quarantine]. How an attempt ends says little: live servers reset
// connections, too, and those that are down may leave them silent. It is a loss if the server turns
// out to have gone down while it was open.
func (c *crashes) Sent(fp [32]byte, sent forward.SentAttempt) forward.OpenAttempt {
	a := &openAttempt{crashes: c, fp: fp, SentAttempt: sent}
	a.timer = time.AfterFunc(crashDetectionTime, a.look)
	return a
}

// openAttempt is an attempt whose request a server may have run, until its fate is known. It
// implements [forward.OpenAttempt].
type openAttempt struct {
	crashes *crashes
	fp      [32]byte
	forward.SentAttempt

	mu    sync.Mutex
	timer *time.Timer
	// cutAt is when the attempt ended without a whole response, zero before; broke is set if
	// its connection broke then.
	cutAt time.Time
	broke bool
	// settled is set once there is no more to find out.
	settled bool
}

// Settled implements [forward.OpenAttempt].
func (a *openAttempt) Settled() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled = true
	a.timer.Stop()
}

// Cut implements [forward.OpenAttempt].
func (a *openAttempt) Cut(broke bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled {
		return
	}
	if a.crashes.cut.Add(1) > maxCut {
		a.crashes.cut.Add(-1)
		a.settled = true
		a.timer.Stop()
		return
	}
	a.cutAt, a.broke = time.Now(), broke
	a.timer.Reset(crashDetectionTime)
}

// look judges the attempt, again and again until the fate of its server is known.
func (a *openAttempt) look() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled {
		return
	}
	now := time.Now()
	verdict := a.judgeLocked(now)
	if verdict == fateUnknown {
		a.timer.Reset(crashDetectionTime)
		return
	}
	a.settled = true
	if !a.cutAt.IsZero() {
		a.crashes.cut.Add(-1)
	}
	a.recordLocked(verdict, now)
}

// fate is what became of the server of an attempt.
type fate int

const (
	fateUnknown fate = iota
	// fateAlive means that the process was up when the attempt ended, fateDown that it went down
	// before.
	fateAlive
	fateDown
	// fateUnclear means that nothing has shown it in time.
	fateUnclear
)

// judgeLocked returns the fate of the server, as far as it is known by now.
func (a *openAttempt) judgeLocked(now time.Time) fate {
	c := a.crashes
	load, links := c.board.Load(a.Server, now), c.board.Links(now)
	if c.replaced(a.Server, a.Started) {
		return fateDown
	}
	// A server that does not answer is down, or out of reach until peers tell that it answers them.
	silent := !load.DownSince.IsZero() && now.Sub(later(a.At, load.DownSince)) >= silenceDetectionTime
	if a.cutAt.IsZero() {
		if silent && !links.Lost && links.AnsweredAt.After(later(a.At, load.DownSince)) {
			return fateDown
		}
		return fateUnknown
	}
	waited := now.Sub(a.cutAt)
	checked := load.HealthAt.After(a.cutAt)
	// Until a server answers, the fault may lie in this instance's own links.
	linked := !links.Lost && (waited >= crashJudgeTimeout || links.AnsweredAt.After(a.cutAt))
	unreachable := checked && load.Health == readings.HealthUnreachable && linked
	switch gone := c.ended(a.Server, a.Started); {
	case a.broke && (gone || unreachable), !a.broke && silent && (gone || unreachable):
		return fateDown
	case a.broke && checked && load.Health != readings.HealthUnreachable, !a.broke && load.AliveAt.After(a.cutAt) && waited >= silenceDetectionTime:
		return fateAlive
	case waited >= crashJudgeTimeout:
		return fateUnclear
	}
	return fateUnknown
}

// recordLocked reports the loss of an attempt at a server that went down. The first check without an
// answer is nearer to that moment than the end of an attempt that met silence.
func (a *openAttempt) recordLocked(verdict fate, now time.Time) {
	c := a.crashes
	load := c.board.Load(a.Server, now)
	if verdict == fateUnclear {
		c.logger.Info("loss not judged", "request", a.Request, "server", a.Server, "links_lost", c.board.LinksLost(), "checked", load.HealthAt.After(a.cutAt))
	}
	if verdict != fateDown {
		return
	}
	ended := a.cutAt
	if ended.IsZero() {
		ended = now
	}
	loss := quarantine.Loss{Server: a.Server, Started: a.Started, Sent: a.At, At: ended, Ended: ended}
	if since := load.DownSince; !a.broke && !since.IsZero() && since.Before(ended) {
		loss.At = later(since, a.At)
	}
	c.logger.Info("attempt lost with its server", "request", a.Request, "fingerprint", hex.EncodeToString(a.fp[:8]), "server", a.Server, "started", a.Started,
		"broke", a.broke, "open", a.cutAt.IsZero(), "sent_ago", now.Sub(a.At), "down_for", now.Sub(loss.At))
	c.ReportLoss(a.fp, loss)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (d *Daemon) wireCrashes() {
	d.crashes = &crashes{
		Quarantine: quarantine.New(quarantine.Options{
			Messenger: &messenger{exchange: d.exchange, messages: d.messages, logger: d.logger.With("part", "quarantine")},
			Logger:    d.logger.With("part", "quarantine"),
			Losses:    crashLosses, ShareEvery: crashShareInterval,
			Forwards: d.exchange.Forwards, Instances: d.sharers,
		}),
		board: d.board,
		ended: d.directory.Ended, replaced: d.directory.Replaced,
		logger: d.logger.With("part", "quarantine"),
	}
}

// archiveCrashes keeps the requests that crash servers in the archive. One instance saves what
// those that confirmed them have not.
func (d *Daemon) archiveCrashes(ctx context.Context) error {
	if d.opts.Archive == nil {
		return nil
	}
	return d.crashes.RunArchive(ctx, quarantine.ArchiveOptions{
		Archive: d.opts.Archive, FirstStart: d.opts.Settings.FirstStart, Logger: d.logger.With("part", "quarantine"),
		Keeper: func() bool {
			ids := d.checkers("")
			return len(ids) > 0 && membership.Ranked("quarantine/archive", ids)[0] == d.self.ID
		},
	})
}

// messenger sends the messages of the quarantine in gossip datagrams. It implements
// [quarantine.Messenger].
type messenger struct {
	exchange *gossip.Exchange
	messages *messages
	logger   *slog.Logger
}

// Connected implements [quarantine.Messenger].
func (m *messenger) Connected() []string {
	return m.exchange.MessageTargets()
}

// Send implements [quarantine.Messenger].
func (m *messenger) Send(to string, kind peerpb.Kind, msg proto.Message) error {
	payload, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	return m.exchange.SendMessage(to, uint32(kind), payload)
}

// Handle implements [quarantine.Messenger].
func (m *messenger) Handle(kind peerpb.Kind, h peer.Handler) {
	m.messages.handle(kind, func(from string, payload []byte) {
		if _, err := h(context.Background(), from, payload); err != nil {
			m.logger.Warn("handling the message failed", "from", from, "error", err)
		}
	})
}

// Subscribe implements [quarantine.Messenger]. It returns nil, since datagrams have no
// sessions and hence no events.
func (m *messenger) Subscribe(int) <-chan peer.Event { return nil }
