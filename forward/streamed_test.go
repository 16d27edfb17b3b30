package forward_test

import (
	"net"
	"testing"

	"github.com/pomelolock/pomelolock/internal/rawserver"
)

// startRawServer starts a server that passes each connection to serve.
func startRawServer(t *testing.T, id string, serve func(conn net.Conn)) *server {
	t.Helper()
	return &server{id: id, address: rawserver.Start(t, serve)}
}
