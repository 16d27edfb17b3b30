package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/readings"
)

const (
	// baseInterval is the time between datagrams to live instances in a small
	// fleet. Load peaks from other work on a server's machine last a few hundred
	// milliseconds; readings have to be much fresher than that.
	baseInterval = 30 * time.Millisecond
	// triggeredFraction is the fraction of the send interval after which new
	// readings may be sent; periodicFraction is the one after which a datagram is
	// sent without a trigger. The latter is longer, so that datagrams follow the
	// rounds of status checks.
	triggeredFraction = 0.7
	periodicFraction  = 1.2
	// maxAtBaseInterval is the number of instances up to which a datagram is sent to
	// each of them at every base interval. With more instances, the interval grows
	// in proportion and datagrams go through relays.
	maxAtBaseInterval = 20
	// directGrowthExponent is the exponent with which the interval grows with the
	// number of instances beyond that if there are no relays. It is above 1
	// because each received datagram costs CPU time, of which the instances of
	// large fleets have less.
	directGrowthExponent = 1.5
	// maxInterval bounds the time between datagrams.
	maxInterval = 400 * time.Millisecond
	// heartbeatInterval is the time between datagrams without new information.
	heartbeatInterval = 200 * time.Millisecond
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = 64 << 10
	// stateRequestInterval is the minimum time between two requests for state. It is
	// the time in which an instance with a slow link receives the whole state.
	stateRequestInterval = 150 * time.Millisecond
	// maxTableAsOfMS bounds a received time of the store's clock to what a duration holds.
	maxTableAsOfMS = math.MaxInt64 / uint64(time.Millisecond)
	// largeFleetReaders is the number of instances from which only the relays read the
	// store for all.
	largeFleetReaders = 60
)

// Freshness describes how recent a view of the store is.
type Freshness struct {
	// ServersVersion is the version of the newest change to backend servers,
	// TableVersion that of the active table.
	ServersVersion, TableVersion uint64
	// EvacuationsVersion is the version of the newest change to the evacuated data
	// centres; 0 if there was none.
	EvacuationsVersion uint64
	// At is the time at which the view is known to have been current.
	At time.Time
	// Read identifies the read of the store that confirmed the view.
	Read Read
	// Era is how often the store was restored from a copy.
	Era uint64
	// TableAsOf is the time of the store's clock, in this era, at which the table version is
	// known to have been the newest; 0 if there is none.
	TableAsOf time.Duration
}

// Read identifies one read of the store.
type Read struct {
	// Process identifies the process that made the read.
	Process uint32
	// Number is the sequence number of the read within the process, from 1.
	Number uint64
}

// Follower holds the local view of the store and keeps it consistent with those of
// other instances. Its methods must not block.
type Follower interface {
	// Freshness returns the freshness of the local view.
	Freshness() Freshness
	// ReceiveFreshness records another instance's freshness and reports whether
	// that instance has newer state, which the exchange then requests.
	ReceiveFreshness(from string, f Freshness) (behind bool)
	// Wanted returns the versions since which this instance wants the state.
	Wanted() (serversVersion, tableVersion uint64)
	// ReceiveDeparture records that a backend server, since the given start in Unix
	// milliseconds, said that it leaves.
	ReceiveDeparture(from, server string, born int64)
	// ReceiveState applies state that another instance sent.
	ReceiveState(from string, state *gossippb.State)
	// State returns the state newer than the given versions, and the evacuated data
	// centres if they are known, or nil if there is nothing to send.
	State(serversVersion, tableVersion uint64) *gossippb.State
}

// Conn is a socket for datagrams, such as a [net.UDPConn].
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	SetReadDeadline(t time.Time) error
}

// Options configure an [Exchange]. All but Seeds and OnLimit are required.
type Options struct {
	Conn Conn
	// Address is the address at which other instances reach this one.
	Address    netip.AddrPort
	ID         string
	DataCentre string
	// RelayCapacity is the capacity of this instance for relaying, in any unit that is
	// the same in the whole fleet; 0 if it can't relay.
	RelayCapacity uint32
	// Seeds returns the addresses of instances that may be alive, from which a new
	// process learns of the others; nil if there are none.
	Seeds func() []netip.AddrPort
	// OnLimit is called if another instance says that a backend server names another
	// limit. It must not block.
	OnLimit  func(from string, change readings.LimitChange)
	Board    *readings.Board
	Backlogs *admission.Backlogs
	Logger   *slog.Logger
}

// Exchange sends and receives datagrams. It is safe for concurrent use.
type Exchange struct {
	opts          Options
	conn          Conn
	startedAt     time.Time
	address       []byte
	members       members
	chunks        assembler
	follower      Follower
	handleMessage func(from string, kind uint32, payload []byte)
	leaving       atomic.Bool
	cutOff        atomic.Bool
	transfer      atomic.Uint64
	triggers      chan struct{}

	// sending guards the pending updates for the instances of the same data
	// centre (local) and of the other data centres (remote).
	sending                     sync.Mutex
	localUpdates, remoteUpdates *pendingUpdates
	// localTurn and remoteTurn select the relays round robin.
	localTurn, remoteTurn int

	// ownResults, rosterSent and helloSent are guarded by sending too.
	ownResults            ownResults
	rosterSent, helloSent time.Time

	viewCache viewCache
	// introduction and stateRequested are used only by the receiving goroutine.
	introduction   introduction
	stateRequested time.Time
	stateCache     stateCache
	// size is the largest number of instances that relays reported lately.
	size fleetSize

	// Sent and Received count datagrams, SentBytes and ReceivedBytes their
	// sizes.
	Sent, Received, SentBytes, ReceivedBytes atomic.Uint64
}

// New returns an exchange, which [Exchange.Run] starts.
func New(opts Options) (*Exchange, error) {
	e := &Exchange{opts: opts, conn: opts.Conn, startedAt: time.Now(), triggers: make(chan struct{}, 1), localUpdates: newPendingUpdates(), remoteUpdates: newPendingUpdates()}
	e.members.byID = make(map[string]*member)
	var err error
	if e.address, err = opts.Address.MarshalBinary(); err != nil {
		return nil, fmt.Errorf("gossip: encode address: %w", err)
	}
	return e, nil
}

// Follow sets the follower. It must be called before Run.
func (e *Exchange) Follow(f Follower) { e.follower = f }

// HandleMessages sets the handler of messages from other instances. It must be called
// before Run. The handler must not block.
func (e *Exchange) HandleMessages(handle func(from string, kind uint32, payload []byte)) {
	e.handleMessage = handle
}

// UnknownError reports a message to an unknown instance.
type UnknownError struct{ ID string }

func (err *UnknownError) Error() string {
	return fmt.Sprintf("gossip: unknown instance %q", err.ID)
}

// SendMessage sends a message to one instance. Delivery is not guaranteed. It fails
// with [UnknownError].
func (e *Exchange) SendMessage(to string, kind uint32, payload []byte) error {
	address, ok := e.members.address(to)
	if !ok {
		return &UnknownError{ID: to}
	}
	msg := e.newDatagram()
	msg.Message = &gossippb.Message{Kind: kind, Payload: payload}
	e.sendTo(msg, []netip.AddrPort{address})
	return nil
}

// Add records another instance, so that datagrams are sent to it.
func (e *Exchange) Add(m Member) {
	if m.ID != e.opts.ID {
		e.members.add(m)
	}
}

// Alive returns the IDs of the live instances in a data centre, including this one
// unless it is leaving. An empty dataCentre selects all data centres.
func (e *Exchange) Alive(dataCentre string) []string {
	ids := e.members.alive(dataCentre, time.Now())
	if e.selfIn(dataCentre) > 0 {
		ids = append(ids, e.opts.ID)
	}
	return ids
}

// Heard returns how many instances of a data centre are alive and how many are known, both
// including this one if it belongs to it. An empty dataCentre selects all data centres.
func (e *Exchange) Heard(dataCentre string) (alive, known int) {
	return len(e.Alive(dataCentre)), e.members.countIn(dataCentre) + e.selfIn(dataCentre)
}

// StrongRelays returns the sorted IDs of the relays of all data centres that have at least half
// of the greatest relay capacity, for tasks whose result callers wait for.
func (e *Exchange) StrongRelays() []string {
	now := time.Now()
	var relays []presence
	greatest := uint32(0)
	centres := e.members.knownDataCentres()
	if !slices.Contains(centres, e.opts.DataCentre) {
		centres = append(centres, e.opts.DataCentre)
	}
	for _, centre := range centres {
		for _, r := range e.members.relays(centre, e.self(), now) {
			relays = append(relays, r)
			greatest = max(greatest, r.relayCapacity)
		}
	}
	strong := ids(slices.DeleteFunc(relays, func(r presence) bool { return 2*r.relayCapacity < greatest }))
	slices.Sort(strong)
	return strong
}

// HeardShare returns the part of the fleet that this instance hears: the mean over the data
// centres. Of its own, that is the part of the instances that are alive; another one counts whole
// if any instance there is alive, since in a large fleet only the relays are known lately. Data
// centres that are cut off from each other hear one together.
func (e *Exchange) HeardShare() float64 {
	centres := e.members.knownDataCentres()
	if !slices.Contains(centres, e.opts.DataCentre) {
		centres = append(centres, e.opts.DataCentre)
	}
	sum := 0.0
	for _, centre := range centres {
		alive, known := e.Heard(centre)
		switch {
		case centre == e.opts.DataCentre:
			if v := e.currentView(time.Now()); v.relaying {
				// A relay hears its data centre itself, and notices sooner that it is cut off.
				alive = len(e.members.heard(centre, time.Now())) + e.selfIn(centre)
			}
			sum += float64(alive) / float64(max(known, 1))
		case alive > 0:
			sum++
		}
	}
	return sum / float64(len(centres))
}

// selfIn returns 1 if this instance belongs to the data centre, and is not leaving, else 0.
func (e *Exchange) selfIn(dataCentre string) int {
	if !e.leaving.Load() && (dataCentre == "" || dataCentre == e.opts.DataCentre) {
		return 1
	}
	return 0
}

// TakeRemoved returns the IDs of the instances that have been removed since the last
// call, because nothing was received from them for 10 minutes.
func (e *Exchange) TakeRemoved() []string { return e.members.takeRemoved() }

// Known returns the number of instances of the fleet, including this one: those that this
// instance knows, or more if relays know of more.
func (e *Exchange) Known() int { return e.currentView(time.Now()).known }

// ID returns the ID of this instance.
func (e *Exchange) ID() string { return e.opts.ID }

// Relays returns the IDs of the relays of the data centre of this instance.
func (e *Exchange) Relays() []string { return ids(e.currentView(time.Now()).relays) }

// Readers returns the IDs of the live instances that read the store for all: all instances
// of a small fleet, and the relays of each data centre of a large one. They include this
// instance, if it is one of them.
func (e *Exchange) Readers() []string { return slices.Clone(e.currentView(time.Now()).readers) }

// MessageTargets returns the IDs of the instances to which this one sends what all have to
// know: the live ones that it knows or, if it is no relay in a large data centre, the readers,
// who tell the others.
func (e *Exchange) MessageTargets() []string {
	targets := e.Alive("")
	if v := e.currentView(time.Now()); v.relayed() && !v.relaying {
		targets = slices.Clone(v.readers)
	}
	return slices.DeleteFunc(targets, func(id string) bool { return id == e.opts.ID })
}

// Forwards reports whether this instance passes on what others send to it because they don't
// reach all.
func (e *Exchange) Forwards() bool {
	v := e.currentView(time.Now())
	return v.relayed() && v.relaying
}

func ids(members []presence) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

// SendInterval returns the time between two datagrams to an instance of the same data
// centre.
func (e *Exchange) SendInterval() time.Duration { return e.currentView(time.Now()).interval }

// RemoteSendInterval returns the time between two datagrams to each other data centre.
func (e *Exchange) RemoteSendInterval() time.Duration {
	return e.currentView(time.Now()).remoteInterval
}

// sendInterval returns the time between two datagrams of an instance.
func sendInterval(instances int, relayed bool) time.Duration {
	growth := float64(instances) / maxAtBaseInterval
	if !relayed {
		growth = math.Pow(growth, directGrowthExponent)
	}
	return min(max(time.Duration(growth*float64(baseInterval)), baseInterval), maxInterval)
}

// Leave marks this instance as leaving in all further datagrams, so that the others
// assign no tasks to it.
func (e *Exchange) Leave() { e.leaving.Store(true) }

// SetCutOff says in all further datagrams whether this instance reaches no backend server, so
// that the others do for it what it can't.
func (e *Exchange) SetCutOff(cutOff bool) {
	e.cutOff.Store(cutOff)
	e.Flush()
}

// Serving returns the other live instances of a data centre that reach backend servers, in no
// particular order. An empty dataCentre selects all data centres that this instance knows.
func (e *Exchange) Serving(dataCentre string) []Member {
	return e.members.serving(dataCentre, time.Now())
}

// Run sends and receives datagrams until ctx ends or the connection is closed.
func (e *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	go e.send(ctx)
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			e.opts.Logger.Warn("receiving a datagram failed", "error", err)
			continue
		}
		e.Received.Add(1)
		e.ReceivedBytes.Add(uint64(n))
		msg := &gossippb.Datagram{}
		if err := proto.Unmarshal(buf[:n], msg); err != nil {
			e.opts.Logger.Warn("received datagram is invalid", "from", from, "error", err)
			continue
		}
		e.receive(msg, from, time.Now())
	}
}

func (e *Exchange) send(ctx context.Context) {
	ticker := time.NewTicker(baseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.triggers:
			e.sendUpdates(time.Now(), triggeredFraction)
		case now := <-ticker.C:
			e.sendUpdates(now, periodicFraction)
		}
	}
}

// TriggerSend triggers an early datagram with pending updates. It doesn't block.
func (e *Exchange) TriggerSend() {
	select {
	case e.triggers <- struct{}{}:
	default:
	}
}

// ShareDeparture tells all instances that a backend server, since the given start in Unix
// milliseconds, said that it leaves.
func (e *Exchange) ShareDeparture(server string, born int64) {
	e.sending.Lock()
	for _, pending := range []*pendingUpdates{e.localUpdates, e.remoteUpdates} {
		pending.addDeparture(server, born)
	}
	e.sending.Unlock()
	e.TriggerSend()
}

// ShareLimit tells all instances that a backend server names a limit, or none any longer.
func (e *Exchange) ShareLimit(server string, limit readings.Limit, at time.Time) {
	e.sending.Lock()
	for _, pending := range []*pendingUpdates{e.localUpdates, e.remoteUpdates} {
		pending.addLimit(server, limit, at)
	}
	e.sending.Unlock()
	e.TriggerSend()
}

// ShareCold tells all instances of the warm-up of a backend server.
func (e *Exchange) ShareCold(hint readings.ColdHint) {
	e.sending.Lock()
	for _, pending := range []*pendingUpdates{e.localUpdates, e.remoteUpdates} {
		pending.addCold(hint, noticeRepeats)
	}
	e.sending.Unlock()
	e.TriggerSend()
}

// Flush sends the local freshness and pending updates immediately.
func (e *Exchange) Flush() { e.sendUpdates(time.Now(), 0) }

// sendUpdates sends the datagrams that are due. The minimum time since the last one is given
// as a fraction of the send interval; 0 sends immediately.
func (e *Exchange) sendUpdates(now time.Time, fraction float64) {
	e.sending.Lock()
	defer e.sending.Unlock()
	observed, results := e.opts.Board.TakeUnshared()
	e.localUpdates.add(observed, results)
	e.sendHello(now)
	v := e.currentView(now)
	switch {
	case !v.relayed():
		e.remoteUpdates.add(observed, results)
		e.sendDirectly(v, fraction, now)
	case v.relaying:
		e.remoteUpdates.add(observed, results)
		e.sendAsRelay(v, fraction, now)
	default:
		e.remoteUpdates.clear()
		e.ownResults.add(results, now)
		if fraction == 0 || e.localUpdates.due(now, scale(fraction, v.interval), len(e.opts.Backlogs.Own()) > 0) {
			e.sendToRelay(v, now)
		}
	}
}

// sendDirectly sends to all instances of a small data centre, and to one instance of each
// other data centre, in turn, which passes it on: traffic between data centres is expensive.
// It also sends to instances that are not alive, to each at most once per silentInterval.
func (e *Exchange) sendDirectly(v view, fraction float64, now time.Time) {
	backlogs := e.opts.Backlogs.Own()
	if fraction == 0 || e.localUpdates.due(now, scale(fraction, v.interval), len(backlogs) > 0) {
		msg := e.updateDatagram(now)
		e.localUpdates.take(msg, now)
		msg.Backlogs = encodeBacklogs(backlogs)
		all := func(presence) bool { return false }
		e.sendTo(msg, append(e.members.silent(now, all), v.local...))
	}
	if fraction == 0 || e.remoteUpdates.due(now, scale(fraction, v.remoteInterval), len(backlogs) > 0) {
		msg := e.updateDatagram(now)
		e.remoteUpdates.take(msg, now)
		msg.Backlogs = encodeBacklogs(backlogs)
		msg.PassOn = true
		e.remoteTurn++
		for _, centre := range e.members.dataCentres(now) {
			if targets := e.members.remoteTargets(centre, now); centre != e.opts.DataCentre && len(targets) > 0 {
				e.sendTo(msg, targets[e.remoteTurn%len(targets):][:1])
			}
		}
	}
}

func scale(fraction float64, interval time.Duration) time.Duration {
	return time.Duration(fraction * float64(interval))
}

// updateDatagram returns a datagram with the local freshness.
func (e *Exchange) updateDatagram(now time.Time) *gossippb.Datagram {
	msg := e.newDatagram()
	f := e.follower.Freshness()
	msg.Freshness = &gossippb.Freshness{
		ServersVersion: f.ServersVersion,
		TableVersion:   f.TableVersion,
		AgeMs:          milliseconds(now.Sub(f.At) + time.Millisecond),
		Process:        f.Read.Process,
		Read:           f.Read.Number,
		Era:            f.Era,

		EvacuationsVersion: f.EvacuationsVersion,
		// Rounded down, so that passing it on never makes it newer.
		TableAsOfMs: uint64(max(f.TableAsOf.Milliseconds(), 0)),
	}
	return msg
}

func encodeBacklogs(backlogs []admission.Backlog) []*gossippb.Backlog {
	var encoded []*gossippb.Backlog
	for _, b := range backlogs {
		encoded = append(encoded, &gossippb.Backlog{Service: b.Service, InTime: uint32(b.InTime), Late: uint32(b.Late)})
	}
	return encoded
}

func (e *Exchange) sendTo(msg *gossippb.Datagram, addresses []netip.AddrPort) {
	if len(addresses) == 0 {
		return
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		e.opts.Logger.Error("encoding a datagram failed", "error", err)
		return
	}
	for _, address := range addresses {
		e.write(data, address)
	}
}

// write sends a datagram. A failure to send is equivalent to the loss of the datagram,
// which the protocol tolerates.
func (e *Exchange) write(data []byte, to netip.AddrPort) {
	n, err := e.conn.WriteToUDPAddrPort(data, to)
	if err != nil {
		e.opts.Logger.Debug("sending a datagram failed", "to", to, "error", err)
		return
	}
	e.Sent.Add(1)
	e.SentBytes.Add(uint64(n))
}

// newDatagram returns a datagram with the fields that describe this instance.
func (e *Exchange) newDatagram() *gossippb.Datagram {
	return &gossippb.Datagram{
		Instance:   e.opts.ID,
		Started:    e.startedAt.UnixNano(),
		DataCentre: e.opts.DataCentre,
		Leaving:    e.leaving.Load(),
		CutOff:     e.cutOff.Load(),
		Address:    e.address,

		RelayCapacity: e.opts.RelayCapacity,
	}
}

// SendStateAll sends state to the live instances that are not leaving: in a large fleet only
// to the readers, from which the others request it.
func (e *Exchange) SendStateAll(state *gossippb.State) {
	targets := e.members.alive("", time.Now())
	if e.Known() >= largeFleetReaders {
		targets = slices.DeleteFunc(e.Readers(), func(id string) bool { return id == e.opts.ID })
	}
	packed := e.encodeState(state)
	for _, id := range targets {
		if address, ok := e.members.address(id); ok {
			e.writeAll(packed, address)
		}
	}
}

func (e *Exchange) writeAll(packed [][]byte, to netip.AddrPort) {
	for _, data := range packed {
		e.write(data, to)
	}
}

// stateCache holds the encoded states last sent, by the request that they answer. Many
// instances request the same after a change.
type stateCache struct {
	own    Freshness
	filled time.Time
	states map[string][][]byte
}

// sendState sends the state that an instance wants.
func (e *Exchange) sendState(want *gossippb.Want, to netip.AddrPort) {
	own := e.follower.Freshness()
	own.At, own.Read, own.TableAsOf = time.Time{}, Read{}, 0
	now := time.Now()
	if e.stateCache.own != own || len(e.stateCache.states) > maxCachedStates || now.Sub(e.stateCache.filled) > stateCacheTTL {
		e.stateCache = stateCache{own: own, filled: now, states: make(map[string][][]byte)}
	}
	key := fmt.Sprint(want.GetServersVersion(), want.GetTableVersion())
	packed, ok := e.stateCache.states[key]
	if !ok {
		state := e.follower.State(want.GetServersVersion(), want.GetTableVersion())
		if state == nil {
			return
		}
		packed = e.encodeState(state)
		if state.GetHoldMs() == 0 {
			e.stateCache.states[key] = packed
		}
	}
	e.writeAll(packed, to)
}

// sendReadings sends the recent readings of all servers to an instance that has just started.
func (e *Exchange) sendReadings(to netip.AddrPort, now time.Time) {
	recent := newPendingUpdates()
	recent.add(e.opts.Board.Recent(now, maxReadingAge), nil)
	for _, l := range e.opts.Board.Limits() {
		recent.addLimit(l.Server, l.Limit, l.At)
	}
	for _, hint := range e.opts.Board.ColdServers(now) {
		recent.addCold(hint, noticeRepeats)
	}
	for !recent.empty() {
		msg := e.newDatagram()
		msg.Scope = gossippb.Scope_SCOPE_FLEET
		recent.take(msg, now)
		e.sendTo(msg, []netip.AddrPort{to})
	}
}

// maxReadingAge is the age up to which a reading is of use to an instance that has just
// started.
const maxReadingAge = time.Second

const (
	// maxCachedStates bounds the encoded states kept.
	maxCachedStates = 16
	// stateCacheTTL bounds the time for which they are used, since they hold remaining
	// times of warm-ups.
	stateCacheTTL = 500 * time.Millisecond
)

// encodeState returns the encoded datagrams that carry a state.
func (e *Exchange) encodeState(state *gossippb.State) [][]byte {
	parts, err := split(state)
	if err != nil {
		e.opts.Logger.Error("encoding state failed", "error", err)
		return nil
	}
	transfer := e.transfer.Add(1)
	var packed [][]byte
	for i, part := range parts {
		msg := e.newDatagram()
		msg.Chunk = &gossippb.Chunk{Transfer: transfer, Index: uint32(i), Count: uint32(len(parts)), Data: part}
		data, err := proto.Marshal(msg)
		if err != nil {
			e.opts.Logger.Error("encoding a datagram failed", "error", err)
			return nil
		}
		packed = append(packed, data)
	}
	return packed
}

// receive handles a datagram that arrived at the given time.
func (e *Exchange) receive(msg *gossippb.Datagram, from netip.AddrPort, now time.Time) {
	id := msg.GetInstance()
	if id == e.opts.ID || id == "" {
		return
	}
	sender := presence{
		Member:  Member{ID: id, DataCentre: msg.GetDataCentre()},
		started: msg.GetStarted(), leaving: msg.GetLeaving(), cutOff: msg.GetCutOff(), relayCapacity: msg.GetRelayCapacity(),
	}
	if err := sender.Address.UnmarshalBinary(msg.GetAddress()); err != nil {
		e.opts.Logger.Warn("received datagram has an invalid sender address", "from", from, "error", err)
		return
	}
	if !e.members.recordDatagram(sender, now) {
		return
	}
	switch {
	case msg.GetPassOn():
		msg.PassOn = false
		e.passOn(msg, now)
	case sender.DataCentre == e.opts.DataCentre && msg.GetScope() == gossippb.Scope_SCOPE_INSTANCE:
		// The sender doesn't know yet that its data centre has relays.
		if v := e.currentView(now); v.relayed() && v.relaying {
			e.collect(msg, now)
		}
	}
	e.receiveUpdates(msg, now)
	for _, d := range msg.GetDepartures() {
		e.follower.ReceiveDeparture(id, d.GetServer(), d.GetBornMs())
	}
	for _, encoded := range msg.GetLimits() {
		if change, changed := e.opts.Board.ReceiveLimit(decodeLimit(encoded, now)); changed && e.opts.OnLimit != nil {
			e.opts.OnLimit(id, change)
		}
	}
	for _, encoded := range msg.GetCold() {
		e.opts.Board.ReceiveCold(decodeCold(encoded, now))
	}
	if message := msg.GetMessage(); message != nil && e.handleMessage != nil {
		e.handleMessage(id, message.GetKind(), message.GetPayload())
	}
	if chunk := msg.GetChunk(); chunk != nil {
		e.receiveChunk(id, chunk)
	}
	if want := msg.GetWant(); want != nil {
		e.sendState(want, sender.Address)
		if want.GetServersVersion() == 0 {
			e.sendReadings(sender.Address, now)
		}
	}
	if msg.GetRoster() != nil {
		e.receiveRoster(msg, now)
	}
	if msg.GetHello() {
		e.introduce(sender.Member, now)
	}
	if f := msg.GetFreshness(); f != nil {
		e.receiveBacklogs(msg, now)
		e.receiveFreshness(id, f, now)
	}
	e.size.record(msg, now)
}

func (e *Exchange) receiveChunk(from string, chunk *gossippb.Chunk) {
	state, err := e.chunks.add(from, chunk)
	if err != nil {
		e.opts.Logger.Warn("received state is invalid", "from", from, "error", err)
		return
	}
	if state == nil {
		return
	}
	before := e.follower.Freshness()
	e.follower.ReceiveState(from, state)
	after := e.follower.Freshness()
	changed := before.ServersVersion != after.ServersVersion || before.TableVersion != after.TableVersion ||
		before.EvacuationsVersion != after.EvacuationsVersion
	if v := e.currentView(time.Now()); changed && v.relayed() && v.relaying {
		// The instances of the data centre then request the state from this one.
		e.Flush()
	}
}

func (e *Exchange) receiveBacklogs(msg *gossippb.Datagram, now time.Time) {
	backlogs := make([]admission.Backlog, len(msg.GetBacklogs()))
	for i, b := range msg.GetBacklogs() {
		backlogs[i] = admission.Backlog{
			Service: b.GetService(), Counts: admission.Counts{InTime: int(b.GetInTime()), Late: int(b.GetLate())},
		}
	}
	remote := msg.GetDataCentre() != e.opts.DataCentre
	switch msg.GetScope() {
	case gossippb.Scope_SCOPE_FLEET:
		if !e.currentView(now).relaying {
			e.opts.Backlogs.ReceiveFleet(backlogs, now)
		}
	case gossippb.Scope_SCOPE_DATA_CENTRE:
		e.opts.Backlogs.Receive("data centre "+msg.GetDataCentre(), remote, backlogs, now)
	default:
		e.opts.Backlogs.Receive(msg.GetInstance(), remote, backlogs, now)
	}
}

func (e *Exchange) receiveFreshness(from string, f *gossippb.Freshness, now time.Time) {
	behind := e.follower.ReceiveFreshness(from, Freshness{
		ServersVersion: f.GetServersVersion(),
		TableVersion:   f.GetTableVersion(),
		At:             now.Add(-time.Duration(f.GetAgeMs()) * time.Millisecond),
		Read:           Read{Process: f.GetProcess(), Number: f.GetRead()},
		Era:            f.GetEra(),

		EvacuationsVersion: f.GetEvacuationsVersion(),
		TableAsOf:          time.Duration(min(f.GetTableAsOfMs(), maxTableAsOfMS)) * time.Millisecond,
	})
	if !behind || now.Sub(e.stateRequested) < stateRequestInterval {
		return
	}
	e.stateRequested = now
	servers, table := e.follower.Wanted()
	msg := e.newDatagram()
	msg.Want = &gossippb.Want{ServersVersion: servers, TableVersion: table}
	if address, ok := e.members.address(from); ok {
		e.sendTo(msg, []netip.AddrPort{address})
	}
}
