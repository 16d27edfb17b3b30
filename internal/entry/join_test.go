package entry

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/feed"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/gossip/gossiptest"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/retrybudget"
)

// registrations is a store that holds the registrations of instances.
type registrations struct {
	Store
	members []gossip.Member
	// reads and writes count calls.
	reads, writes int
}

func (r *registrations) Join(context.Context, gossip.Member, bool) ([]gossip.Member, error) {
	r.reads++
	return r.members, nil
}

func (r *registrations) Register(context.Context, gossip.Member) error {
	r.writes++
	return nil
}

// TestRelayThatStartsInACutKnowsOfTheOtherSide guards against a relay that has started while the
// fleet is cut in two, takes its side for the whole fleet, and grants the whole of each cap. Others
// don't ask the store, which they would all do at once after a restart of the fleet.
func TestRelayThatStartsInACutKnowsOfTheOtherSide(t *testing.T) {
	for _, relay := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			network := gossiptest.NewNetwork()
			var members []gossip.Member
			var conns []*gossiptest.Conn
			for _, id := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
				conn := network.Listen()
				conns = append(conns, conn)
				members = append(members, gossip.Member{ID: id, DataCentre: "a", Address: conn.Address()})
			}
			options := gossip.Options{
				Conn: conns[0], Address: conns[0].Address(), ID: "entry-1", DataCentre: "a",
				Board: readings.NewBoard(), Backlogs: admission.NewBacklogs(), Logger: slog.New(slog.DiscardHandler),
			}
			if relay {
				options.RelayCapacity = 1
			}
			exchange, err := gossip.New(options)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			exchange.Add(members[1])
			store := &registrations{members: members}
			settings := &Settings{Seeds: []string{members[1].Address.String()}}
			d := &Daemon{
				opts: Options{Store: store, Settings: settings}, self: members[0], exchange: exchange, startedAt: time.Now(),
				feed: feed.New(feed.Options{}), budget: retrybudget.New(retrybudget.Limits{}, 1), logger: slog.New(slog.DiscardHandler),
			}
			d.settings.Store(settings)
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = d.join(ctx) }()
			time.Sleep(time.Second)
			synctest.Wait()
			if relay {
				g.Expect(d.heardShare()).To(gomega.Equal(0.25))
				g.Expect(store.reads).To(gomega.Equal(1))
			} else {
				g.Expect(store.reads).To(gomega.BeZero())
			}
			time.Sleep(joinInterval - time.Minute)
			g.Expect(store.reads).To(gomega.BeNumerically("<=", 1))
			g.Expect(store.writes).To(gomega.BeZero())
			cancel()
			synctest.Wait()
		})
	}
}
