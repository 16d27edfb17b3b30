package serverconn

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// TestMemoryForIDsIsBounded guards against more than the documented 8 KiB for the IDs of a connection.
func TestMemoryForIDsIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	address, pool := backend(t, echo), NewPool()
	var conn *Conn
	for n := range maxRequests {
		conn = carry(t, pool, address, 0, fmt.Sprint(n))
	}
	g.Expect(conn.carried.Bytes()).To(gomega.BeNumerically("<=", 8<<10))
}
