package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	loopback = "127.0.0.1"
	// Ports lie below the range from which the kernel takes the ports of
	// outgoing connections.
	firstPort = 10000
	lastPort  = 32000
	portTries = 2000
)

// PortError reports that no free port was found.
type PortError struct {
	Tries int
}

func (e *PortError) Error() string {
	return fmt.Sprintf("fleet: no free port in %d tries", e.Tries)
}

// addresses hands out loopback addresses that are free at the time.
type addresses struct {
	used map[int]bool
}

func newAddresses() *addresses { return &addresses{used: make(map[int]bool)} }

// next returns an address with a port that nothing listens on.
func (a *addresses) next() (string, error) {
	for range portTries {
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
	return "", &PortError{Tries: portTries}
}
