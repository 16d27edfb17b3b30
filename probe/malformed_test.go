package probe

import (
	"maps"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
)

// TestMalformedResponseIsNoAnswerToAProbe guards against a server in trouble that returns to service because
// it answers a probe with a head that no response may have.
func TestMalformedResponseIsNoAnswerToAProbe(t *testing.T) {
	responses := rawserver.MalformedStatus("", "own")
	maps.Copy(responses, rawserver.MalformedFields("", "own"))
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			address := rawserver.Start(t, rawserver.Respond(response))
			p := NewProber(ProberOptions{Budget: unlimited{}, Report: func(Result) {}, Timeout: 2 * time.Second})
			g.Expect(p.get(t.Context(), address).Answered).To(gomega.BeFalse())
		})
	}
}
