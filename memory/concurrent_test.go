package memory_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/memory"
)

// A response for which there is no room is charged and taken back. Small requests, for which there is
// room, must not be refused meanwhile, and no upload must lose its memory for them.
func TestResponsesWithoutRoomDoNotRefuseSmallRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	a := memory.NewAccount(16 << 20)
	a.Add(memory.Requests, 16<<20-128<<10)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			default:
				a.TryAddResponse(256 << 10)
			}
		}
	}()
	rank := memory.Rank{LateFrom: time.Now().Add(time.Hour), Target: time.Now().Add(time.Hour), Deadline: time.Now().Add(time.Hour)}
	refused := 0
	for range 100_000 {
		if !a.TryAdd(memory.Requests, 26<<10) && a.AddRequest(26<<10, rank, time.Now()) != nil {
			refused++
			continue
		}
		a.Add(memory.Requests, -26<<10)
	}
	close(stop)
	<-ended
	g.Expect(refused).To(gomega.BeZero())
}
