package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/respcheck"
	"github.com/pomelolock/pomelolock/table"
)

const (
	dialTimeout            = 500 * time.Millisecond
	idleConnTimeout        = 60 * time.Second
	maxResponseHeaderBytes = 64 << 10
	readBufferBytes        = 8 << 10
	writeBufferBytes       = 8 << 10
)

// transports holds one transport per backend server address.
type transports struct {
	// limit returns the maximum number of connections to a server.
	limit func(table.Server) int

	mu        sync.RWMutex
	byAddress map[string]*serverTransport
}

type serverTransport struct {
	limit int
	*respcheck.Transport
}

func newTransports(limit func(table.Server) int) *transports {
	return &transports{limit: limit, byAddress: make(map[string]*serverTransport)}
}

// get returns the transport for the server and creates it if necessary.
func (t *transports) get(server table.Server) *respcheck.Transport {
	t.mu.RLock()
	transport := t.byAddress[server.Address]
	t.mu.RUnlock()
	if transport != nil {
		return transport.Transport
	}
	return t.create(server)
}

func (t *transports) create(server table.Server) *respcheck.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if transport := t.byAddress[server.Address]; transport != nil {
		return transport.Transport
	}
	limit := t.limit(server)
	created := &serverTransport{limit: limit, Transport: newTransport(limit)}
	t.byAddress[server.Address] = created
	return created.Transport
}

// retain removes the transports whose address is not in the snapshot or whose
// connection limit changed, and closes their idle connections.
func (t *transports) retain(snapshot *table.Snapshot) {
	limits := make(map[string]int)
	for _, server := range snapshot.Document().Servers {
		limits[server.Address] = t.limit(server)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, transport := range t.byAddress {
		if limits[address] == transport.limit {
			continue
		}
		transport.CloseIdleConnections()
		delete(t.byAddress, address)
	}
}

func (t *transports) closeIdle() {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, transport := range t.byAddress {
		transport.CloseIdleConnections()
	}
}

func newTransport(connLimit int) *respcheck.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return respcheck.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        connLimit,
		MaxIdleConnsPerHost:    connLimit,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
		DisableCompression:     true,
		Protocols:              http1Only(),
	})
}

func http1Only() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}
