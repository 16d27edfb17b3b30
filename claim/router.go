package claim

import (
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/membership"
)

// remoteTargets is how many peers an instance asks before it decides itself.
const remoteTargets = 2

// router ranks the instances for each partition as the view has them.
type router struct {
	view membership.View

	mu      sync.Mutex
	changed <-chan struct{}
	ranked  map[int][]string
	// silent tells until when an instance is not asked.
	silent map[string]time.Time
}

// silentTime is how long an instance that did not answer is not asked again.
const silentTime = time.Second

// noteSilent passes an instance over for a while.
func (r *router) noteSilent(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent == nil {
		r.silent = make(map[string]time.Time)
	}
	r.silent[id] = now.Add(silentTime)
}

func (r *router) isSilent(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.silent[id]
	if ok && now.After(until) {
		delete(r.silent, id)
		return false
	}
	return ok
}

// targets returns whom to ask for a partition, in order. It ends with self.
func (r *router) targets(partition, partitions int, self string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changed := r.view.Changed(); changed != r.changed || r.ranked == nil {
		r.changed = changed
		r.ranked = make(map[int][]string, partitions)
		r.silent = nil
	}
	if targets, ok := r.ranked[partition]; ok {
		return targets
	}
	targets := rank(headKey(partition), r.view, self)
	r.ranked[partition] = targets
	return targets
}

func rank(key string, view membership.View, self string) []string {
	var ids []string
	for _, instance := range view.Entries() {
		ids = append(ids, instance.ID)
	}
	ranked := membership.Ranked(key, ids)
	ranked = ranked[:min(len(ranked), remoteTargets)]
	for i, id := range ranked {
		if id == self {
			return ranked[:i+1]
		}
	}
	return append(ranked, self)
}

// succession returns the owner of a key while self still counts, and the owner
// without self.
func succession(key string, view membership.View, self string) (owner, successor string) {
	var others []string
	for _, instance := range view.Entries() {
		if instance.ID != self {
			others = append(others, instance.ID)
		}
	}
	return membership.Owner(key, append(others, self)), membership.Owner(key, others)
}
