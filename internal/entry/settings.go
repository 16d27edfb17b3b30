package entry

import (
	"fmt"
	"net/netip"
	"time"

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
	// Store is the address of the platform's store.
	Store string
	// Retries limits the retries of the whole fleet.
	Retries retrybudget.Limits
	// ChecksPerSecond bounds the status checks of each backend server by all
	// instances together; 0 if no limit is known.
	ChecksPerSecond float64
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

// minRelayLinkMbps is the minimum link speed of a relay, in Mbit/s. A relay for 45 instances
// sends up to 60 Mbit/s.
const minRelayLinkMbps = 100

// relayCapacity returns the processor capacity with which the instance can relay
// datagrams for peers, in thousandths of a core; 0 if its link is too slow.
func (s *Settings) relayCapacity() uint32 {
	if s.LinkMbps < minRelayLinkMbps {
		return 0
	}
	return uint32(1000 * s.ProcessorShare)
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
	if s.Retries.Ratio < 0 || s.Retries.Burst < 0 {
		return &SettingError{Name: "retry limits", Value: fmt.Sprint(s.Retries)}
	}
	return nil
}
