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
	// syncInterval is the minimum time between two attempts of a running
	// coordinator to write its record.
	syncInterval = 200 * time.Millisecond
	// holderProofTimeout is how long the holders have to prove an epoch before
	// the coordinator writes the record instead.
	holderProofTimeout = 30 * time.Millisecond
)

// driver runs a coordinator on this instance. It serializes access and schedules
// the coordinator's use of the table service.
type driver struct {
	mu       sync.Mutex
	c        *coordinator
	syncedAt time.Time
	// proofSince is since when a proof of the epoch has been needed; zero if
	// none is.
	proofSince time.Time
	// checkedAt is when the record was last checked for a higher epoch.
	checkedAt time.Time
}

func (d *driver) onAsk(from string, ask *slotpb.Ask, now time.Time) []outgoingGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.tick(now)
	d.c.onAsk(from, ask, now)
	d.renewProof(now)
	return d.c.flush(now)
}

func (d *driver) configure(specs []serverSpec, maxRunTime time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.setServers(specs, now)
	d.c.maxRunTime = max(d.c.maxRunTime, maxRunTime)
}

// tick does the periodic work. It returns the messages to send, whether the
// record should be written, and whether the coordinator has resigned.
func (d *driver) tick(inView func(string) bool, now time.Time) (out []outgoingGrant, sync, resigned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.updateRemoved(inView, now)
	d.c.tick(now)
	d.renewProof(now)
	sync = d.syncDue(now)
	return d.c.flush(now), sync, d.c.resigned
}

// renewProof requests a proof of the epoch from the holders while one is needed.
func (d *driver) renewProof(now time.Time) {
	switch {
	case !d.c.needsProof(now):
		d.proofSince = time.Time{}
	case d.proofSince.IsZero():
		d.proofSince = now
		d.c.requestProof()
	case now.Sub(d.proofSince) >= gatherInterval:
		d.c.requestProof()
	}
}

// syncDue reports whether the record should be written: to add holders, or to
// prove the epoch if its holders did not prove it in time.
func (d *driver) syncDue(now time.Time) bool {
	if now.Sub(d.syncedAt) < syncInterval {
		return false
	}
	unproved := !d.proofSince.IsZero() && (len(d.c.recorded) < 2 || now.Sub(d.proofSince) >= holderProofTimeout)
	if !unproved && len(d.c.unrecorded()) == 0 {
		return false
	}
	d.syncedAt = now
	return true
}

func (m *Manager) driver(g group) *driver {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.drivers[g]
}

func (m *Manager) allDrivers() map[group]*driver {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return maps.Clone(m.drivers)
}

func (m *Manager) tickDrivers(now time.Time) {
	var grants []outgoingGrant
	for g, d := range m.allDrivers() {
		out, sync, resigned := d.tick(m.inView, now)
		grants = append(grants, out...)
		if sync {
			m.submit(storeJob{group: g})
		} else if d.checkDue(now) {
			m.submit(storeJob{group: g, check: true})
		}
		if resigned {
			m.removeDriver(g, d)
		}
	}
	m.sendGrants(grants)
}

// checkDue reports whether the record should be read for a higher epoch.
func (d *driver) checkDue(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.checkedAt) < recordCheckInterval || !d.c.inUse() {
		return false
	}
	d.checkedAt = now
	return true
}

// inView reports whether the instance is in the membership view.
func (m *Manager) inView(id string) bool {
	return slices.ContainsFunc(m.opts.View.Entries(), func(i storage.Instance) bool { return i.ID == id })
}

// afterAsk does what processing an Ask made necessary: it submits a write of
// the record, and removes a coordinator that has resigned.
func (m *Manager) afterAsk(g group, d *driver, now time.Time) {
	d.mu.Lock()
	sync, resigned := d.syncDue(now), d.c.resigned
	d.mu.Unlock()
	if sync {
		m.submit(storeJob{group: g})
	}
	if resigned {
		m.removeDriver(g, d)
	}
}

func (m *Manager) removeDriver(g group, d *driver) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.drivers[g] == d {
		delete(m.drivers, g)
		m.log.Info("slot_coordinator_resigned", "service", g.service, "data_centre", g.dataCentre, "epoch", d.c.epoch)
	}
}

// addDriver starts a coordinator and reports whether it did. It doesn't if one of
// the same or a later epoch runs here, the table is not loaded, or this
// instance is handing its coordinators over.
func (m *Manager) addDriver(c *coordinator, now time.Time) bool {
	snapshot := m.opts.Current.Load()
	if snapshot == nil {
		return false
	}
	c.setServers(m.serverSpecs(snapshot, c.group), now)
	c.maxRunTime = max(c.maxRunTime, maxRunTimeOf(snapshot, c.group.service))
	if service := snapshot.Service(c.group.service); service != nil {
		c.ramp = time.Duration(service.RampMS) * time.Millisecond
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.drivers[c.group]; old != nil && old.c.epoch >= c.epoch || m.leaving {
		return false
	}
	m.drivers[c.group] = &driver{c: c}
	m.log.Info("slot_coordinator_started", "service", c.group.service, "data_centre", c.group.dataCentre,
		"epoch", c.epoch, "recorded_holders", len(c.recorded))
	return true
}
