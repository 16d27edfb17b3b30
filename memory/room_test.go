package memory_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/memory"
)

// Uploads must not be refused for a request that is refused nevertheless: what they hold is not
// enough, so taking it serves nobody.
func TestNothingIsEvictedForARequestThatIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	rank := func(priority int) memory.Rank {
		return memory.Rank{Priority: priority, LateFrom: now.Add(time.Second), Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second)}
	}
	for _, small := range []bool{true, false} {
		a := memory.NewAccount(1 << 20)
		var uploads []*memory.Upload
		for range 20 {
			u, err := a.NewUpload(1<<10, rank(2), now)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(u.Grow(1<<10, now)).To(gomega.Succeed())
			uploads = append(uploads, u)
		}
		first, err := a.NewUpload(64<<10, rank(1), now)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if small {
			a.Add(memory.Requests, 1<<20)
			err = a.AddRequest(26<<10, rank(1), now)
		} else {
			a.Add(memory.Connections, 768<<10)
			err = first.Grow(64<<10, now)
		}
		g.Expect(err).To(gomega.HaveOccurred())
		evicted := 0
		for _, u := range uploads {
			if u.Full() != nil {
				evicted++
			}
		}
		g.Expect(evicted).To(gomega.BeZero(), "small request: %v", small)
	}
}

// An upload that holds nothing must not be refused to make room while one that holds enough and
// ranks after the request exists: refusing it frees nothing.
func TestUploadsThatHoldNothingAreNotEvictedForRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	a := memory.NewAccount(1 << 20)
	rank := func(target time.Duration) memory.Rank {
		return memory.Rank{Priority: 2, LateFrom: now.Add(time.Second), Target: now.Add(target), Deadline: now.Add(10 * time.Second)}
	}
	holding, err := a.NewUpload(700<<10, rank(2*time.Second), now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(holding.Grow(700<<10, now)).To(gomega.Succeed())
	var empty []*memory.Upload
	for range 10 {
		u, err := a.NewUpload(20<<10, rank(3*time.Second), now)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		empty = append(empty, u)
	}
	a.Add(memory.Connections, 324<<10)
	first := memory.Rank{Priority: 1, LateFrom: now.Add(time.Second), Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second)}
	g.Expect(a.AddRequest(26<<10, first, now)).To(gomega.Succeed())
	for _, u := range empty {
		g.Expect(u.Full()).To(gomega.Succeed())
	}
}

// Idle connections must not make an instance refuse small requests: docs/design/memory.md says that
// 10,000 connections fill the account and uploads are refused then. The limit is that of 284 MB.
func TestIdleConnectionsDoNotRefuseSmallRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	a := memory.NewAccount(110 << 20)
	for range 7_100 {
		a.Add(memory.Connections, 16<<10)
	}
	ok := a.TryAdd(memory.Requests, 26<<10) ||
		a.AddRequest(26<<10, memory.Rank{LateFrom: now.Add(time.Second), Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second)}, now) == nil
	g.Expect(ok).To(gomega.BeTrue())
}
