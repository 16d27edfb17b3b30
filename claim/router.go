package claim

import (
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/membership"
)

// maxRemoteTargets is the maximum number of peers that are called before an
// instance decides a claim locally.
const maxRemoteTargets = 2

// router ranks the instances for each partition, based on the membership view.
type router struct {
	view membership.View

	mu      sync.Mutex
	changed <-chan struct{}
	ranked  map[int][]string
	// unresponsive maps instances to the time until which they are skipped.
	unresponsive map[string]time.Time
}

// unresponsiveTTL is how long an instance is skipped after a call to it has
// timed out.
const unresponsiveTTL = time.Second

// markUnresponsive makes an instance be skipped for unresponsiveTTL.
func (r *router) markUnresponsive(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unresponsive == nil {
		r.unresponsive = make(map[string]time.Time)
	}
	r.unresponsive[id] = now.Add(unresponsiveTTL)
}

func (r *router) isUnresponsive(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.unresponsive[id]
	if ok && now.After(until) {
		delete(r.unresponsive, id)
		return false
	}
	return ok
}

// targets returns the instances to call for a partition, in order. The last one
// is self.
func (r *router) targets(partition, partitions int, self string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changed := r.view.Changed(); changed != r.changed || r.ranked == nil {
		r.changed = changed
		r.ranked = make(map[int][]string, partitions)
		r.unresponsive = nil
	}
	if targets, ok := r.ranked[partition]; ok {
		return targets
	}
	targets := rankTargets(headKey(partition), r.view, self)
	r.ranked[partition] = targets
	return targets
}

func rankTargets(key string, view membership.View, self string) []string {
	var ids []string
	for _, instance := range view.Entries() {
		ids = append(ids, instance.ID)
	}
	ranked := membership.Ranked(key, ids)
	ranked = ranked[:min(len(ranked), maxRemoteTargets)]
	for i, id := range ranked {
		if id == self {
			return ranked[:i+1]
		}
	}
	return append(ranked, self)
}

// ownerAndSuccessor returns the owner of a key while self is a candidate, and
// the owner without self.
func ownerAndSuccessor(key string, view membership.View, self string) (owner, successor string) {
	var others []string
	for _, instance := range view.Entries() {
		if instance.ID != self {
			others = append(others, instance.ID)
		}
	}
	return membership.Owner(key, append(others, self)), membership.Owner(key, others)
}
