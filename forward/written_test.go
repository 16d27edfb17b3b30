package forward_test

import (
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestTimeOfTheWriteIsLogged guards against a log that does not tell when a request was sent to
// a server, which differs from the choice of the server if the process was stopped in between.
func TestTimeOfTheWriteIsLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, startServer(t, "s1", ok))
	for n := range 2 {
		before := time.Now().Truncate(time.Millisecond)
		f.call(t, http.MethodGet, "/look/1", "")
		times := func() [][]string {
			return regexp.MustCompile(`msg=served.* written=(\S+)`).FindAllStringSubmatch(f.logs.String(), -1)
		}
		g.Eventually(times).Should(gomega.HaveLen(n + 1))
		written, err := time.Parse(time.RFC3339Nano, times()[n][1])
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(written).To(gomega.BeTemporally(">=", before))
		g.Expect(written).To(gomega.BeTemporally("<=", time.Now()))
	}
}
