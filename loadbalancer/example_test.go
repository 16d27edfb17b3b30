package loadbalancer_test

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/table"
)

func ExampleBestOfTwo() {
	current := table.NewCurrent()
	current.Swap(table.Compile(table.Document{
		Version:  1,
		Services: []table.Service{{Name: "stock"}},
		Servers:  []table.Server{{Service: "stock", Name: "stock-1", Weight: 1, Slots: 6}},
	}))
	balancer := loadbalancer.NewBestOfTwo(current, nil)
	permit, err := balancer.Acquire(context.Background(), loadbalancer.Request{Service: "stock"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("send to", permit.Server.Name)
	permit.Release(loadbalancer.Result{Class: loadbalancer.ClassOK, Latency: 12 * time.Millisecond})
	// Output: send to stock-1
}
