package slot_test

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/slot"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// aloneView is the membership view of a fleet of one instance.
type aloneView struct{ self storage.Instance }

var _ membership.View = aloneView{}

func (v aloneView) Self() storage.Instance      { return v.self }
func (v aloneView) Entries() []storage.Instance { return []storage.Instance{v.self} }
func (v aloneView) LeavingServer(string) bool   { return false }
func (v aloneView) Changed() <-chan struct{}    { return nil }

func Example() {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	current := table.NewCurrent()
	current.Swap(table.Compile(table.Document{
		Version:  1,
		Services: []table.Service{{Name: "stock", DeadlineMS: 2000, QueueLimit: 100}},
		Servers: []table.Server{{
			Service: "stock", Name: "stock-1", DataCentre: "praha-1", Weight: 1, Slots: 6, Connections: 250,
			State: table.ServerServing,
		}},
	}))
	manager := slot.New(slot.Options{
		Messenger: peertest.NewNetwork(0).Join("entry-1"),
		View:      aloneView{storage.Instance{ID: "entry-1", Role: storage.RoleEntry, DataCentre: "praha-1"}},
		Tables:    memory.New(),
		Current:   current,
	})
	stopped := make(chan struct{})
	go func() {
		_ = manager.Run(ctx)
		close(stopped)
	}()
	permit, err := manager.Acquire(ctx, loadbalancer.Request{Service: "stock"})
	for err != nil && ctx.Err() == nil { // Retry while the manager is starting.
		time.Sleep(time.Millisecond)
		permit, err = manager.Acquire(ctx, loadbalancer.Request{Service: "stock"})
	}
	fmt.Println("send to", permit.Server.Name)
	permit.Release(loadbalancer.Result{Class: loadbalancer.ClassOK, Latency: 12 * time.Millisecond})
	stop()
	<-stopped
	// Output: send to stock-1
}
