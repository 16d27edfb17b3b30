package slot

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

const (
	// ackInterval is the minimum time between two grants to a holder that
	// only acknowledge an Ask.
	ackInterval = leaseTTL / 8
	// gatherInterval is the minimum time between two gather messages to a
	// holder.
	gatherInterval = 100 * time.Millisecond
)

// serverSpec is the configuration of one backend server in the table.
type serverSpec struct {
	name   string
	slots  int
	weight int
	// usable is false for a server that takes no new requests.
	usable bool
}

// coordinatorServer is the state of one backend server of a coordinator's group.
type coordinatorServer struct {
	serverSpec
	id      serverID
	leased  int
	quality quality
}

// holderState is what a coordinator knows about one holder.
type holderState struct {
	id string
	// avoid lists the servers that none of its waiting requests may use.
	avoid []uint64
	// noFreeSlot is set while no slot that the holder may use is free.
	noFreeSlot bool
	// acceptedEpoch is set once the holder has accepted the epoch, admitted once
	// its leases of earlier epochs have been taken over or written off.
	acceptedEpoch bool
	admitted      bool
	// earlierLeases lists the leases of earlier epochs that the holder reported,
	// earlierReturned those of them that it has returned since.
	earlierLeases   []leaseID
	earlierReturned []leaseID
	// leaseStart is the earliest time at which the TTL of its leases of earlier
	// epochs may have started: no later than the sending of its latest Ask that
	// an earlier coordinator acknowledged.
	leaseStart time.Time
	// hasUnknownRequests is set if requests of the holder may run on unknown
	// slots.
	hasUnknownRequests bool
	session            uint64
	askSeq             uint64
	lastAskAt          time.Time
	grantSeq           uint64
	// sent has the sending times of recent grants by seq; ackedAt is that of
	// the latest grant that the holder processed.
	sent    sentTimes
	ackedAt time.Time
	// held maps each lease to the seq of its grant.
	held map[leaseID]uint64
	busy int
	want int
	// share is the holder's fair share of the slots, see assignShares.
	share int
	// keep is the number of leases that the holder may keep; a negative value
	// means no bound.
	keep   int
	recall map[leaseID]bool

	// grants lists the leases that are charged but not yet sent.
	grants []leaseID
	// lastGrantIndex is the coordinator's grantCount after the last grant to the
	// holder.
	lastGrantIndex uint64
	replyDue       bool
	// grantDue makes the next flush send a grant, regardless of ackInterval.
	grantDue     bool
	gatherDue    bool
	lastReplyAt  time.Time
	gatherSentAt time.Time
}

// coordinator leases the slots of one group under one epoch. It is a pure
// state machine: the caller passes the time and delivers messages. It sends
// grants only while its authority is proved, see authority.go.
type coordinator struct {
	group      group
	self       string
	epoch      uint64
	ramp       time.Duration
	maxRunTime time.Duration

	servers []*coordinatorServer
	byID    map[serverID]*coordinatorServer
	holders map[string]*holderState
	// ordered has the holders in the order of their IDs.
	ordered  []*holderState
	recorded map[string]bool
	// pending has the holders of a record whose write has no known outcome;
	// nil if there is none.
	pending map[string]bool
	// owner maps each lease to its holder.
	owner map[leaseID]string
	// takeoverDone is set once every lease of earlier epochs is known or expired;
	// until then only the slots in returned are free.
	takeoverDone bool
	returned     map[leaseID]bool
	// session is the latest session that was assigned to a holder. The epoch is
	// in its high bits, so that sessions of different epochs differ.
	session uint64
	// grantBase is lower than the seqs of all grants.
	grantBase uint64

	// confirmedAt is the start of the last successful conditional write under
	// the epoch.
	confirmedAt time.Time
	// earlier has the sets of holders whose quorums may prove earlier epochs.
	earlier [][]string
	// active is set once no coordinator of an earlier epoch can act any more.
	active bool
	// startedAt is when this coordinator started. For holders of earlier
	// epochs, lastSeen is when they were last in the membership view, and removed
	// has those that the takeover no longer waits for.
	startedAt time.Time
	lastSeen  map[string]time.Time
	removed   map[string]bool
	// lastProof is the time of the latest proof of the epoch that was looked up.
	lastProof time.Time
	// earlierBlockedAt is when earlierBlocked was first true: from then on, no
	// earlier coordinator gets a new proof from its holders. Zero before.
	earlierBlockedAt time.Time
	tickedAt         time.Time
	resigned         bool

	// recallCheckDue is set when the quality of servers may have changed,
	// tableChanged when the table's rows of the group may have.
	recallCheckDue bool
	tableChanged   bool

	grantCount  uint64
	recallCount uint64
}

// coordinatorConfig is the state from which a coordinator starts.
type coordinatorConfig struct {
	group group
	self  string
	epoch uint64
	ramp  time.Duration
	// maxRunTime is the maximum time a request may run after its start, in this
	// epoch and in earlier ones.
	maxRunTime time.Duration
	recorded   []string
	// earlier has the sets of holders whose quorums may prove earlier epochs.
	earlier [][]string
	// takeoverDone is set if there are no leases of earlier epochs to take over: the
	// epoch is the group's first, or a predecessor in it completed the takeover.
	takeoverDone bool
	// confirmedAt is the start of the write that recorded the epoch.
	confirmedAt time.Time
	// grantBase is the highest seq of a grant that an earlier coordinator of
	// the same epoch sent.
	grantBase uint64
}

func newCoordinator(cfg coordinatorConfig, now time.Time) *coordinator {
	c := &coordinator{
		group:        cfg.group,
		self:         cfg.self,
		epoch:        cfg.epoch,
		ramp:         cfg.ramp,
		maxRunTime:   cfg.maxRunTime,
		byID:         make(map[serverID]*coordinatorServer),
		holders:      make(map[string]*holderState),
		recorded:     make(map[string]bool),
		owner:        make(map[leaseID]string),
		returned:     make(map[leaseID]bool),
		takeoverDone: cfg.takeoverDone,
		active:       cfg.takeoverDone,
		earlier:      cfg.earlier,
		session:      cfg.epoch << 20,
		grantBase:    cfg.grantBase,
		confirmedAt:  cfg.confirmedAt,
		tickedAt:     now,
		startedAt:    now,
		lastSeen:     make(map[string]time.Time),
		removed:      make(map[string]bool),
	}
	for _, id := range cfg.recorded {
		c.recorded[id] = true
		c.holder(id, now).gatherDue = true
	}
	return c
}

func (c *coordinator) holder(id string, now time.Time) *holderState {
	h := c.holders[id]
	if h == nil {
		h = &holderState{id: id, held: make(map[leaseID]uint64), recall: make(map[leaseID]bool), keep: -1, lastAskAt: now, grantSeq: c.grantBase}
		c.holders[id] = h
		c.ordered = append(c.ordered, h)
		slices.SortFunc(c.ordered, func(a, b *holderState) int { return strings.Compare(a.id, b.id) })
	}
	return h
}

func (c *coordinator) nextSession() uint64 {
	c.session++
	return c.session
}

// setServers applies the table's rows of the group.
func (c *coordinator) setServers(specs []serverSpec, now time.Time) {
	c.recallCheckDue, c.tableChanged = true, true
	first := len(c.servers) == 0
	old := c.byID
	c.servers = c.servers[:0]
	c.byID = make(map[serverID]*coordinatorServer, len(specs))
	for _, spec := range specs {
		spec.slots = min(spec.slots, maxSlots)
		id := idOfServer(spec.name)
		if c.byID[id] != nil {
			continue
		}
		server := old[id]
		if server == nil {
			server = &coordinatorServer{id: id, quality: newQuality(spec.slots, c.ramp, now)}
			if first {
				server.quality.ramp = 0
			}
		}
		if !server.usable && spec.usable && !first {
			server.quality = newQuality(spec.slots, c.ramp, now)
		}
		server.serverSpec = spec
		server.leased = c.countLeased(id)
		c.byID[id] = server
		c.servers = append(c.servers, server)
	}
}

func (c *coordinator) countLeased(id serverID) int {
	leased := 0
	for lease := range c.owner {
		if lease.server() == id {
			leased++
		}
	}
	return leased
}

// onAsk processes a holder's Ask, which carries its full state.
func (c *coordinator) onAsk(from string, ask *slotpb.Ask, now time.Time) {
	if ask.GetEpoch() > c.epoch {
		c.resigned = true
		return
	}
	h := c.holder(from, now)
	if ask.GetEpoch() < c.epoch {
		h.gatherDue = true
		return
	}
	if h.acceptedEpoch && ask.GetSeq() <= h.askSeq {
		return
	}
	c.maxRunTime = max(c.maxRunTime, time.Duration(ask.GetDrainMs())*time.Millisecond)
	if h.sent.at(ask.GetAck()).After(h.ackedAt) {
		h.ackedAt = h.sent.at(ask.GetAck())
	}
	h.askSeq, h.lastAskAt, h.replyDue = ask.GetSeq(), now, true
	h.busy, h.want = int(ask.GetBusy()), int(ask.GetWant())
	h.avoid = ask.GetAvoid()
	h.hasUnknownRequests = h.hasUnknownRequests || ask.GetStale() && !c.takeoverDone
	if !h.admitted {
		c.storeEarlierLeases(h, ask)
		if !c.active {
			return
		}
		c.admit(h, now)
	}
	if ask.GetSession() == h.session {
		c.reconcile(h, ask)
	} else {
		h.grantDue, h.busy = true, 0
	}
	c.observe(ask.GetReports(), now)
}

func (c *coordinator) charge(h *holderState, id leaseID, seq uint64) {
	h.held[id] = seq
	c.owner[id] = h.id
	delete(c.returned, id)
	if server := c.byID[id.server()]; server != nil {
		server.leased++
	}
}

func (c *coordinator) free(h *holderState, id leaseID) {
	delete(h.held, id)
	delete(h.recall, id)
	if c.owner[id] != h.id {
		return
	}
	delete(c.owner, id)
	if !c.takeoverDone {
		c.returned[id] = true
	}
	if server := c.byID[id.server()]; server != nil {
		server.leased--
	}
}

func (c *coordinator) observe(reports []*slotpb.ServerReport, now time.Time) {
	if len(reports) == 0 {
		return
	}
	c.recallCheckDue = true
	median := c.median()
	for _, report := range reports {
		if server := c.byID[serverID(report.GetServer())]; server != nil {
			server.quality.observe(now, report, server.slots, median)
		}
	}
}

func (c *coordinator) median() time.Duration {
	latencies := make([]time.Duration, 0, len(c.servers))
	for _, server := range c.servers {
		if server.quality.latency > 0 {
			latencies = append(latencies, server.quality.latency)
		}
	}
	return medianLatency(latencies)
}

// tick expires silent holders and advances the takeover from earlier epochs.
func (c *coordinator) tick(now time.Time) {
	if now.Sub(c.tickedAt) > leaseTTL/2 {
		c.resumeAfterPause(now)
	}
	c.tickedAt = now
	c.advanceTakeover(now)
	for _, h := range c.holders {
		if h.admitted && now.Sub(h.lastAskAt) > c.expiry() {
			c.expire(h)
		}
	}
}

// expiry returns the time after a holder's last Ask from which none of its
// requests can be running.
func (c *coordinator) expiry() time.Duration { return leaseTTL + c.maxRunTime + clockMargin }

// resumeAfterPause restarts the silence of all holders after a pause of this
// instance, because Ask messages sent meanwhile may not have been delivered yet.
func (c *coordinator) resumeAfterPause(now time.Time) {
	for _, h := range c.holders {
		h.lastAskAt = now
	}
}

// expire takes back all leases of a silent holder.
func (c *coordinator) expire(h *holderState) {
	if len(h.held) == 0 && h.want == 0 {
		return
	}
	for id := range h.held {
		c.free(h, id)
	}
	h.session = c.nextSession()
	h.busy, h.want, h.keep, h.grantDue = 0, 0, -1, true
	h.grants = nil
}
