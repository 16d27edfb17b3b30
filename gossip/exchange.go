package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
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
	// stateRequestInterval is the minimum time between two requests for state to
	// one instance.
	stateRequestInterval = 150 * time.Millisecond
)

// Freshness describes how recent a view of the store is.
type Freshness struct {
	// ServersVersion is the version of the newest change to backend servers,
	// TableVersion that of the active table.
	ServersVersion, TableVersion uint64
	// At is the time at which the view is known to have been current.
	At time.Time
	// Read identifies the read of the store that confirmed the view.
	Read Read
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
	// ReceiveState applies state that another instance sent.
	ReceiveState(from string, state *gossippb.State)
	// State returns the state newer than the given versions, or nil if there is
	// none.
	State(serversVersion, tableVersion uint64) *gossippb.State
}

// Options configure an [Exchange]. All are required.
type Options struct {
	Conn net.PacketConn
	// Address is the address at which other instances reach this one.
	Address    netip.AddrPort
	ID         string
	DataCentre string
	// RelayCapacity is the capacity of this instance for relaying datagrams, in
	// thousandths of a core; 0 if its link is too slow.
	RelayCapacity uint32
	Board         *readings.Board
	Backlogs      *admission.Backlogs
	Logger        *slog.Logger
}

// Exchange sends and receives datagrams. It is safe for concurrent use.
type Exchange struct {
	opts          Options
	conn          *net.UDPConn
	started       int64
	address       []byte
	members       members
	chunks        assembler
	follower      Follower
	handleMessage func(from string, kind uint32, payload []byte)
	leaving       atomic.Bool
	transfer      atomic.Uint64
	triggers      chan struct{}

	// sending guards the pending updates for the instances of the same data
	// centre (local) and of the other data centres (remote).
	sending                     sync.Mutex
	localUpdates, remoteUpdates *pendingUpdates
	// localTurn and remoteTurn select the relays round robin.
	localTurn, remoteTurn int

	// bundles holds the datagrams that this instance relays.
	bundles   bundles
	viewCache viewCache

	// Sent and Received count datagrams, SentBytes and ReceivedBytes their
	// sizes.
	Sent, Received, SentBytes, ReceivedBytes atomic.Uint64
}

// ConnError reports a connection that is not a UDP socket.
type ConnError struct{}

func (*ConnError) Error() string { return "gossip: connection is not a UDP socket" }

// New returns an exchange, which [Exchange.Run] starts. It fails with [ConnError] if
// the connection is not a UDP socket.
func New(opts Options) (*Exchange, error) {
	conn, ok := opts.Conn.(*net.UDPConn)
	if !ok {
		return nil, &ConnError{}
	}
	e := &Exchange{opts: opts, conn: conn, started: time.Now().UnixNano(), triggers: make(chan struct{}, 1), localUpdates: newPendingUpdates(), remoteUpdates: newPendingUpdates()}
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
	if !e.leaving.Load() && (dataCentre == "" || dataCentre == e.opts.DataCentre) {
		ids = append(ids, e.opts.ID)
	}
	return ids
}

// TakeRemoved returns the IDs of the instances that have been removed since the last
// call, because nothing was received from them for 10 minutes.
func (e *Exchange) TakeRemoved() []string { return e.members.takeRemoved() }

// Known returns the number of known instances, including this one.
func (e *Exchange) Known() int { return e.members.count() + 1 }

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
			e.sendBundles(now)
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

// Flush sends the local freshness and pending updates immediately.
func (e *Exchange) Flush() { e.sendUpdates(time.Now(), 0) }

// sendUpdates sends the datagrams that are due. Traffic between data centres is
// expensive, so each other data centre gets one datagram, which one of its instances,
// chosen round robin, relays to the rest. The minimum time since the last datagram is
// given as a fraction of the send interval; 0 sends immediately.
func (e *Exchange) sendUpdates(now time.Time, fraction float64) {
	e.sending.Lock()
	defer e.sending.Unlock()
	observed, results := e.opts.Board.TakeUnshared()
	backlogs := e.opts.Backlogs.Own()
	e.localUpdates.add(observed, results)
	e.remoteUpdates.add(observed, results)
	current := e.currentView(now)
	if fraction == 0 || e.localUpdates.due(now, scale(fraction, current.interval), len(backlogs) > 0) {
		e.sendLocal(e.updateDatagram(e.localUpdates, backlogs, now), current, fraction == 0, now)
	}
	if fraction == 0 || e.remoteUpdates.due(now, scale(fraction, current.remoteInterval), len(backlogs) > 0) {
		msg := e.updateDatagram(e.remoteUpdates, backlogs, now)
		msg.PassOn = true
		e.remoteTurn++
		e.sendTo(msg, e.members.remoteRelays(e.opts.DataCentre, e.remoteTurn, now))
	}
}

// sendLocal sends a datagram to the instances of the same data centre: through a relay
// if the data centre is large, unless the datagram is urgent. It also sends the datagram
// directly to instances of all data centres that are not alive, to each of them at most
// once per silentInterval.
func (e *Exchange) sendLocal(msg *gossippb.Datagram, current view, urgent bool, now time.Time) {
	silent := e.members.silent(now)
	if urgent || !current.large() || len(current.relays) == 0 {
		e.sendTo(msg, append(silent, current.local...))
		return
	}
	if len(silent) > 0 {
		e.sendTo(msg, silent)
	}
	e.localTurn++
	relay := current.relays[e.localTurn%len(current.relays)]
	if relay.ID == e.opts.ID {
		e.hold(msg, now)
		return
	}
	msg.PassOn = true
	e.sendTo(msg, []netip.AddrPort{relay.Address})
}

func scale(fraction float64, interval time.Duration) time.Duration {
	return time.Duration(fraction * float64(interval))
}

// updateDatagram returns a datagram with the local freshness, the pending updates and
// the backlogs.
func (e *Exchange) updateDatagram(pending *pendingUpdates, backlogs []admission.Backlog, now time.Time) *gossippb.Datagram {
	msg := e.newDatagram()
	f := e.follower.Freshness()
	msg.Freshness = &gossippb.Freshness{
		ServersVersion: f.ServersVersion,
		TableVersion:   f.TableVersion,
		AgeMs:          milliseconds(now.Sub(f.At) + time.Millisecond),
		Process:        f.Read.Process,
		Read:           f.Read.Number,
	}
	pending.take(msg, now)
	for _, b := range backlogs {
		msg.Backlogs = append(msg.Backlogs, &gossippb.Backlog{Service: b.Service, InTime: uint32(b.InTime), Late: uint32(b.Late)})
	}
	return msg
}

func (e *Exchange) sendTo(msg *gossippb.Datagram, addresses []netip.AddrPort) {
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
		Started:    e.started,
		DataCentre: e.opts.DataCentre,
		Leaving:    e.leaving.Load(),
		Address:    e.address,

		RelayCapacity: e.opts.RelayCapacity,
	}
}

// SendState sends state to one instance. It does nothing if the instance is unknown.
func (e *Exchange) SendState(to string, state *gossippb.State) {
	address, ok := e.members.address(to)
	if !ok {
		return
	}
	for _, data := range e.encodeState(state) {
		e.write(data, address)
	}
}

// SendStateAll sends state to all live instances that are not leaving.
func (e *Exchange) SendStateAll(state *gossippb.State) {
	packed := e.encodeState(state)
	for _, id := range e.members.alive("", time.Now()) {
		address, ok := e.members.address(id)
		if !ok {
			continue
		}
		for _, data := range packed {
			e.write(data, address)
		}
	}
}

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

// receive handles a datagram. now is the time of its arrival, less the time for which
// a relay held it, if any.
func (e *Exchange) receive(msg *gossippb.Datagram, from netip.AddrPort, now time.Time) {
	id := msg.GetInstance()
	if id == e.opts.ID || id == "" {
		return
	}
	sender := presence{
		Member:  Member{ID: id, DataCentre: msg.GetDataCentre()},
		started: msg.GetStarted(), leaving: msg.GetLeaving(), relayCapacity: msg.GetRelayCapacity(),
	}
	if err := sender.Address.UnmarshalBinary(msg.GetAddress()); err != nil {
		e.opts.Logger.Warn("received datagram has an invalid sender address", "from", from, "error", err)
		return
	}
	if msg.GetPassOn() {
		msg.PassOn = false
		e.relay(msg, now)
	}
	if !e.members.recordDatagram(sender, now) {
		return
	}
	e.receiveBundle(msg.GetBundle(), from, now)
	for _, r := range msg.GetReadings() {
		e.opts.Board.Receive(decodeReading(r, now))
	}
	for _, r := range msg.GetResults() {
		e.opts.Board.ReceiveResults(readings.Results{Server: r.GetServer(), Good: int(r.GetGood()), Failed: int(r.GetFailed())}, now)
	}
	if message := msg.GetMessage(); message != nil && e.handleMessage != nil {
		e.handleMessage(id, message.GetKind(), message.GetPayload())
	}
	if chunk := msg.GetChunk(); chunk != nil {
		e.receiveChunk(id, chunk)
	}
	if want := msg.GetWant(); want != nil {
		if state := e.follower.State(want.GetServersVersion(), want.GetTableVersion()); state != nil {
			e.SendState(id, state)
		}
	}
	if f := msg.GetFreshness(); f != nil {
		e.receiveBacklogs(id, msg.GetBacklogs(), now)
		e.receiveFreshness(id, f, now)
	}
}

func (e *Exchange) receiveChunk(from string, chunk *gossippb.Chunk) {
	state, err := e.chunks.add(from, chunk)
	if err != nil {
		e.opts.Logger.Warn("received state is invalid", "from", from, "error", err)
		return
	}
	if state != nil {
		e.follower.ReceiveState(from, state)
	}
}

func (e *Exchange) receiveBacklogs(from string, encoded []*gossippb.Backlog, now time.Time) {
	backlogs := make([]admission.Backlog, len(encoded))
	for i, b := range encoded {
		backlogs[i] = admission.Backlog{
			Service: b.GetService(), Counts: admission.Counts{InTime: int(b.GetInTime()), Late: int(b.GetLate())},
		}
	}
	e.opts.Backlogs.Receive(from, backlogs, now)
}

func (e *Exchange) receiveFreshness(from string, f *gossippb.Freshness, now time.Time) {
	behind := e.follower.ReceiveFreshness(from, Freshness{
		ServersVersion: f.GetServersVersion(),
		TableVersion:   f.GetTableVersion(),
		At:             now.Add(-time.Duration(f.GetAgeMs()) * time.Millisecond),
		Read:           Read{Process: f.GetProcess(), Number: f.GetRead()},
	})
	if !behind || !e.members.mayRequestState(from, now, stateRequestInterval) {
		return
	}
	own := e.follower.Freshness()
	msg := e.newDatagram()
	msg.Want = &gossippb.Want{ServersVersion: own.ServersVersion, TableVersion: own.TableVersion}
	if address, ok := e.members.address(from); ok {
		e.sendTo(msg, []netip.AddrPort{address})
	}
}
