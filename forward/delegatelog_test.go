package forward_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/forward"
	"github.com/pomelolock/pomelolock/memory"
)

// TestDelegationToAnUnreachedPeerIsNotLogged guards against an operator who follows a request to a peer
// that has never got it, and against a count of it in the metric.
func TestDelegationToAnUnreachedPeerIsNotLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	gone := forward.Peer{ID: "gone", Address: unreachable(t, "gone").address}
	f := cutOff(t, gone, newFixture(t, startServer(t, "s1", ok)).asPeer(t, "serving"))
	resp, _ := f.call(t, http.MethodGet, "/order/", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	logs := f.logs.String()
	g.Expect(logs).To(gomega.MatchRegexp(`msg="attempt failed" .*peer=gone sent=false`))
	g.Expect(logs).NotTo(gomega.MatchRegexp(`msg=delegated .*peer=gone`))
	g.Expect(logs).To(gomega.MatchRegexp(`msg=delegated .*peer=serving .*unreached=[12] .*tried="\[s`))
	g.Expect(f.forwarder.Stats().Delegated).To(gomega.Equal(uint64(1)))
}

// TestRefusedUploadIsNotLoggedAsDelegated guards against an operator who reads that an upload went to a
// peer, although it was refused because its memory was taken for others.
func TestRefusedUploadIsNotLoggedAsDelegated(t *testing.T) {
	g := gomega.NewWithT(t)
	served := startServer(t, "s1", ok)
	peer := newFixture(t, served).asPeer(t, "peer")
	f := newStartingFixture(t, unreachable(t, "s1"), unreachable(t, "s2"), unreachable(t, "s3"))
	f.peers = []forward.Peer{peer}
	close(f.viewReady)
	now := time.Now()
	for _, id := range []string{"s1", "s2", "s3"} {
		f.board.Unanswered(id, now)
	}
	g.Expect(f.board.LinksLost()).To(gomega.BeTrue())
	other, err := f.memory.NewUpload(1, memory.Rank{LateFrom: now.Add(time.Hour), Target: now, Deadline: now.Add(time.Hour)}, now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer other.Release()
	const size = 200 << 10
	// The memory is taken after the upload has been read and its peer chosen.
	taken := make(chan error, 1)
	f.onPeerChosen = sync.OnceFunc(func() { taken <- other.Grow(testMemory*3/4-size/2, time.Now()) })
	answers := make(chan answer, 1)
	var wg sync.WaitGroup
	f.upload(t, &wg, "/order/1", strings.Repeat("x", size), answers)
	wg.Wait()
	g.Expect(taken).To(gomega.Receive(gomega.BeNil()))
	g.Expect((<-answers).Status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(served.arrivals()).To(gomega.BeZero())
	g.Expect(f.logs.String()).To(gomega.ContainSubstring("refused for memory"))
	g.Expect(f.logs.String()).NotTo(gomega.ContainSubstring("msg=delegated"))
}
