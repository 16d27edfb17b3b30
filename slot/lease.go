package slot

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// leaseTTL is how long a holder may use its leases after it sent the
	// latest Ask that the coordinator acknowledged.
	leaseTTL = 2 * time.Second
	// clockMargin covers the drift between two monotonic clocks over the
	// times that a coordinator waits.
	clockMargin = 50 * time.Millisecond
	// authorityTTL is how long a coordinator may send grants after the
	// latest proof that its epoch is the current one. It is shorter than
	// leaseTTL, so that the leases of the holders that a successor gathers are
	// still valid after the successor has waited for its end.
	authorityTTL = 800 * time.Millisecond
	// slotBits is the width of the slot index in a lease ID.
	slotBits = 12
	// maxSlots is the maximum number of slots of one server that are leased.
	maxSlots = 1 << slotBits
)

// group identifies the backend servers of one service in one data centre.
type group struct {
	service    string
	dataCentre string
}

func groupOf(g *slotpb.Group) group {
	return group{g.GetService(), g.GetDataCentre()}
}

func (g group) proto() *slotpb.Group {
	return &slotpb.Group{Service: g.service, DataCentre: g.dataCentre}
}

// key is the group's key in the table service.
func (g group) key() string { return "slot/" + g.service + "/" + g.dataCentre }

// serverID identifies a backend server in lease IDs. It is a hash of the name,
// so that all instances use the same one.
type serverID uint64

// leaseID is a serverID in the high bits and a slot index in the lowest slotBits.
type leaseID uint64

func idOfServer(name string) serverID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return serverID(h.Sum32())
}

func (s serverID) lease(slot int) leaseID { return leaseID(uint64(s)<<slotBits | uint64(slot)) }

func (l leaseID) server() serverID { return serverID(l >> slotBits) }

func (l leaseID) slot() int { return int(l & (maxSlots - 1)) }

// packIDs sorts ids in place and returns each as the difference to its
// predecessor, which keeps the encoded message small. unpackIDs is the inverse.
func packIDs(ids []leaseID) []uint64 {
	slices.Sort(ids)
	packed := make([]uint64, len(ids))
	var previous leaseID
	for i, id := range ids {
		packed[i] = uint64(id - previous)
		previous = id
	}
	return packed
}

func unpackIDs(packed []uint64) []leaseID {
	ids := make([]leaseID, len(packed))
	var previous leaseID
	for i, difference := range packed {
		previous += leaseID(difference)
		ids[i] = previous
	}
	return ids
}

// maxRunTimeOf returns the maximum time that a request of the service may run on
// a backend server after its start: the longest deadline plus the cancel grace.
func maxRunTimeOf(snapshot *table.Snapshot, name string) time.Duration {
	service := snapshot.Service(name)
	if service == nil {
		return 0
	}
	longest := time.Duration(service.DeadlineMS) * time.Millisecond
	for _, route := range snapshot.Document().Routes {
		if route.Service == name {
			longest = max(longest, snapshot.Deadline(route))
		}
	}
	return longest + time.Duration(service.CancelGraceMS)*time.Millisecond
}
