package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// gate blocks all operations that pass it while it is frozen, like an instance
// stopped by SIGSTOP.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
	dead   bool
}

var errDead = errors.New("instance killed")

// kill makes all later operations fail.
func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

func (g *gate) check(op string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return &storage.UnavailableError{Op: op, Err: errDead}
	}
	return nil
}

func (g *gate) set(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case frozen && g.frozen == nil:
		g.frozen = make(chan struct{})
	case !frozen && g.frozen != nil:
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// gatedTables blocks before and after each operation while its gate is frozen.
type gatedTables struct {
	storage.TableService
	gate *gate
}

func (s gatedTables) Get(ctx context.Context, key string) (storage.Record, error) {
	s.gate.pass()
	defer s.gate.pass()
	if err := s.gate.check("get"); err != nil {
		return storage.Record{}, err
	}
	return s.TableService.Get(ctx, key)
}

func (s gatedTables) Put(ctx context.Context, key string, value []byte, expect storage.Version) (storage.Version, error) {
	s.gate.pass()
	defer s.gate.pass()
	if err := s.gate.check("put"); err != nil {
		return storage.Absent, err
	}
	return s.TableService.Put(ctx, key, value, expect)
}

type gatedMessenger struct {
	peer.Messenger
	gate *gate
}

func (m gatedMessenger) Call(ctx context.Context, to string, kind peerpb.Kind, req, resp proto.Message) error {
	m.gate.pass()
	defer m.gate.pass()
	return m.Messenger.Call(ctx, to, kind, req, resp)
}

func (m gatedMessenger) Handle(kind peerpb.Kind, h peer.Handler) {
	m.Messenger.Handle(kind, func(ctx context.Context, from string, payload []byte) (proto.Message, error) {
		m.gate.pass()
		defer m.gate.pass()
		return h(ctx, from, payload)
	})
}

// view is a membership view that the test sets, possibly to a wrong value.
type view struct {
	mu      sync.Mutex
	self    string
	ids     []string
	changed chan struct{}
}

func (v *view) Self() storage.Instance { return storage.Instance{ID: v.self} }

func (v *view) Entries() []storage.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	var entries []storage.Instance
	for _, id := range v.ids {
		entries = append(entries, storage.Instance{ID: id})
	}
	return entries
}

func (v *view) LeavingServer(string) bool { return false }

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) set(ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ids = ids
	close(v.changed)
	v.changed = make(chan struct{})
}

type instance struct {
	id      string
	journal *claim.Journal
	view    *view
	gate    *gate
	cancel  context.CancelFunc
	done    chan struct{}
}

// fleet runs journals that share one store and one network.
type fleet struct {
	store     *memory.Store
	net       *peertest.Network
	current   *table.Current
	options   claim.Options
	instances []*instance
	started   int
}

func newFleet(fleetLimits table.Fleet, options claim.Options) *fleet {
	f := &fleet{
		store:   memory.New(),
		net:     peertest.NewNetwork(200 * time.Microsecond),
		current: table.NewCurrent(),
		options: options,
	}
	f.current.Swap(table.Compile(table.Document{
		Version:  1,
		Fleet:    fleetLimits,
		Services: []table.Service{{Name: "order", DeadlineMS: 5000}},
	}))
	return f
}

// start adds an instance and returns it.
func (f *fleet) start() *instance {
	f.started++
	id := fmt.Sprintf("entry-%02d", f.started)
	in := &instance{id: id, gate: new(gate), done: make(chan struct{})}
	in.view = &view{self: id, changed: make(chan struct{})}
	options := f.options
	options.Messenger = gatedMessenger{f.net.Join(id), in.gate}
	options.View = in.view
	options.Tables = gatedTables{f.store, in.gate}
	options.Objects = f.store
	options.Current = f.current
	in.journal = claim.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	go func() {
		defer close(in.done)
		_ = in.journal.Run(ctx)
	}()
	f.instances = append(f.instances, in)
	f.publish()
	return in
}

// publish sets the correct membership in the view of every instance.
func (f *fleet) publish() {
	for _, in := range f.instances {
		in.view.set(f.ids())
	}
}

func (f *fleet) ids() []string {
	var ids []string
	for _, in := range f.instances {
		ids = append(ids, in.id)
	}
	return ids
}

// kill ends an instance without a handover.
func (f *fleet) kill(i int) {
	in := f.instances[i]
	f.instances = append(f.instances[:i:i], f.instances[i+1:]...)
	in.gate.kill()
	f.net.Leave(in.id)
	in.cancel()
	in.gate.set(false)
	<-in.done
}

func (f *fleet) stop() {
	for len(f.instances) > 0 {
		f.kill(0)
	}
}

func orderRequest(key, attempt, body string) claim.Request {
	req := claim.Request{Service: "order", Key: key, Attempt: attempt}
	copy(req.Fingerprint[:], body)
	return req
}

func (f *fleet) setFaults(change func(*memory.Faults)) {
	faults := f.store.Faults()
	change(&faults)
	f.store.SetFaults(faults)
}

func (f *fleet) heal() {
	f.store.SetFaults(memory.Faults{})
	f.publish()
	for _, in := range f.instances {
		in.gate.set(false)
		for _, other := range f.instances {
			f.net.SetCut(in.id, other.id, false)
		}
	}
}
