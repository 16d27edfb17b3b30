package claim

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// unlimited disables the size limit of a response cache.
const unlimited = math.MaxInt

// responseCache holds the most recently stored responses of finished requests,
// up to a total encoded size. When a response has been evicted, the index still
// records that its request finished.
type responseCache struct {
	limitBytes int
	bytes      int
	byKey      map[keyID]*claimpb.Answer
	// order lists keys from oldest to newest. It may contain keys that are
	// no longer cached.
	order []keyID
}

func newResponseCache(limit int) responseCache {
	return responseCache{limitBytes: limit, byKey: make(map[keyID]*claimpb.Answer)}
}

// set replaces the response of a key, or removes it if response is nil. It
// evicts the oldest responses while the cache exceeds its limit.
func (c *responseCache) set(id keyID, response *claimpb.Answer) {
	if old, ok := c.byKey[id]; ok {
		c.bytes -= proto.Size(old)
		delete(c.byKey, id)
	}
	if response == nil {
		c.trim()
		return
	}
	c.byKey[id] = response
	c.order = append(c.order, id)
	c.bytes += proto.Size(response)
	for c.bytes > c.limitBytes {
		c.set(c.order[0], nil)
	}
}

// trim removes leading keys of the order that are no longer cached.
func (c *responseCache) trim() {
	for len(c.order) > 0 && c.byKey[c.order[0]] == nil {
		c.order = c.order[1:]
	}
}
