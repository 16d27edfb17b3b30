package entry

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/pomelolock/pomelolock/quota"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/retrybudget"
)

// Settings are the settings of one process. Addresses have the form IP:port.
type Settings struct {
	// ID is the ID of the instance, which stays the same across restarts.
	ID         string
	DataCentre string
	// Caller is the address for callers, Ready the address for the readiness
	// checks of the platform's balancer and Metrics the address that serves
	// metrics. Ready serves them too; if Metrics is empty, only Ready does.
	Caller, Ready, Metrics string
	// Peer is the address for datagrams from other instances.
	Peer string
	// Seeds are the addresses of a few other instances, which may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// Retries limits the retries of the whole fleet.
	Retries retrybudget.Limits
	// ChecksPerSecond bounds the status checks of each backend server by all
	// instances together; 0 if no limit is known.
	ChecksPerSecond float64
	// WarmUp bounds the requests to cold backend servers by all instances together.
	WarmUp readings.WarmUpLimits
	// Caps bound how far the fleet may exceed the caps of workspaces; the zero value
	// enforces none.
	Caps quota.Limits
	// RevokeWithin is the time within which no request with a withdrawn key may run any
	// longer, on any instance; 0 if there is no such limit.
	RevokeWithin time.Duration
	// ApplyWithin is the time within which a table is in force on all instances that
	// reach the store; 0 if unknown.
	ApplyWithin time.Duration
	// DrainWithin is the time within which a backend server gets no more requests from
	// instances that reach the store after that has confirmed that it leaves; 0 if unknown.
	DrainWithin time.Duration
	// RemoteBytePrice is the price of a megabyte sent between data centres, in seconds of a
	// caller's time. With 0, only the delay between them counts.
	RemoteBytePrice float64
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// MemoryMB is the memory that the process may use, in MiB; 0 if unknown.
	MemoryMB int64
	// ProcessorShare is the fraction of a core that the process may use, LinkMbps
	// the speed of its network link in Mbit/s; 0 if unknown.
	ProcessorShare, LinkMbps float64
}

// relayLinkUnits converts the speed of a link in Mbit/s to units of relay capacity. A relay
// that uses a whole core sends about 100 Mbit/s.
const relayLinkUnits = 10

// relayCapacity returns the capacity with which the instance can relay datagrams for peers,
// in thousandths of a core: that of its processor or of its link, whichever is less.
func (s *Settings) relayCapacity() uint32 {
	capacity := 1000 * s.ProcessorShare
	if s.ProcessorShare == 0 {
		capacity = 1000
	}
	if s.LinkMbps > 0 {
		capacity = min(capacity, relayLinkUnits*s.LinkMbps)
	}
	return uint32(max(capacity, 1))
}

// seeds returns the valid addresses of seeds.
func (s *Settings) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, text := range s.Seeds {
		if seed, err := netip.ParseAddrPort(text); err == nil {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// SettingError reports an invalid setting.
type SettingError struct {
	Name, Value string
	Err         error
}

func (e *SettingError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("entry: invalid %s %q: %v", e.Name, e.Value, e.Err)
	}
	return fmt.Sprintf("entry: invalid %s %q", e.Name, e.Value)
}

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// Check returns a [SettingError] for the first invalid setting, or nil.
func (s *Settings) Check() error {
	if s.ID == "" {
		return &SettingError{Name: "instance id", Value: s.ID}
	}
	if s.DataCentre == "" {
		return &SettingError{Name: "data centre", Value: s.DataCentre}
	}
	for _, a := range []struct{ name, value string }{
		{"caller address", s.Caller}, {"ready address", s.Ready}, {"peer address", s.Peer}, {"store address", s.Store},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return &SettingError{Name: a.name, Value: a.value, Err: err}
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return &SettingError{Name: "seed address", Value: seed, Err: err}
		}
	}
	if s.Retries.Ratio < 0 || s.Retries.Burst < 0 {
		return &SettingError{Name: "retry limits", Value: fmt.Sprint(s.Retries)}
	}
	if !(s.RemoteBytePrice >= 0) || math.IsInf(s.RemoteBytePrice, 1) {
		return &SettingError{Name: "remote byte price", Value: fmt.Sprint(s.RemoteBytePrice)}
	}
	return nil
}
