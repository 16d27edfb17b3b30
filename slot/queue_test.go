package slot

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/slot/slotpb"
	"github.com/pomelolock/pomelolock/table"
)

func anyWaiter(*waiter) bool { return true }

// TestFlowsAreServedRoundRobin queues a hundred requests of one flow before one
// of another, which must be served second at the latest.
func TestFlowsAreServedRoundRobin(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQueue(1000)
	for range 100 {
		q.admit(&waiter{flow: "batch", enqueued: now}, now)
	}
	q.admit(&waiter{flow: "counter", enqueued: now}, now)
	for n := 1; ; n++ {
		if w := q.pop(anyWaiter, now); w.flow == "counter" {
			if n > 2 {
				t.Errorf("the counter's request was served as number %d", n)
			}
			return
		}
	}
}

func TestQueueIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQueue(3)
	for n := range 5 {
		retryAfter, ok := q.admit(&waiter{flow: fmt.Sprint(n), enqueued: now}, now)
		if ok != (n < 3) {
			t.Errorf("request %d: admitted %v", n, ok)
		}
		if !ok && retryAfter <= 0 {
			t.Errorf("request %d was rejected without a time to retry after", n)
		}
	}
}

// overloaded serves one waiter every millisecond while two arrive, and counts
// those that meet their deadlines. It calls beforePop before each pop.
func overloaded(beforePop func(*queue)) (inTime, served int) {
	const work = 10 * time.Millisecond
	now := time.Unix(1000, 0)
	q := newQueue(1000)
	q.latency = work
	for range 5000 {
		now = now.Add(time.Millisecond)
		for range 2 {
			q.admit(&waiter{enqueued: now, deadline: now.Add(200 * time.Millisecond)}, now)
		}
		q.removeExpired(now)
		beforePop(q)
		w := q.pop(anyWaiter, now)
		if w == nil {
			continue
		}
		served++
		if now.Add(work).Before(w.deadline) {
			inTime++
		}
	}
	return inTime, served
}

func TestServedRequestsMeetDeadlines(t *testing.T) {
	inTime, served := overloaded(func(*queue) {})
	t.Logf("in time %d of %d served", inTime, served)
	if served < 4900 || inTime < served*99/100 {
		t.Errorf("%d of %d served requests met their deadlines, of 5000 possible", inTime, served)
	}
}

// benchService returns a service whose holder has six idle leases, which don't
// expire.
func benchService() *service {
	server := table.Server{Service: "lookup", Name: "server-0", Slots: 6, State: table.ServerServing}
	s := &service{
		name: "lookup", queue: newQueue(100), wake: func() {},
		usable: func(string) (table.Server, bool) { return server, true },
	}
	s.configure(serviceConfig{groups: []group{simGroup}, queueLimit: 100, maxRunTime: simMaxRunTime})
	grant := &slotpb.Grant{Group: simGroup.proto(), Epoch: 1, Seq: 1, Session: 1, Ack: 1}
	for slot := range 6 {
		grant.Leases = append(grant.Leases, &slotpb.Lease{Id: uint64(idOfServer(server.Name).lease(slot)), Server: server.Name})
	}
	now := time.Now()
	s.holders[0].askDue = true
	s.holders[0].ask(now)
	s.onGrant("entry-0", grant, now)
	s.holders[0].leaseStart = now.Add(time.Hour)
	return s
}

func BenchmarkAcquireIdleLease(b *testing.B) {
	s := benchService()
	req := loadbalancer.Request{Service: "lookup", Flow: "caller"}
	b.ReportAllocs()
	for b.Loop() {
		permit, err := s.acquire(context.Background(), req)
		if err != nil {
			b.Fatal(err)
		}
		permit.Release(loadbalancer.Result{Latency: time.Millisecond})
	}
}
