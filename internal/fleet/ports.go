package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	loopback = "127.0.0.1"
	// The ports lie below the kernel's ephemeral range, so that outgoing
	// connections don't take them.
	firstPort    = 10000
	lastPort     = 32000
	portAttempts = 2000
)

// PortError reports that no free port was found.
type PortError struct {
	Attempts int
}

func (e *PortError) Error() string {
	return fmt.Sprintf("fleet: no free port in %d attempts", e.Attempts)
}

// addresses allocates loopback addresses, each at most once.
type addresses struct {
	used map[int]bool
}

func newAddresses() *addresses { return &addresses{used: make(map[int]bool)} }

// next returns an address whose port was free when it was checked.
func (a *addresses) next() (string, error) {
	for range portAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if a.used[port] {
			continue
		}
		address := fmt.Sprintf("%s:%d", loopback, port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		a.used[port] = true
		return address, nil
	}
	return "", &PortError{Attempts: portAttempts}
}
