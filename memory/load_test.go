package memory_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/memory"
)

const (
	tick       = 5 * time.Millisecond
	chunk      = 64 << 10
	uploadSize = 1_000_000
	smallSize  = 25 << 10
)

// played is an upload in a played load.
type played struct {
	upload  *memory.Upload
	rank    memory.Rank
	began   time.Time
	read    int64
	perTick int64
	keptAt  time.Time
}

// got counts what the callers of one kind got.
type got struct{ sent, served, refused, refusedAfterRead, late int }

// load plays requests at one instance: uploads are read at their callers' pace, wait until a
// server takes the one that ranks first, and end after the time of a server.
type load struct {
	g        *gomega.WithT
	account  *memory.Account
	now      time.Time
	random   *rand.Rand
	all      []*played
	small    []time.Time
	refused  int
	most     int64
	kinds    map[int]*got
	capacity float64
	work     time.Duration
}

func newLoad(t *testing.T, limit int64) *load {
	return &load{
		g: gomega.NewWithT(t), account: memory.NewAccount(limit), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1)),
		kinds: make(map[int]*got), capacity: 50, work: 300 * time.Millisecond,
	}
}

func (l *load) kind(priority int) *got {
	if l.kinds[priority] == nil {
		l.kinds[priority] = &got{}
	}
	return l.kinds[priority]
}

// arrive lets an upload arrive that is read within the given time.
func (l *load) arrive(rank memory.Rank, readTime time.Duration) {
	k := l.kind(rank.Priority)
	k.sent++
	rank.LateFrom, rank.Target, rank.Deadline = l.now.Add(1200*time.Millisecond), l.now.Add(1500*time.Millisecond), l.now.Add(12*time.Second)
	u, err := l.account.NewUpload(uploadSize, rank, l.now)
	if err != nil {
		var full *memory.FullError
		l.g.Expect(errors.As(err, &full)).To(gomega.BeTrue())
		l.g.Expect(full.Cause).To(gomega.Equal(memory.UnreadUpload))
		k.refused++
		return
	}
	l.all = append(l.all, &played{upload: u, rank: rank, began: l.now, perTick: max(int64(uploadSize*tick/readTime), 1)})
}

// order is the order in which a queue sends.
func (l *load) order(a, b *played) int {
	if lateA, lateB := l.now.After(a.rank.LateFrom), l.now.After(b.rank.LateFrom); lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	if a.rank.Priority != b.rank.Priority {
		return a.rank.Priority - b.rank.Priority
	}
	return a.began.Compare(b.began)
}

// step plays one tick.
func (l *load) step() {
	l.now = l.now.Add(tick)
	l.all = slices.DeleteFunc(l.all, func(p *played) bool {
		k := l.kind(p.rank.Priority)
		select {
		case <-p.upload.Evicted():
			l.g.Expect(p.keptAt.IsZero()).To(gomega.BeTrue(), "the memory of a request at a server was taken")
			k.refused++
			if p.read >= uploadSize {
				k.refusedAfterRead++
			}
			return true
		default:
		}
		if !p.keptAt.IsZero() && l.now.Sub(p.keptAt) >= l.work {
			p.upload.Release()
			k.served++
			return true
		}
		if l.now.After(p.rank.Deadline) {
			p.upload.Release()
			k.late++
			return true
		}
		if p.read < uploadSize {
			before := p.read
			p.read = min(p.read+p.perTick, uploadSize)
			for n := before / chunk; n < p.read/chunk || before == 0 && n == 0; n++ {
				if p.upload.Grow(chunk, l.now) != nil {
					break
				}
			}
			if p.read >= uploadSize {
				p.upload.Read()
			}
		}
		return false
	})
	if l.random.Float64() < l.capacity*tick.Seconds() {
		var first *played
		for _, p := range l.all {
			if p.read >= uploadSize && p.keptAt.IsZero() && (first == nil || l.order(p, first) < 0) {
				first = p
			}
		}
		if first != nil && first.upload.Keep() == nil {
			first.keptAt = l.now
		}
	}
	for len(l.small) > 0 && l.now.After(l.small[0]) {
		l.account.Add(memory.Requests, -smallSize)
		l.small = l.small[1:]
	}
	for range 5 {
		if !l.account.TryAdd(memory.Requests, smallSize) {
			rank := memory.Rank{Priority: 1, LateFrom: l.now.Add(time.Second), Target: l.now.Add(time.Second), Deadline: l.now.Add(2 * time.Second)}
			if l.account.AddRequest(smallSize, rank, l.now) != nil {
				l.refused++
				continue
			}
		}
		l.small = append(l.small, l.now.Add(50*time.Millisecond))
	}
	l.most = max(l.most, l.account.Total())
	l.g.Expect(l.account.Total()).To(gomega.BeNumerically("<=", l.account.Limit()))
}

// finish plays until all have ended, and checks that nothing is charged any more.
func (l *load) finish() {
	for len(l.all) > 0 {
		l.step()
	}
	l.account.Add(memory.Requests, -smallSize*int64(len(l.small)))
	l.g.Expect(l.account.Total()).To(gomega.BeZero())
}

// TestBurstOfUploads guards against an instance that exceeds its memory in a burst of uploads,
// that refuses small requests or urgent uploads for it, or that leaves servers idle.
func TestBurstOfUploads(t *testing.T) {
	l := newLoad(t, 100<<20)
	const burst = 8 * time.Second
	for range burst / tick {
		if l.random.Float64() < 100*tick.Seconds() {
			l.arrive(memory.Rank{Priority: 1}, 100*time.Millisecond)
		}
		if l.random.Float64() < 10*tick.Seconds() {
			l.arrive(memory.Rank{Priority: 0}, 100*time.Millisecond)
		}
		l.step()
	}
	l.finish()
	urgent, usual := l.kind(0), l.kind(1)
	t.Logf("urgent %+v, usual %+v, most %d MB", *urgent, *usual, l.most>>20)
	l.g.Expect(l.refused).To(gomega.BeZero(), "small requests")
	l.g.Expect(urgent.served).To(gomega.Equal(urgent.sent))
	l.g.Expect(usual.served + urgent.served).To(gomega.BeNumerically(">=", 0.9*l.capacity*burst.Seconds()))
	l.g.Expect(usual.refused).To(gomega.BeNumerically(">", 0))
	l.g.Expect(usual.sent).To(gomega.Equal(usual.served + usual.refused + usual.late))
}

// TestTricklesGiveWay guards against uploads that hardly arrive and hold the memory that others
// need: they are charged for what was read, and lose it once they are late.
func TestTricklesGiveWay(t *testing.T) {
	l := newLoad(t, 100<<20)
	for n := range 10 * time.Second / tick {
		l.arrive(memory.Rank{Priority: 2}, time.Minute)
		// What arrives at that moment ranks before all that trickle for longer.
		if n%5 == 0 {
			l.arrive(memory.Rank{Priority: 1}, 100*time.Millisecond)
		}
		l.step()
	}
	l.finish()
	usual := l.kind(1)
	t.Logf("trickling %+v, usual %+v, most %d MB", *l.kind(2), *usual, l.most>>20)
	l.g.Expect(usual.served).To(gomega.Equal(usual.sent))
	l.g.Expect(l.refused).To(gomega.BeZero(), "small requests")
}

// TestWorkspacesShareMemory guards against one workspace whose uploads take the memory of all.
func TestWorkspacesShareMemory(t *testing.T) {
	l := newLoad(t, 100<<20)
	hot := 0
	for range 8 * time.Second / tick {
		if l.random.Float64() < 150*tick.Seconds() {
			l.arrive(memory.Rank{Priority: 1, Workspace: "hot", Weight: 1}, 100*time.Millisecond)
			hot++
		}
		if l.random.Float64() < 4*tick.Seconds() {
			l.arrive(memory.Rank{Priority: 1, Workspace: "small", Weight: 1}, 100*time.Millisecond)
		}
		l.step()
		for _, p := range l.all {
			if p.rank.Workspace != "small" || l.now.After(p.rank.LateFrom) {
				continue
			}
			l.g.Expect(p.upload.Full()).To(gomega.Succeed(), "an upload in time of a workspace below its share")
		}
	}
	l.finish()
	l.g.Expect(l.kind(1).refused).To(gomega.BeNumerically(">", hot/4))
}

// TestTakenMemoryIsNotUsed guards against a request that is sent although its caller gets a
// refusal, and against one that is refused although it was sent.
func TestTakenMemoryIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	a := memory.NewAccount(4 << 20)
	at := func(n int) memory.Rank {
		return memory.Rank{LateFrom: now.Add(time.Duration(n) * time.Second), Target: now.Add(time.Duration(n) * time.Second), Deadline: now.Add(time.Minute)}
	}
	begin := func(n int) *memory.Upload {
		u, err := a.NewUpload(1<<20, at(n), now)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(u.Grow(1<<20, now)).To(gomega.Succeed())
		u.Read()
		return u
	}
	kept, first, last := begin(9), begin(2), begin(3)
	g.Expect(kept.Keep()).To(gomega.Succeed())
	_, err := a.NewUpload(1<<20, at(4), now)
	g.Expect(err).To(gomega.HaveOccurred(), "ranks last")
	urgent := begin(1)
	g.Expect(last.Evicted()).To(gomega.BeClosed())
	g.Expect(last.Keep()).NotTo(gomega.Succeed())
	g.Expect(first.Keep()).To(gomega.Succeed())
	g.Expect(urgent.Keep()).To(gomega.Succeed())
	_, err = a.NewUpload(1<<20, at(0), now)
	g.Expect(err).To(gomega.HaveOccurred(), "all others are at servers")
	g.Expect(a.Rejected(memory.WaitingUpload)).To(gomega.Equal(uint64(1)))
	g.Expect(a.Rejected(memory.UnreadUpload)).To(gomega.Equal(uint64(2)))
	for _, u := range []*memory.Upload{kept, first, last, urgent} {
		u.Release()
	}
	g.Expect(a.Total()).To(gomega.BeZero())
}

func BenchmarkSmallRequest(b *testing.B) {
	a := memory.NewAccount(100 << 20)
	for b.Loop() {
		a.TryAdd(memory.Requests, smallSize)
		a.Add(memory.Requests, -smallSize)
	}
}
