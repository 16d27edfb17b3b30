package httpplatform_test

import (
	"maps"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
)

// TestMalformedResponseIsRejected guards against an object that is taken from a response whose head no
// response may have.
func TestMalformedResponseIsRejected(t *testing.T) {
	responses := rawserver.MalformedStatus("", "own")
	maps.Copy(responses, rawserver.MalformedFields("", "own"))
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client := newClientForURL(t, "http://"+rawserver.Start(t, rawserver.Respond(response)))
			_, err := client.GetObject(t.Context(), "a")
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
}
