package slot

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/slot/slotpb"
	"github.com/pomelolock/pomelolock/storage"
)

// storeTimeout bounds one storeJob.
const storeTimeout = 3 * time.Second

// holderRetention is how long a holder that is not live stays in the record after
// its last request could still have been running.
const holderRetention = 10 * time.Second

// storeJob is a job for a store worker: to take over a group, or to write or
// check the record of a coordinator that runs here.
type storeJob struct {
	group group
	// from is the holder whose Ask caused a takeover; epoch is the one that it
	// knows.
	from  string
	epoch uint64
	// suspect is set if the recorded coordinator does not respond to from.
	suspect bool
	// check restricts the job to reading the record for a higher epoch.
	check bool
}

// submit queues a job. It drops the job if the group has one already, the queue
// is full, or this instance hands its coordinators over; later Ask messages and
// ticks submit it again.
func (m *Manager) submit(job storeJob) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pendingJobs[job.group] || m.leaving {
		return
	}
	select {
	case m.jobs <- job:
		m.pendingJobs[job.group] = true
	default:
	}
}

func (m *Manager) runStoreWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-m.jobs:
			m.runJob(ctx, job)
			m.mu.Lock()
			delete(m.pendingJobs, job.group)
			m.mu.Unlock()
		}
	}
}

func (m *Manager) runJob(ctx context.Context, job storeJob) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var err error
	switch d := m.driver(job.group); {
	case job.check:
		err = m.checkRecord(ctx, job.group, d)
	case d != nil:
		err = m.syncRecord(ctx, job.group, d)
	default:
		err = m.takeOver(ctx, job)
	}
	if err != nil {
		m.counters.storeErrors.Add(1)
		m.log.Debug("slot_record_failed", "service", job.group.service, "data_centre", job.group.dataCentre, "err", err)
		return
	}
	m.tickDrivers(time.Now())
}

// readRecord returns the group's record and its version. If there is none, it
// returns an empty record and [storage.Absent].
func (m *Manager) readRecord(ctx context.Context, g group) (*slotpb.Record, storage.Version, error) {
	m.counters.storeReads.Add(1)
	stored, err := m.opts.Tables.Get(ctx, g.key())
	var missing *storage.NotFoundError
	if errors.As(err, &missing) {
		return &slotpb.Record{}, storage.Absent, nil
	}
	if err != nil {
		return nil, storage.Absent, fmt.Errorf("read record: %w", err)
	}
	record := &slotpb.Record{}
	if err := proto.Unmarshal(stored.Value, record); err != nil {
		return nil, storage.Absent, fmt.Errorf("decode record: %w", err)
	}
	return record, stored.Version, nil
}

// writeRecord writes the record if its version is still as expected. After an
// unknown outcome it reads the record back to decide.
func (m *Manager) writeRecord(ctx context.Context, g group, record *slotpb.Record, expect storage.Version) error {
	value, err := proto.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	m.counters.storeWrites.Add(1)
	_, err = m.opts.Tables.Put(ctx, g.key(), value, expect)
	var unknown *storage.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		if err != nil {
			return fmt.Errorf("write record: %w", err)
		}
		return nil
	}
	present, _, readErr := m.readRecord(ctx, g)
	if readErr != nil {
		return fmt.Errorf("write record: %w", err)
	}
	if !proto.Equal(present, record) {
		return fmt.Errorf("write record: %w", err)
	}
	return nil
}

// takeOver raises the group's epoch and starts its coordinator here. If another
// instance is or should be the coordinator, it redirects the holder to it.
func (m *Manager) takeOver(ctx context.Context, job storeJob) error {
	record, version, err := m.readRecord(ctx, job.group)
	if err != nil {
		return err
	}
	owner := record.GetOwner()
	suspect := job.suspect && job.epoch >= record.GetEpoch()
	if owner != "" && owner != m.self && !suspect && m.isLive(owner) {
		m.redirect(job, record)
		return nil
	}
	if other := m.candidate(job.group, owner); other != m.self && owner != m.self && m.reachable(other) {
		m.redirect(job, &slotpb.Record{Epoch: record.GetEpoch(), Owner: other})
		return nil
	}
	next := &slotpb.Record{
		Epoch:   record.GetEpoch() + 1,
		Owner:   m.self,
		Holders: m.withLocalInstances(append(record.GetHolders(), job.from), job.group),
		DrainMs: max(record.GetDrainMs(), m.maxRunTime(job.group).Milliseconds()),
		Earlier: earlierSets(record),
	}
	started := time.Now()
	if err := m.writeRecord(ctx, job.group, next, version); err != nil {
		return err
	}
	m.counters.takeovers.Add(1)
	m.addDriver(newCoordinator(coordinatorConfig{
		group: job.group, self: m.self, epoch: next.GetEpoch(), recorded: next.GetHolders(),
		maxRunTime: time.Duration(next.GetDrainMs()) * time.Millisecond,
		earlier:    holderSets(next), takeoverDone: version == storage.Absent, confirmedAt: started,
	}, time.Now()), time.Now())
	return nil
}

func (m *Manager) redirect(job storeJob, record *slotpb.Record) {
	grant := &slotpb.Grant{Group: job.group.proto(), Epoch: record.GetEpoch(), Coordinator: record.GetOwner()}
	m.sendGrants([]outgoingGrant{{to: job.from, grant: grant}})
}

// isLive reports whether the instance is in the membership view and connected.
func (m *Manager) isLive(id string) bool {
	if id != m.self && !m.reachable(id) {
		return false
	}
	for _, instance := range m.opts.View.Entries() {
		if instance.ID == id {
			return true
		}
	}
	return false
}

func (m *Manager) maxRunTime(g group) time.Duration {
	if snapshot := m.opts.Current.Load(); snapshot != nil {
		return maxRunTimeOf(snapshot, g.service)
	}
	return 0
}

// withLocalInstances adds the instances of the group's data centre in the
// membership view to ids, so that adding them later needs no further writes.
func (m *Manager) withLocalInstances(ids []string, g group) []string {
	for _, instance := range m.opts.View.Entries() {
		if instance.DataCentre == g.dataCentre {
			ids = append(ids, instance.ID)
		}
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return slices.DeleteFunc(ids, func(id string) bool { return id == "" })
}

// syncRecord writes the record of a coordinator that runs here. It adds new
// holders and removes those that left. The write also proves the epoch.
func (m *Manager) syncRecord(ctx context.Context, g group, d *driver) error {
	started := time.Now()
	record, version, err := m.readRecord(ctx, g)
	if err != nil {
		return err
	}
	next := d.nextRecord(record, m.self, m.isLive, started)
	if next == nil {
		return nil
	}
	next.Holders = m.withLocalInstances(next.GetHolders(), g)
	d.setPending(next.GetHolders())
	if err := m.writeRecord(ctx, g, next, version); err != nil {
		return err
	}
	d.setRecorded(next, started, time.Now())
	return nil
}

// checkRecord makes the coordinator resign if the record has a higher epoch.
func (m *Manager) checkRecord(ctx context.Context, g group, d *driver) error {
	record, _, err := m.readRecord(ctx, g)
	if err != nil || d == nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.resigned = d.c.resigned || record.GetEpoch() > d.c.epoch
	return nil
}

// nextRecord returns the record to write in place of the one that was read, or
// nil if that has another epoch. A higher one makes the coordinator resign.
func (d *driver) nextRecord(record *slotpb.Record, self string, live func(string) bool, now time.Time) *slotpb.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	if record.GetEpoch() != d.c.epoch {
		d.c.resigned = d.c.resigned || record.GetEpoch() > d.c.epoch
		return nil
	}
	holders := append(slices.Clone(record.GetHolders()), d.c.unrecorded()...)
	earlier := record.GetEarlier()
	if d.c.active {
		earlier = nil
	}
	return &slotpb.Record{
		Epoch: d.c.epoch,
		Owner: self,
		Holders: slices.DeleteFunc(holders, func(id string) bool {
			return d.c.removable(id, now) && !live(id)
		}),
		DrainMs: max(record.GetDrainMs(), d.c.maxRunTime.Milliseconds()),
		Earlier: earlier,
	}
}

// earlierSets returns the sets of holders whose quorums a successor of the
// record's epoch must block.
func earlierSets(record *slotpb.Record) []*slotpb.HolderSet {
	sets := record.GetEarlier()
	for _, set := range sets {
		if slices.Equal(set.GetHolders(), record.GetHolders()) {
			return sets
		}
	}
	return append(sets, &slotpb.HolderSet{Holders: record.GetHolders()})
}

func holderSets(record *slotpb.Record) [][]string {
	var sets [][]string
	for _, set := range record.GetEarlier() {
		sets = append(sets, set.GetHolders())
	}
	return sets
}

// setPending passes the holders of a record to the coordinator before it is
// written.
func (d *driver) setPending(holders []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.setPending(holders)
}

// setRecorded passes the holders of a record to the coordinator after it was
// written. The write, started at the given time, proves the epoch.
func (d *driver) setRecorded(record *slotpb.Record, started, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.setRecorded(record.GetHolders(), now)
	d.c.confirm(started)
}
