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
	// interval is the time between datagrams to instances that are alive. A
	// spell of other load on a server lasts some hundred milliseconds; readings
	// have to be much fresher.
	interval = 30 * time.Millisecond
	// nudgedAfter is the part of the pace after which fresh readings are sent,
	// and unaskedAfter that after which a datagram is sent without them. The
	// latter is longer, so that datagrams follow the rounds of status checks.
	nudgedAfter  = 0.7
	unaskedAfter = 1.2
	// instancesAtPace is the number of instances up to which datagrams are sent
	// at each interval, to each of them. With more, they are sent in proportion
	// less often and go through relays.
	instancesAtPace = 20
	// directGrowth is the power of the number of instances beyond that with
	// which the time between datagrams grows if there are no relays: each
	// datagram received costs processor time, and the instances of large fleets
	// have less of it.
	directGrowth = 1.5
	// maxPace bounds the time between datagrams.
	maxPace = 400 * time.Millisecond
	// quietInterval is the time between datagrams that tell nothing new.
	quietInterval = 200 * time.Millisecond
	// maxDatagram is the size of the receive buffer, in bytes.
	maxDatagram = 64 << 10
	// askInterval is the least time between two requests for state to one
	// instance.
	askInterval = 150 * time.Millisecond
)

// Freshness tells how recent a view of the store is.
type Freshness struct {
	// ServersVersion is the newest change to backend servers, TableVersion
	// the table in force.
	ServersVersion, TableVersion uint64
	// At is the moment for which the view is known to be current.
	At time.Time
	// Read is the read of the store that confirmed it.
	Read Read
}

// Read names one read of the store.
type Read struct {
	// Process stands for the process that read.
	Process uint32
	// Number counts the reads of the process, from 1.
	Number uint64
}

// Follower takes part in keeping the view of the store alike everywhere. Its
// methods must not block.
type Follower interface {
	// Freshness returns that of the local view.
	Freshness() Freshness
	// Heard takes in another instance's freshness and reports whether that
	// instance has something newer, for which it is then asked.
	Heard(from string, f Freshness) (behind bool)
	// Received takes in state that another instance sent.
	Received(from string, state *gossippb.State)
	// State returns what is newer than the versions, or nil.
	State(serversVersion, tableVersion uint64) *gossippb.State
}

// Options configure an [Exchange]. All are required.
type Options struct {
	Conn net.PacketConn
	// Address is where others reach this instance.
	Address    netip.AddrPort
	ID         string
	DataCentre string
	// RelayCapacity is how much this instance can pass on for others, in
	// thousandths of a core; 0 if its link is too slow for it.
	RelayCapacity uint32
	Board         *readings.Board
	Backlogs      *admission.Backlogs
	Logger        *slog.Logger
}

// Exchange sends and receives datagrams. It is safe for concurrent use.
type Exchange struct {
	opts     Options
	conn     *net.UDPConn
	started  int64
	address  []byte
	members  members
	chunks   assembler
	follower Follower
	message  func(from string, kind uint32, payload []byte)
	leaving  atomic.Bool
	transfer atomic.Uint64
	nudges   chan struct{}

	// sending guards what waits to be told, to the instances of the same data
	// centre and to those of others.
	sending           sync.Mutex
	nearNews, farNews *news
	// nearTurn and farTurn select the instances that pass datagrams on.
	nearTurn, farTurn int

	// bundles holds what this instance passes on.
	bundles bundles
	around  surroundings

	// Sent and Received count datagrams, SentBytes and ReceivedBytes their
	// bytes.
	Sent, Received, SentBytes, ReceivedBytes atomic.Uint64
}

// ConnError reports a connection that is not a UDP socket.
type ConnError struct{}

func (*ConnError) Error() string { return "gossip: the connection is no UDP socket" }

// New returns an exchange. It fails with [ConnError].
func New(opts Options) (*Exchange, error) {
	conn, ok := opts.Conn.(*net.UDPConn)
	if !ok {
		return nil, &ConnError{}
	}
	e := &Exchange{opts: opts, conn: conn, started: time.Now().UnixNano(), nudges: make(chan struct{}, 1), nearNews: newNews(), farNews: newNews()}
	e.members.byID = make(map[string]*member)
	var err error
	if e.address, err = opts.Address.MarshalBinary(); err != nil {
		return nil, fmt.Errorf("gossip: encode address: %w", err)
	}
	return e, nil
}

// Follow sets the follower. It must be called before Run.
func (e *Exchange) Follow(f Follower) { e.follower = f }

// HandleMessages sets what receives messages of other instances. It must be called
// before Run, and the handler must not block.
func (e *Exchange) HandleMessages(handle func(from string, kind uint32, payload []byte)) {
	e.message = handle
}

// UnknownError reports a message to an instance that is not known.
type UnknownError struct{ ID string }

func (err *UnknownError) Error() string {
	return fmt.Sprintf("gossip: instance %q is not known", err.ID)
}

// SendMessage sends a message to one instance; it may get lost. It fails with
// [UnknownError].
func (e *Exchange) SendMessage(to string, kind uint32, payload []byte) error {
	address, ok := e.members.address(to)
	if !ok {
		return &UnknownError{ID: to}
	}
	msg := e.head()
	msg.Message = &gossippb.Message{Kind: kind, Payload: payload}
	e.sendTo(msg, []netip.AddrPort{address})
	return nil
}

// Add makes another instance known.
func (e *Exchange) Add(m Member) {
	if m.ID != e.opts.ID {
		e.members.add(m)
	}
}

// Alive returns the IDs of the instances that are alive, with this one unless it
// leaves; dataCentre "" selects all.
func (e *Exchange) Alive(dataCentre string) []string {
	ids := e.members.alive(dataCentre, time.Now())
	if !e.leaving.Load() && (dataCentre == "" || dataCentre == e.opts.DataCentre) {
		ids = append(ids, e.opts.ID)
	}
	return ids
}

// TakeForgotten returns the instances that have been silent for 10 minutes and are
// forgotten since the last call.
func (e *Exchange) TakeForgotten() []string { return e.members.takeForgotten() }

// Known returns the number of instances known, with this one.
func (e *Exchange) Known() int { return e.members.count() + 1 }

// Pace returns the time between two datagrams to an instance of the same data
// centre.
func (e *Exchange) Pace() time.Duration { return e.look(time.Now()).pace }

// FarPace returns the time between two datagrams to another data centre.
func (e *Exchange) FarPace() time.Duration { return e.look(time.Now()).farPace }

// pace returns the time between two datagrams of an instance.
func pace(instances int, relayed bool) time.Duration {
	growth := float64(instances) / instancesAtPace
	if !relayed {
		growth = math.Pow(growth, directGrowth)
	}
	return min(max(time.Duration(growth*float64(interval)), interval), maxPace)
}

// Leave tells the others that this instance takes part in no duty any more.
func (e *Exchange) Leave() { e.leaving.Store(true) }

// Run sends and receives until ctx ends.
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
			e.opts.Logger.Warn("datagram not received", "error", err)
			continue
		}
		e.Received.Add(1)
		e.ReceivedBytes.Add(uint64(n))
		msg := &gossippb.Datagram{}
		if err := proto.Unmarshal(buf[:n], msg); err != nil {
			e.opts.Logger.Warn("datagram not understood", "from", from, "error", err)
			continue
		}
		e.receive(msg, from, time.Now())
	}
}

func (e *Exchange) send(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.nudges:
			e.tell(time.Now(), nudgedAfter)
		case now := <-ticker.C:
			e.tell(now, unaskedAfter)
			e.passBundles(now)
		}
	}
}

// Nudge sends what there is to tell soon.
func (e *Exchange) Nudge() {
	select {
	case e.nudges <- struct{}{}:
	default:
	}
}

// Flush tells the others of the local freshness at once.
func (e *Exchange) Flush() { e.tell(time.Now(), 0) }

// tell sends datagrams for which it is time. Bytes between data centres are dear:
// each other data centre gets one datagram, which one of its instances in turn
// passes on to the rest. The least time since the last datagram is given as a part
// of the pace; 0 sends at once.
func (e *Exchange) tell(now time.Time, after float64) {
	e.sending.Lock()
	defer e.sending.Unlock()
	observed, results := e.opts.Board.TakeUnshared()
	backlogs := e.opts.Backlogs.Own()
	e.nearNews.add(observed, results)
	e.farNews.add(observed, results)
	around := e.look(now)
	if after == 0 || e.nearNews.due(now, part(after, around.pace), len(backlogs) > 0) {
		e.sendNear(e.news(e.nearNews, backlogs, now), around, after == 0, now)
	}
	if after == 0 || e.farNews.due(now, part(after, around.farPace), len(backlogs) > 0) {
		msg := e.news(e.farNews, backlogs, now)
		msg.PassOn = true
		e.farTurn++
		e.sendTo(msg, e.members.relays(e.opts.DataCentre, e.farTurn, now))
	}
}

// sendNear sends to the instances of the same data centre: in a large one through
// a relay, unless it is urgent.
func (e *Exchange) sendNear(msg *gossippb.Datagram, around view, urgent bool, now time.Time) {
	silent := e.members.silent(now)
	if urgent || !around.large() || len(around.relays) == 0 {
		e.sendTo(msg, append(silent, around.near...))
		return
	}
	if len(silent) > 0 {
		e.sendTo(msg, silent)
	}
	e.nearTurn++
	relay := around.relays[e.nearTurn%len(around.relays)]
	if relay.ID == e.opts.ID {
		e.hold(msg, now)
		return
	}
	msg.PassOn = true
	e.sendTo(msg, []netip.AddrPort{relay.Address})
}

func part(of float64, pace time.Duration) time.Duration { return time.Duration(of * float64(pace)) }

// news returns a datagram with what is to be told.
func (e *Exchange) news(n *news, backlogs []admission.Backlog, now time.Time) *gossippb.Datagram {
	msg := e.head()
	f := e.follower.Freshness()
	msg.Freshness = &gossippb.Freshness{
		ServersVersion: f.ServersVersion,
		TableVersion:   f.TableVersion,
		AgeMs:          milliseconds(now.Sub(f.At) + time.Millisecond),
		Process:        f.Read.Process,
		Read:           f.Read.Number,
	}
	n.take(msg, now)
	for _, b := range backlogs {
		msg.Backlogs = append(msg.Backlogs, &gossippb.Backlog{Service: b.Service, InTime: uint32(b.InTime), Late: uint32(b.Late)})
	}
	return msg
}

func (e *Exchange) sendTo(msg *gossippb.Datagram, addresses []netip.AddrPort) {
	data, err := proto.Marshal(msg)
	if err != nil {
		e.opts.Logger.Error("datagram not encoded", "error", err)
		return
	}
	for _, address := range addresses {
		e.write(data, address)
	}
}

// write sends a datagram. An error is no different from a lost datagram, for
// which the protocol provides.
func (e *Exchange) write(data []byte, to netip.AddrPort) {
	n, err := e.conn.WriteToUDPAddrPort(data, to)
	if err != nil {
		e.opts.Logger.Debug("datagram not sent", "to", to, "error", err)
		return
	}
	e.Sent.Add(1)
	e.SentBytes.Add(uint64(n))
}

func (e *Exchange) head() *gossippb.Datagram {
	return &gossippb.Datagram{
		Instance:   e.opts.ID,
		Started:    e.started,
		DataCentre: e.opts.DataCentre,
		Leaving:    e.leaving.Load(),
		Address:    e.address,

		RelayCapacity: e.opts.RelayCapacity,
	}
}

// SendState sends state to one instance.
func (e *Exchange) SendState(to string, state *gossippb.State) {
	address, ok := e.members.address(to)
	if !ok {
		return
	}
	for _, data := range e.pack(state) {
		e.write(data, address)
	}
}

// SendStateAll sends state to all instances that are alive.
func (e *Exchange) SendStateAll(state *gossippb.State) {
	packed := e.pack(state)
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

// pack returns the datagrams that carry the state.
func (e *Exchange) pack(state *gossippb.State) [][]byte {
	parts, err := split(state)
	if err != nil {
		e.opts.Logger.Error("state not encoded", "error", err)
		return nil
	}
	transfer := e.transfer.Add(1)
	var packed [][]byte
	for i, part := range parts {
		msg := e.head()
		msg.Chunk = &gossippb.Chunk{Transfer: transfer, Index: uint32(i), Count: uint32(len(parts)), Data: part}
		data, err := proto.Marshal(msg)
		if err != nil {
			e.opts.Logger.Error("datagram not encoded", "error", err)
			return nil
		}
		packed = append(packed, data)
	}
	return packed
}

// receive takes in a datagram; now is when it was received, or what remains of
// that after the time for which a relay held it.
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
		e.opts.Logger.Warn("datagram not understood", "from", from, "error", err)
		return
	}
	if msg.GetPassOn() {
		msg.PassOn = false
		e.passOn(msg, now)
	}
	if !e.members.hear(sender, now) {
		return
	}
	e.receiveBundle(msg.GetBundle(), from, now)
	for _, r := range msg.GetReadings() {
		e.opts.Board.Receive(decodeReading(r, now))
	}
	for _, r := range msg.GetResults() {
		e.opts.Board.ReceiveResults(readings.Results{Server: r.GetServer(), Good: int(r.GetGood()), Failed: int(r.GetFailed())}, now)
	}
	if message := msg.GetMessage(); message != nil && e.message != nil {
		e.message(id, message.GetKind(), message.GetPayload())
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
		e.opts.Logger.Warn("state not understood", "from", from, "error", err)
		return
	}
	if state != nil {
		e.follower.Received(from, state)
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
	behind := e.follower.Heard(from, Freshness{
		ServersVersion: f.GetServersVersion(),
		TableVersion:   f.GetTableVersion(),
		At:             now.Add(-time.Duration(f.GetAgeMs()) * time.Millisecond),
		Read:           Read{Process: f.GetProcess(), Number: f.GetRead()},
	})
	if !behind || !e.members.mayAsk(from, now, askInterval) {
		return
	}
	own := e.follower.Freshness()
	msg := e.head()
	msg.Want = &gossippb.Want{ServersVersion: own.ServersVersion, TableVersion: own.TableVersion}
	if address, ok := e.members.address(from); ok {
		e.sendTo(msg, []netip.AddrPort{address})
	}
}
