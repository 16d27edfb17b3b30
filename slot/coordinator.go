package slot

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

const (
	// ackInterval is the least time between two grants that only
	// acknowledge an ask.
	ackInterval = leaseTTL / 8
	// gatherInterval is the time after which a gather is repeated.
	gatherInterval = 100 * time.Millisecond
)

// serverSpec is what the table says about one backend server.
type serverSpec struct {
	name   string
	slots  int
	weight int
	// usable is false for a server that takes no new work.
	usable bool
}

// coordinatorServer is one backend server of a coordinator's group.
type coordinatorServer struct {
	serverSpec
	id      serverID
	leased  int
	quality quality
}

// holderState is what a coordinator knows of one holder.
type holderState struct {
	id string
	// avoid are the servers whose leases its waiting requests can't use.
	avoid []uint64
	// passed tells that no slot that it can use is free.
	passed bool
	// reached tells that the holder accepted the epoch, admitted that its
	// leases of earlier epochs are settled.
	reached  bool
	admitted bool
	// claimed and dropped are the leases of earlier epochs that the holder
	// reported, and those of them that it returned since.
	claimed []leaseID
	dropped []leaseID
	// basis is a time before the holder's latest acknowledged ask to an
	// earlier coordinator.
	basis time.Time
	// unsure tells that requests on unknown slots may run at the holder.
	unsure   bool
	session  uint64
	askSeq   uint64
	askedAt  time.Time
	grantSeq uint64
	// sent are the times of recent grants by seq, ackedAt that of the latest
	// grant that the holder processed.
	sent    sentTimes
	ackedAt time.Time
	// held maps each lease to the seq of its grant.
	held map[leaseID]uint64
	busy int
	want int
	// share is the holder's fair share of the slots.
	share int
	// keep is the number of leases that the holder may keep; negative sets
	// no bound.
	keep   int
	recall map[leaseID]bool

	// grants are charged but not yet sent.
	grants []leaseID
	// grantedAt is the coordinator's count of grants at the last one.
	grantedAt uint64
	replyDue  bool
	// stateDue asks for a grant at once, ackInterval or not.
	stateDue   bool
	gatherDue  bool
	repliedAt  time.Time
	gatheredAt time.Time
}

// coordinator leases the slots of one group under one epoch. It is a pure
// state machine: the caller passes the time and delivers messages.
//
// It answers nothing while its authority is not proved: see authority.go.
type coordinator struct {
	group group
	self  string
	epoch uint64
	ramp  time.Duration
	drain time.Duration

	servers []*coordinatorServer
	byID    map[serverID]*coordinatorServer
	holders map[string]*holderState
	// ordered are the holders by ID.
	ordered  []*holderState
	recorded map[string]bool
	// pending are the holders of a record whose write has no known outcome.
	pending map[string]bool
	// owner maps each lease to its holder.
	owner map[leaseID]string
	// settled tells that every lease of earlier epochs is known or expired;
	// until then only the slots in returned are free.
	settled  bool
	returned map[leaseID]bool
	session  uint64
	// grantBase precedes the seqs of all grants.
	grantBase uint64

	// confirmedAt is the start of the last conditional write under the epoch.
	confirmedAt time.Time
	// earlier are the holders whose quorums may prove earlier epochs.
	earlier [][]string
	// acting tells that no coordinator of an earlier epoch can act any more.
	acting bool
	// startedAt is when this coordinator began; seenAt and gone are the
	// holders of earlier epochs that were in the view, or count as dead.
	startedAt time.Time
	seenAt    map[string]time.Time
	gone      map[string]bool
	// proved is the latest proof of the epoch that was looked up.
	proved time.Time
	// wonAt is when enough holders had left earlier epochs that none of
	// their coordinators can act any more; zero before.
	wonAt    time.Time
	tickedAt time.Time
	resigned bool

	// recallDue tells that the quality of servers changed, tableDue that the
	// servers themselves did.
	recallDue bool
	tableDue  bool

	grantCount  uint64
	recallCount uint64
}

// coordinatorConfig is the state from which a coordinator starts.
type coordinatorConfig struct {
	group group
	self  string
	epoch uint64
	ramp  time.Duration
	// drain is the longest time a request may run after its start, in this
	// epoch and in earlier ones.
	drain    time.Duration
	recorded []string
	// earlier are the sets of holders whose quorums may prove earlier epochs.
	earlier [][]string
	// fresh tells that there is no earlier epoch to settle.
	fresh bool
	// confirmedAt is the start of the write that recorded the epoch.
	confirmedAt time.Time
	// grantBase is the highest seq that an earlier coordinator of the epoch
	// gave to a grant.
	grantBase uint64
}

func newCoordinator(cfg coordinatorConfig, now time.Time) *coordinator {
	c := &coordinator{
		group:       cfg.group,
		self:        cfg.self,
		epoch:       cfg.epoch,
		ramp:        cfg.ramp,
		drain:       cfg.drain,
		byID:        make(map[serverID]*coordinatorServer),
		holders:     make(map[string]*holderState),
		recorded:    make(map[string]bool),
		owner:       make(map[leaseID]string),
		returned:    make(map[leaseID]bool),
		settled:     cfg.fresh,
		acting:      cfg.fresh,
		earlier:     cfg.earlier,
		session:     cfg.epoch << 20,
		grantBase:   cfg.grantBase,
		confirmedAt: cfg.confirmedAt,
		tickedAt:    now,
		startedAt:   now,
		seenAt:      make(map[string]time.Time),
		gone:        make(map[string]bool),
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
		h = &holderState{id: id, held: make(map[leaseID]uint64), recall: make(map[leaseID]bool), keep: -1, askedAt: now, grantSeq: c.grantBase}
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

// setServers takes over the table's rows of the group.
func (c *coordinator) setServers(specs []serverSpec, now time.Time) {
	c.recallDue, c.tableDue = true, true
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

// onAsk takes in a holder's state.
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
	if h.reached && ask.GetSeq() <= h.askSeq {
		return
	}
	c.drain = max(c.drain, time.Duration(ask.GetDrainMs())*time.Millisecond)
	if h.sent.at(ask.GetAck()).After(h.ackedAt) {
		h.ackedAt = h.sent.at(ask.GetAck())
	}
	h.askSeq, h.askedAt, h.replyDue = ask.GetSeq(), now, true
	h.busy, h.want = int(ask.GetBusy()), int(ask.GetWant())
	h.avoid = ask.GetAvoid()
	h.unsure = h.unsure || ask.GetStale() && !c.settled
	if !h.admitted {
		c.claim(h, ask)
		if !c.acting {
			return
		}
		c.admit(h, now)
	}
	if ask.GetSession() == h.session {
		c.reconcile(h, ask)
	} else {
		h.stateDue, h.busy = true, 0
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
	if !c.settled {
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
	c.recallDue = true
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

// tick expires silent holders and settles earlier epochs.
func (c *coordinator) tick(now time.Time) {
	if now.Sub(c.tickedAt) > leaseTTL/2 {
		c.wake(now)
	}
	c.tickedAt = now
	c.settle(now)
	for _, h := range c.holders {
		if h.admitted && now.Sub(h.askedAt) > c.expiry() {
			c.expire(h)
		}
	}
}

// expiry is how long after a holder's last ask none of its requests runs.
func (c *coordinator) expiry() time.Duration { return leaseTTL + c.drain + clockMargin }

// wake follows a pause of this instance: asks may wait undelivered, so that
// silence says nothing.
func (c *coordinator) wake(now time.Time) {
	for _, h := range c.holders {
		h.askedAt = now
	}
}

// expire takes back all leases of a holder that stayed silent.
func (c *coordinator) expire(h *holderState) {
	if len(h.held) == 0 && h.want == 0 {
		return
	}
	for id := range h.held {
		c.free(h, id)
	}
	h.session = c.nextSession()
	h.busy, h.want, h.keep, h.stateDue = 0, 0, -1, true
	h.grants = nil
}
