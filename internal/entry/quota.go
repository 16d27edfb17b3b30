package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/quota"
	"github.com/pomelolock/pomelolock/quota/quotapb"
	"github.com/pomelolock/pomelolock/storeclock"
	"github.com/pomelolock/pomelolock/table"
)

// quotaInterval is the time between two looks for requests for shares that are due.
const quotaInterval = 50 * time.Millisecond

// quotas caps the requests of workspaces. It implements [forward.Quota].
type quotas struct {
	share     *quota.Share
	allocator *quota.Allocator
	current   *table.Current
	logger    *slog.Logger
	// local returns the local time, which was beganLocal at began.
	local      func() time.Duration
	beganLocal time.Duration
	began      time.Time

	mu sync.Mutex
	// last is the table whose caps are in force, capped whether it has any.
	last   *table.Snapshot
	capped bool
}

func (d *Daemon) wireQuota() {
	now, logger := time.Now(), d.logger.With("part", "quota")
	d.quotas = &quotas{
		local: storeclock.BootTime, beganLocal: storeclock.BootTime(), began: now,
		share: quota.NewShare(quota.ShareOptions{
			Process: rand.Uint32(), Started: now, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Logger: logger,
		}),
		allocator: quota.NewAllocator(now), current: d.current, logger: logger,
	}
	d.quotas.setLimits(d.settings.Load().Caps)
	d.messages.handle(kindShareRequest, d.receiveShareRequest)
	d.messages.handle(kindShareGrant, d.receiveShareGrant)
}

// now returns the time by which shares are lent and granted. It includes the time for which the
// machine is suspended: by Go's monotonic clock, a grant would be in use again afterwards,
// although others have had it since.
func (q *quotas) now() time.Time { return q.began.Add(q.local() - q.beganLocal) }

func (q *quotas) setLimits(limits quota.Limits) {
	q.share.SetLimits(limits)
	q.allocator.SetLimits(limits)
}

// refresh puts the caps of the newest table in force and reports whether there are any.
func (q *quotas) refresh(now time.Time) bool {
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
	q.share.SetTable(t, now)
	q.allocator.SetTable(t)
	if t.Capped() || q.capped {
		q.logger.Info("caps in force", "version", t.Version(), "workspaces", len(caps))
	}
	q.last, q.capped = snapshot, t.Capped()
	return q.capped
}

// Take implements [forward.Quota].
func (q *quotas) Take(workspace string) quota.Decision {
	now := q.now()
	q.refresh(now)
	return q.share.Take(workspace, now)
}

// Return implements [forward.Quota].
func (q *quotas) Return(workspace string) { q.share.Return(workspace, q.now()) }

// shareQuotas sends requests for shares of caps. Without caps, it sends nothing.
func (d *Daemon) shareQuotas(ctx context.Context) error {
	for sleep(ctx, quotaInterval) {
		limits := d.settings.Load().Caps
		d.quotas.setLimits(limits)
		if now := d.quotas.now(); d.quotas.refresh(now) && limits.Window > 0 {
			for _, m := range d.quotas.share.Poll(d.quotaFleet(), now) {
				d.sendShareRequest(m)
			}
		}
	}
	return nil
}

// quotaFleet describes the fleet to the share of this instance.
func (d *Daemon) quotaFleet() quota.Fleet {
	return quota.Fleet{
		Instances: d.sharers(), Lend: d.knowsFleet() && !d.leaving.Load(), Readers: d.exchange.Readers(),
	}
}

// sendShareRequest sends a request to an allocator, which may be this instance.
func (d *Daemon) sendShareRequest(m quota.Message) {
	if m.To == d.self.ID {
		d.quotas.share.Receive(m.To, d.quotas.allocator.Receive(m.To, m.Request, d.quotas.now()), d.quotas.now())
		return
	}
	d.sendQuota(m.To, kindShareRequest, m.Request)
}

func (d *Daemon) receiveShareRequest(from string, payload []byte) {
	req := &quotapb.ShareRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		d.quotas.logger.Warn("message is invalid", "from", from, "error", err)
		return
	}
	now := d.quotas.now()
	d.quotas.refresh(now)
	d.sendQuota(from, kindShareGrant, d.quotas.allocator.Receive(from, req, now))
}

func (d *Daemon) receiveShareGrant(from string, payload []byte) {
	grant := &quotapb.ShareGrant{}
	if err := proto.Unmarshal(payload, grant); err != nil {
		d.quotas.logger.Warn("message is invalid", "from", from, "error", err)
		return
	}
	d.quotas.share.Receive(from, grant, d.quotas.now())
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
