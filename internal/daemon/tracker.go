package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/platform"
)

const listPollEvery = 500 * time.Millisecond

// listView is a view of the fleet from the platform's list alone.
type listView struct {
	self platform.Instance
	list platform.InstanceList
	mesh *peer.Mesh

	mu      sync.Mutex
	entries []platform.Instance
	changed chan struct{}
}

func newListView(self platform.Instance, list platform.InstanceList, mesh *peer.Mesh) *listView {
	return &listView{
		self: self, list: list, mesh: mesh,
		entries: []platform.Instance{self}, changed: make(chan struct{}),
	}
}

// Self implements [membership.View].
func (v *listView) Self() platform.Instance { return v.self }

// Entries implements [membership.View].
func (v *listView) Entries() []platform.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entries
}

// LeavingServer implements [membership.View].
func (v *listView) LeavingServer(string) bool { return false }

// ReportLeavingServer implements the proxy's observer.
func (v *listView) ReportLeavingServer(string) {}

// Changed implements [membership.View].
func (v *listView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Leave takes the instance out of the list.
func (v *listView) Leave(ctx context.Context) error { return v.list.RemoveInstance(ctx, v.self.ID) }

// Run follows the list until ctx ends.
func (v *listView) Run(ctx context.Context) error {
	registered := false
	for {
		if !registered {
			registered = v.list.SetInstance(ctx, v.self) == nil
		}
		v.poll(ctx)
		select {
		case <-time.After(listPollEvery):
		case <-ctx.Done():
			return nil
		}
	}
}

func (v *listView) poll(ctx context.Context) {
	rows, err := v.list.ListInstances(ctx)
	if err != nil {
		return
	}
	entries := []platform.Instance{}
	for _, row := range rows {
		if row.Role == platform.RoleEntry && row.State == platform.StateLive {
			entries = append(entries, row)
		}
	}
	v.mesh.SetTargets(entries)
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(entries) == len(v.entries) {
		return
	}
	v.entries = entries
	close(v.changed)
	v.changed = make(chan struct{})
}
