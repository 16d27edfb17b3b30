package forward_test

import (
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestLogNamesConnectionsUniquely guards against a search in the logs that finds "the same conn twice for
// one request", by which docs/OPERATIONS.md tells that the rule of connections is broken, where one of
// the two goes to a server and the other to a peer.
func TestLogNamesConnectionsUniquely(t *testing.T) {
	g := gomega.NewWithT(t)
	// The server that resets connections is mostly the first choice; the request goes to the peer then.
	most := 0
	for range 20 {
		others := []*server{unreachable(t, "s2"), unreachable(t, "s3")}
		for _, s := range others {
			s.dataCentre = "b"
		}
		f := newFixture(t, append(others, startServer(t, "s1", reset))...)
		f.peers = append(f.peers, newFixture(t, startServer(t, "s1", ok)).asPeer(t, "peer"))
		resp, _ := f.callWith(t, http.MethodGet, "/look/1", "", http.Header{"Request-Id": {"one"}})
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		seen := make(map[string]string)
		for _, line := range strings.Split(f.logs.String(), "\n") {
			conn := regexp.MustCompile(`request=one .*(conn=\d+)`).FindStringSubmatch(line)
			if conn == nil {
				continue
			}
			g.Expect(seen[conn[1]]).To(gomega.BeEmpty(), "%s of another server:\n%s", conn[1], line)
			seen[conn[1]] = line
		}
		most = max(most, len(seen))
	}
	g.Expect(most).To(gomega.Equal(2))
}
