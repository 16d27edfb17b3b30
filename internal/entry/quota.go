package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/quota"
	"github.com/pomelolock/pomelolock/quota/quotapb"
	"github.com/pomelolock/pomelolock/storeclock"
	"github.com/pomelolock/pomelolock/table"
)

// quotaInterval is the time between two looks at the settings and at the instances that can be
// allocators, while the table has caps.
const quotaInterval = 100 * time.Millisecond

// meetingTime is the time after which a process has met the instances of its fleet.
const meetingTime = 10 * time.Second

// quotas caps the requests of workspaces. It implements [forward.Quota].
type quotas struct {
	client    *quota.Client
	allocator *quota.Allocator
	parts     *quota.Parts
	current   *table.Current
	logger    *slog.Logger
	// local returns the time since the machine started, including suspension. It was
	// beganLocal at began.
	local      func() time.Duration
	beganLocal time.Duration
	began      time.Time

	mu sync.Mutex
	// last is the table whose caps are in force, capped whether it has any.
	last   *table.Snapshot
	capped bool

	// fleetMu guards the fields below. The client asks for them with its own lock held, which
	// refresh takes while it holds mu.
	fleetMu sync.Mutex
	// allocators are the instances that can be allocators, the same since allocatorsSince.
	allocators      []string
	allocatorsSince time.Time
	// heard is the part of the fleet that this instance hears.
	heard float64
}

func (d *Daemon) wireQuota() {
	logger := d.logger.With("part", "quota")
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	bootTime := d.opts.BootTime
	if bootTime == nil {
		bootTime = storeclock.BootTime
	}
	process := rand.Uint32()
	parts := quota.NewParts(quota.PartsOptions{ID: d.self.ID, Process: process, Send: d.sendLoan, Logger: logger})
	d.quotas = &quotas{
		parts: parts,
		client: quota.NewClient(quota.ClientOptions{
			Process: process, Random: random(), Fleet: d.quotaFleet, Send: d.sendUnitRequest, BootTime: bootTime, Logger: logger,
		}),
		allocator: quota.NewAllocator(quota.AllocatorOptions{
			ID: d.self.ID, Process: process, Random: random(), Send: d.sendBucketRequest, Part: parts.Share, Logger: logger,
		}),
		current: d.current, logger: logger, heard: 1.0 / assumedInstances,
		local: bootTime, beganLocal: bootTime(), began: time.Now(),
	}
	d.quotas.allocatorsSince = d.quotas.began
	d.quotas.setLimits(d.settings.Load().Caps)
	d.messages.handle(kindUnitRequest, d.receiveUnitRequest)
	d.messages.handle(kindUnitGrant, d.receiveUnitGrant)
	d.messages.handle(kindBucketRequest, d.receiveBucketRequest)
	d.messages.handle(kindBucketReply, d.receiveBucketReply)
	d.messages.handle(kindLoan, d.receiveLoan)
}

// now returns the time. Unlike [time.Now], the difference of two times includes suspension, in
// which another allocator takes over.
func (q *quotas) now() time.Time { return q.began.Add(q.local() - q.beganLocal) }

func (q *quotas) setLimits(limits quota.Limits) {
	q.client.SetLimits(limits)
	q.allocator.SetLimits(limits)
}

// refresh puts the caps of the newest table in force and reports whether there are any.
func (q *quotas) refresh() bool {
	snapshot := q.current.Load()
	q.mu.Lock()
	defer q.mu.Unlock()
	if snapshot == q.last || snapshot == nil {
		return q.capped
	}
	caps := make(map[string]quota.Cap)
	for _, w := range snapshot.Document().Workspaces {
		caps[w.Name] = quota.Cap{PerSecond: w.RatePerSecond, Burst: w.Burst}
	}
	t := quota.NewTable(snapshot.Version(), caps)
	q.client.SetTable(t)
	q.allocator.SetTable(t)
	if t.Capped() || q.capped {
		q.logger.Info("caps in force", "version", t.Version(), "workspaces", len(caps))
	}
	q.last, q.capped = snapshot, t.Capped()
	return q.capped
}

// Take implements [forward.Quota].
func (q *quotas) Take(ctx context.Context, workspace string) quota.Decision {
	q.refresh()
	return q.client.Take(ctx, workspace)
}

// Return implements [forward.Quota].
func (q *quotas) Return(unit quota.Unit) { q.client.Return(unit) }

// followQuotas keeps what the caps depend on up to date. Without caps, it waits for a table that
// has some.
func (d *Daemon) followQuotas(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := d.current.Changed()
		d.quotas.setLimits(d.settings.Load().Caps)
		if !d.quotas.refresh() {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		now := d.quotas.now()
		d.quotas.setAllocators(d.exchange.StrongRelays(), now)
		d.quotas.setHeard(d.heardShare())
		d.quotas.parts.Tick(d.partsView(), now)
		d.quotas.allocator.Tick(d.quotas.role(), now)
		sleep(ctx, quotaInterval)
	}
	return nil
}

// partsView describes the fleet to the parts of caps. A process that has just started takes those that it
// knows for the fleet, like [Daemon.heardShare].
func (d *Daemon) partsView() quota.PartsView {
	instances := d.exchange.Known()
	if !d.joined.Load() && instances <= 1 {
		instances = assumedInstances
	}
	view := quota.PartsView{
		Own: 1 / float64(max(instances, 1)), Relays: d.exchange.Relays(), Allocators: d.quotas.allocatorIDs(), Live: d.exchange.Alive(""),
	}
	slices.Sort(view.Relays)
	return view
}

// setAllocators records the instances that can be allocators. If there are none, because the only
// one is leaving, it goes on.
func (q *quotas) setAllocators(allocators []string, now time.Time) {
	q.fleetMu.Lock()
	defer q.fleetMu.Unlock()
	if len(allocators) > 0 && !slices.Equal(allocators, q.allocators) {
		q.logger.Info("allocators of caps changed", "allocators", strings.Join(allocators, " "), "before", strings.Join(q.allocators, " "),
			"held", now.Sub(q.allocatorsSince), "heard_share", q.heard)
		q.allocators, q.allocatorsSince = allocators, now
	}
}

// allocatorIDs returns the IDs of the instances that can be allocators.
func (q *quotas) allocatorIDs() []string {
	q.fleetMu.Lock()
	defer q.fleetMu.Unlock()
	return q.allocators
}

// quotaFleet describes the fleet to the client.
func (d *Daemon) quotaFleet() quota.Fleet {
	return quota.Fleet{Instances: d.sharers(), Allocators: d.quotas.allocatorIDs(), Heard: d.quotas.knownShare()}
}

// heardShare returns the part of the fleet that this instance hears. One that knows nobody may
// have been cut off from the others. One that has just started grants before it knows all: until
// the others know it, only its own requests ask it.
func (d *Daemon) heardShare() float64 {
	if !d.joined.Load() && d.exchange.Known() <= 1 {
		return 1.0 / assumedInstances
	}
	return d.exchange.HeardShare()
}

func (q *quotas) setHeard(share float64) {
	q.fleetMu.Lock()
	defer q.fleetMu.Unlock()
	q.heard = share
}

// knownShare returns the part of the fleet that this instance hears, or 0 if it may not have met all
// instances yet.
func (q *quotas) knownShare() float64 {
	if q.now().Sub(q.began) < meetingTime {
		return 0
	}
	return q.role().Share
}

// role describes this instance as an allocator.
func (q *quotas) role() quota.Role {
	q.fleetMu.Lock()
	defer q.fleetMu.Unlock()
	return quota.Role{Share: q.heard, Allocators: q.allocators}
}

// sendUnitRequest sends a request to an allocator, which may be this instance.
func (d *Daemon) sendUnitRequest(to string, req *quotapb.UnitRequest) {
	if to != d.self.ID {
		d.sendQuota(to, kindUnitRequest, req)
		return
	}
	if grant := d.quotas.allocator.Receive(to, req, d.quotas.role(), d.quotas.now()); grant != nil {
		d.quotas.client.Receive(to, grant)
	}
}

func (d *Daemon) receiveUnitRequest(from string, payload []byte) {
	req := &quotapb.UnitRequest{}
	if !d.quotas.decode(from, payload, req) {
		return
	}
	d.quotas.refresh()
	if grant := d.quotas.allocator.Receive(from, req, d.quotas.role(), d.quotas.now()); grant != nil {
		d.sendQuota(from, kindUnitGrant, grant)
	}
}

func (d *Daemon) receiveUnitGrant(from string, payload []byte) {
	grant := &quotapb.UnitGrant{}
	if d.quotas.decode(from, payload, grant) {
		d.quotas.client.Receive(from, grant)
	}
}

// sendBucketRequest asks another allocator for a bucket.
func (d *Daemon) sendBucketRequest(to string, req *quotapb.BucketRequest) {
	d.sendQuota(to, kindBucketRequest, req)
}

func (d *Daemon) receiveBucketRequest(from string, payload []byte) {
	req := &quotapb.BucketRequest{}
	if !d.quotas.decode(from, payload, req) {
		return
	}
	d.quotas.refresh()
	if reply := d.quotas.allocator.ReceiveBucketRequest(from, req, d.quotas.role(), d.quotas.now()); reply != nil {
		d.sendQuota(from, kindBucketReply, reply)
	}
}

func (d *Daemon) receiveBucketReply(from string, payload []byte) {
	reply := &quotapb.BucketReply{}
	if d.quotas.decode(from, payload, reply) {
		d.quotas.allocator.ReceiveBucketReply(from, reply, d.quotas.role(), d.quotas.now())
	}
}

// sendLoan sends a message about a part of the caps.
func (d *Daemon) sendLoan(to string, msg *quotapb.Loan) { d.sendQuota(to, kindLoan, msg) }

func (d *Daemon) receiveLoan(from string, payload []byte) {
	msg := &quotapb.Loan{}
	if d.quotas.decode(from, payload, msg) {
		d.quotas.parts.Receive(from, msg, d.quotas.now())
	}
}

// decode decodes a message of another instance and reports whether it is valid.
func (q *quotas) decode(from string, payload []byte, msg proto.Message) bool {
	err := proto.Unmarshal(payload, msg)
	if err != nil {
		q.logger.Warn("message is invalid", "from", from, "error", err)
	}
	return err == nil
}

// sendQuota sends a message. A failure to send is equivalent to the loss of the message.
func (d *Daemon) sendQuota(to string, kind peerpb.Kind, msg proto.Message) {
	payload, err := proto.Marshal(msg)
	if err == nil {
		err = d.exchange.SendMessage(to, uint32(kind), payload)
	}
	if err != nil {
		d.quotas.logger.Debug("message not sent", "to", to, "error", err)
	}
}
