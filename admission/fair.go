package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minWeight and maxWeight bound the weights of workspaces relative to their mean, so that
	// the step of the virtual time stays well above the precision of maxVirtualTime.
	minWeight = 1e-3
	maxWeight = 1e4
	// maxVirtualTime is the virtual time at which everything is forgotten; its floating-point
	// precision is 1e-7, a thousandth of the smallest step.
	maxVirtualTime = 1e9
	// fairIdleTTL is how long the virtual times are kept after the last request was sent. At
	// a few requests a second, a queue is empty for some tenths of a second even in overload.
	fairIdleTTL = time.Second
	// burstCredit and timeCredit bound how far before the virtual time of its class a flow that
	// uses less than its share starts: by this number of its requests, so that small
	// workspaces may send two requests at a time, and by this virtual time, in which a
	// workspace sends its weight in requests, so that a large one is told from a hot one
	// although few requests are queued.
	burstCredit = 2
	timeCredit  = 1
	// minPruneSize is the number of flows below which none is forgotten on its own.
	minPruneSize = 128
)

// flow is the requests of one workspace with one priority.
type flow struct {
	priority  int
	workspace string
}

// virtual is the virtual time at which the next request of a flow starts, and the time that the
// last one took.
type virtual struct{ next, cost float64 }

// class is the requests with one priority that are late, or those that are not.
type class struct {
	priority int
	late     bool
}

// Fair orders the queued requests of one service so that, within each class of lateness and
// priority, capacity is divided among the workspaces by their weights, max-min fair: start-time
// fair queueing. Each request sent moves the virtual time of its flow by 1/weight, and the flow
// with the earliest virtual time goes next. A flow that was idle starts at the virtual time of
// the class, less burstCredit requests and timeCredit, so it gains no more by having been idle.
// Late requests and those in time use the same virtual time of the flow, because a queued
// request turns late.
//
// The zero value is ready to use. It is not safe for concurrent use.
type Fair struct {
	// next holds the virtual times at which the next requests of the flows start, began that
	// of the request sent last in each class.
	next  map[flow]virtual
	began map[class]float64
	// pruneAt is the number of flows at which those without a lag are forgotten.
	pruneAt  int
	lastSent time.Time
	// backlogs and index are reused by Locate, which is called for each request that arrives.
	// index holds the positions of the workspaces in backlogs.
	backlogs []backlogOf
	index    map[string]int
}

func (r Request) flow() flow { return flow{priority: r.Priority, workspace: r.Workspace} }

func (r Request) class(now time.Time, expected time.Duration) class {
	return class{priority: r.Priority, late: r.Late(now, expected)}
}

// cost returns the virtual time that the request takes. Requests without a workspace are one
// flow with the mean weight.
func (r Request) cost() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return 1 / min(max(r.Weight, minWeight), maxWeight)
}

// Sent records that the request was sent. It does nothing without workspaces.
func (f *Fair) Sent(r Request, now time.Time, expected time.Duration) {
	if r.Weight <= 0 && len(f.next) == 0 {
		return
	}
	c, fl := r.class(now, expected), r.flow()
	start := max(f.earliest(c, r.cost()), f.next[fl].next)
	if start > maxVirtualTime {
		f.reset()
		start = 0
	}
	if f.next == nil {
		f.next, f.began = make(map[flow]virtual), make(map[class]float64)
	}
	f.began[c] = max(f.began[c], start)
	f.next[fl] = virtual{next: start + r.cost(), cost: r.cost()}
	f.lastSent = now
	if len(f.next) >= max(f.pruneAt, minPruneSize) {
		f.prune()
	}
}

// Forget drops the virtual times if no request was sent for fairIdleTTL. It must be called
// regularly while no request is queued.
func (f *Fair) Forget(now time.Time) {
	if len(f.next) > 0 && now.Sub(f.lastSent) > fairIdleTTL {
		f.reset()
	}
}

func (f *Fair) reset() { *f = Fair{} }

// prune forgets the flows that would start at the virtual time of their class anyway. The
// next time is when the number of flows has doubled, so that the cost per request is constant.
func (f *Fair) prune() {
	for fl, v := range f.next {
		// A class in which nothing was sent yet has no virtual time to compare with.
		_, sentLate := f.began[class{priority: fl.priority, late: true}]
		if v.next <= f.earliest(class{priority: fl.priority}, v.cost) &&
			(!sentLate || v.next <= f.earliest(class{priority: fl.priority, late: true}, v.cost)) {
			delete(f.next, fl)
		}
	}
	f.pruneAt = 2 * len(f.next)
}

// earliest returns the virtual time at which a flow that was idle starts in the class.
func (f *Fair) earliest(c class, cost float64) float64 {
	return f.began[c] - burstCredit*cost - timeCredit
}

// start returns the virtual time at which the request starts. next holds those of the flows of
// which requests go before it.
func (f *Fair) start(c class, r Request, next map[flow]float64) float64 {
	at, ok := next[r.flow()]
	if !ok {
		at = f.next[r.flow()].next
	}
	return max(f.earliest(c, r.cost()), at)
}

// SortFair sorts queued items into the order in which their requests are sent: as [Sort], but
// fair among the workspaces within each class of lateness and priority. Without workspaces it
// is the same as [Sort].
func SortFair[T any](f *Fair, queued []T, request func(T) Request, now time.Time, expected time.Duration) {
	Sort(queued, request, now, expected)
	if !slices.ContainsFunc(queued, func(item T) bool { return request(item).Weight > 0 }) {
		return
	}
	type tagged struct {
		item  T
		class int
		tag   float64
	}
	items := make([]tagged, len(queued))
	next := make(map[flow]float64)
	var last class
	classes := 0
	for i, item := range queued {
		r := request(item)
		c := r.class(now, expected)
		if i > 0 && c != last {
			classes++
		}
		last = c
		tag := f.start(c, r, next)
		next[r.flow()] = tag + r.cost()
		items[i] = tagged{item: item, class: classes, tag: tag}
	}
	slices.SortStableFunc(items, func(a, b tagged) int {
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
		}
		return cmp.Compare(a.tag, b.tag)
	})
	for i := range items {
		queued[i] = items[i].item
	}
}

// Position is the place that a request would have in a queue.
type Position struct {
	// Ahead is the number of queued requests that would be sent before it. Late requests are
	// counted only before late ones, which have a send rate of their own.
	Ahead int
	// QueueShare is the part of its workspace in the queued requests of its priority, with
	// the request itself. FairShare is the part that the workspace is entitled to among the
	// workspaces that wait there. Both are 0 without workspaces.
	QueueShare, FairShare float64
}

// OverShare reports whether the workspace has more of the queue than it is entitled to.
func (p Position) OverShare() bool { return p.QueueShare > p.FairShare }

// backlogOf is what one workspace has queued with the priority of a request.
type backlogOf struct {
	workspace string
	// queued is the number of its requests, sameClass of those as late as the request, inTime
	// of those in time, if the request is late.
	queued, sameClass, inTime int
	cost                      float64
}

// Locate returns the place that the request would have among the queued items. It takes linear
// time, since it is called for each request that arrives.
func Locate[T any](f *Fair, queued []T, request func(T) Request, r Request, now time.Time, expected time.Duration) Position {
	late := r.Late(now, expected)
	fair := r.Weight > 0 || slices.ContainsFunc(queued, func(item T) bool { return request(item).Weight > 0 })
	f.backlogs = f.backlogs[:0]
	clear(f.index)
	mine := 0
	if fair {
		mine = f.backlog(r)
	}
	// ahead counts those that go first whatever the shares: more urgent ones and, in the
	// workspace of r, earlier ones.
	ahead, own, total := 0, 0, 1
	for _, item := range queued {
		other := request(item)
		otherLate := other.Late(now, expected)
		before := late == otherLate && Compare(other, r, now, expected) <= 0
		if !fair || other.Priority != r.Priority {
			if before {
				ahead++
			}
			continue
		}
		total++
		b := &f.backlogs[f.backlog(other)]
		b.queued++
		switch {
		case otherLate == late:
			b.sameClass++
		case late:
			b.inTime++
		}
		if before && other.Workspace == r.Workspace {
			own++
		}
	}
	if !fair {
		return Position{Ahead: ahead}
	}
	c := r.class(now, expected)
	tag := f.startAfter(c, &f.backlogs[mine]) + float64(own)*r.cost()
	ahead += own
	weights := 0.0
	for i := range f.backlogs {
		b := &f.backlogs[i]
		weights += 1 / b.cost
		if i == mine || b.sameClass == 0 {
			continue
		}
		// Requests with the same virtual time count as ahead.
		if lag := tag - f.startAfter(c, b); lag >= 0 {
			ahead += int(min(float64(b.sameClass), math.Floor(lag/b.cost)+1))
		}
	}
	return Position{
		Ahead:      ahead,
		QueueShare: float64(f.backlogs[mine].queued+1) / float64(total),
		FairShare:  1 / r.cost() / weights,
	}
}

// backlog returns the position of the request's workspace in f.backlogs, to which it adds it if
// necessary.
func (f *Fair) backlog(r Request) int {
	i, ok := f.index[r.Workspace]
	if !ok {
		if f.index == nil {
			f.index = make(map[string]int)
		}
		i = len(f.backlogs)
		f.index[r.Workspace] = i
		f.backlogs = append(f.backlogs, backlogOf{workspace: r.Workspace, cost: r.cost()})
	}
	return i
}

// startAfter returns the virtual time of the next request of the workspace in the class, once
// its requests in time were sent.
func (f *Fair) startAfter(c class, b *backlogOf) float64 {
	next := f.next[flow{priority: c.priority, workspace: b.workspace}].next
	if b.inTime > 0 {
		next = max(f.earliest(class{priority: c.priority}, b.cost), next) + float64(b.inTime)*b.cost
	}
	return max(f.earliest(c, b.cost), next)
}
