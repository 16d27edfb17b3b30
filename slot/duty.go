package slot

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// syncRetry is the least time between two accesses of the table service
	// for one group.
	syncRetry = 200 * time.Millisecond
	// proofWait is how long the holders have to prove an epoch before the
	// table service is asked to.
	proofWait = 30 * time.Millisecond
)

// duty is a coordinator that runs on this instance.
type duty struct {
	mu       sync.Mutex
	c        *coordinator
	syncedAt time.Time
	// proofSince is when a proof of the epoch began to be needed.
	proofSince time.Time
	// checkedAt is when the record was last checked for a higher epoch.
	checkedAt time.Time
}

func (d *duty) onAsk(from string, ask *slotpb.Ask, now time.Time) []outgoingGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.tick(now)
	d.c.onAsk(from, ask, now)
	d.seekProof(now)
	return d.c.flush(now)
}

func (d *duty) configure(specs []serverSpec, drain time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.setServers(specs, now)
	d.c.drain = max(d.c.drain, drain)
}

// tick does the periodic work and tells what else is to be done.
func (d *duty) tick(inView func(string) bool, now time.Time) (out []outgoingGrant, sync, resigned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.noteView(inView, now)
	d.c.tick(now)
	d.seekProof(now)
	sync = d.syncDue(now)
	return d.c.flush(now), sync, d.c.resigned
}

// seekProof asks the holders for a proof of the epoch if one is needed.
func (d *duty) seekProof(now time.Time) {
	switch {
	case !d.c.needsProof(now):
		d.proofSince = time.Time{}
	case d.proofSince.IsZero():
		d.proofSince = now
		d.c.askProof()
	case now.Sub(d.proofSince) >= gatherInterval:
		d.c.askProof()
	}
}

// syncDue reports whether the record should be written: to add holders, or to
// prove the epoch that too few holders proved.
func (d *duty) syncDue(now time.Time) bool {
	if now.Sub(d.syncedAt) < syncRetry {
		return false
	}
	unproved := !d.proofSince.IsZero() && (len(d.c.recorded) < 2 || now.Sub(d.proofSince) >= proofWait)
	if !unproved && len(d.c.unrecorded()) == 0 {
		return false
	}
	d.syncedAt = now
	return true
}

func (m *Manager) duty(g group) *duty {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.duties[g]
}

func (m *Manager) allDuties() map[group]*duty {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return maps.Clone(m.duties)
}

func (m *Manager) tickDuties(now time.Time) {
	var grants []outgoingGrant
	for g, d := range m.allDuties() {
		out, sync, resigned := d.tick(m.inView, now)
		grants = append(grants, out...)
		if sync {
			m.submit(storeJob{group: g})
		} else if d.checkDue(now) {
			m.submit(storeJob{group: g, check: true})
		}
		if resigned {
			m.dropDuty(g, d)
		}
	}
	m.sendGrants(grants)
}

// checkDue reports whether the record should be read for a higher epoch.
func (d *duty) checkDue(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.checkedAt) < checkInterval || !d.c.inUse() {
		return false
	}
	d.checkedAt = now
	return true
}

// inView reports whether the instance is believed live.
func (m *Manager) inView(id string) bool {
	return slices.ContainsFunc(m.opts.View.Entries(), func(i storage.Instance) bool { return i.ID == id })
}

// settleDuty does what an ask made necessary at once.
func (m *Manager) settleDuty(g group, d *duty, now time.Time) {
	d.mu.Lock()
	sync, resigned := d.syncDue(now), d.c.resigned
	d.mu.Unlock()
	if sync {
		m.submit(storeJob{group: g})
	}
	if resigned {
		m.dropDuty(g, d)
	}
}

func (m *Manager) dropDuty(g group, d *duty) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.duties[g] == d {
		delete(m.duties, g)
		m.log.Info("slot_coordinator_resigned", "service", g.service, "data_centre", g.dataCentre, "epoch", d.c.epoch)
	}
}

// addDuty starts a coordinator unless one of the same or a later epoch runs.
func (m *Manager) addDuty(c *coordinator, now time.Time) bool {
	snapshot := m.opts.Current.Load()
	if snapshot == nil {
		return false
	}
	c.setServers(m.specs(snapshot, c.group), now)
	c.drain = max(c.drain, drainTime(snapshot, c.group.service))
	if service := snapshot.Service(c.group.service); service != nil {
		c.ramp = time.Duration(service.RampMS) * time.Millisecond
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.duties[c.group]; old != nil && old.c.epoch >= c.epoch || m.leaving {
		return false
	}
	m.duties[c.group] = &duty{c: c}
	m.log.Info("slot_coordinator_started", "service", c.group.service, "data_centre", c.group.dataCentre,
		"epoch", c.epoch, "recorded_holders", len(c.recorded))
	return true
}
