package serverconn

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
	"github.com/pomelolock/pomelolock/internal/respcheck"
)

// TestMalformedResponseToACheckIsRejected guards against servers in trouble that count as healthy, and
// against a malformed response behind one to another request.
func TestMalformedResponseToACheckIsRejected(t *testing.T) {
	responses := rawserver.MalformedStatus("Own: 1\r\n", "own")
	maps.Copy(responses, rawserver.MalformedFields("Own: 1\r\n", "own"))
	for name, response := range responses {
		for before, text := range map[string]string{"alone": "", "behind another": okResponse("late", "one")} {
			t.Run(name+", "+before, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				pool := NewPool()
				address := backend(t, respond(text+response))
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				conn, err := pool.Get(ctx, address, 0)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = conn.Check(ctx, "/health", func(resp *http.Response) bool { return resp.Header.Get("Request-Id") == "" })
				var malformed *respcheck.HeadError
				g.Expect(errors.As(err, &malformed)).To(gomega.BeTrue(), "%v", err)
				g.Expect(pool.Idle(address)).To(gomega.BeFalse())
			})
		}
	}
}
