package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const readyPoll = 50 * time.Millisecond

// balancer simulates the platform's load balancer in front of the entry
// instances. It skips targets that report that they are not ready, and acts on a
// change of readiness after a lag. Without readiness URLs every target counts as
// ready.
type balancer struct {
	targets []string
	urls    []string
	lag     time.Duration
	client  *http.Client

	mu    sync.Mutex
	ready []bool
}

func newBalancer(opts *Options) *balancer {
	b := &balancer{
		targets: opts.Targets, urls: opts.ReadyURLs, lag: opts.BalancerLag,
		client: newClient(), ready: make([]bool, len(opts.Targets)),
	}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// run polls the readiness of each target until ctx ends.
func (b *balancer) run(ctx context.Context) {
	defer b.client.CloseIdleConnections()
	var group sync.WaitGroup
	for i, url := range b.urls {
		group.Go(func() { b.watch(ctx, i, url) })
	}
	group.Wait()
}

func (b *balancer) watch(ctx context.Context, i int, url string) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	var pending []time.Time
	lastReady := true
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if ready := b.probe(ctx, url); ready != lastReady {
				lastReady = ready
				pending = append(pending, now.Add(b.lag))
			}
			for len(pending) > 0 && !pending[0].After(now) {
				pending = pending[1:]
				b.toggle(i)
			}
		}
	}
}

func (b *balancer) probe(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) toggle(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = !b.ready[i]
}

// pick returns target i or, if that is not ready, the next ready one. It returns
// target i if none is ready.
func (b *balancer) pick(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for offset := range b.targets {
		if at := (i + offset) % len(b.targets); b.ready[at] {
			return b.targets[at]
		}
	}
	return b.targets[i]
}
