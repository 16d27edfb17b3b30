package claim

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// unlimited keeps all answers.
const unlimited = math.MaxInt

// answers keeps the latest answers of finished requests, up to a number of
// bytes. A key whose answer has been dropped is still known to be finished.
type answers struct {
	limit int
	bytes int
	held  map[keyID]*claimpb.Answer
	// order lists keys by age; it may name keys that are no longer held.
	order []keyID
}

func newAnswers(limit int) answers {
	return answers{limit: limit, held: make(map[keyID]*claimpb.Answer)}
}

// set replaces the answer of a key, or removes it if answer is nil.
func (a *answers) set(id keyID, answer *claimpb.Answer) {
	if old, ok := a.held[id]; ok {
		a.bytes -= proto.Size(old)
		delete(a.held, id)
	}
	if answer == nil {
		a.trim()
		return
	}
	a.held[id] = answer
	a.order = append(a.order, id)
	a.bytes += proto.Size(answer)
	for a.bytes > a.limit {
		a.set(a.order[0], nil)
	}
}

// trim drops the oldest names that are no longer held.
func (a *answers) trim() {
	for len(a.order) > 0 && a.held[a.order[0]] == nil {
		a.order = a.order[1:]
	}
}
