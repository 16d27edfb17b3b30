package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/table"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleConnTimeout     = 60 * time.Second
	maxAnswerHeaderSize = 64 << 10
	readBufferSize      = 8 << 10
	writeBufferSize     = 8 << 10
)

// transports keeps one transport per backend server address.
type transports struct {
	// limit returns the connections that may be open to a server.
	limit func(table.Server) int

	mu        sync.RWMutex
	byAddress map[string]*serverTransport
}

type serverTransport struct {
	limit int
	*http.Transport
}

func newTransports(limit func(table.Server) int) *transports {
	return &transports{limit: limit, byAddress: make(map[string]*serverTransport)}
}

// get returns the transport to the server.
func (t *transports) get(server table.Server) *http.Transport {
	t.mu.RLock()
	transport := t.byAddress[server.Address]
	t.mu.RUnlock()
	if transport != nil {
		return transport.Transport
	}
	return t.create(server)
}

func (t *transports) create(server table.Server) *http.Transport {
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

// retain closes the transports of addresses that the snapshot lacks or gives
// another limit.
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

func newTransport(connLimit int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        connLimit,
		MaxIdleConnsPerHost:    connLimit,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderSize,
		ReadBufferSize:         readBufferSize,
		WriteBufferSize:        writeBufferSize,
		DisableCompression:     true,
		Protocols:              http1Only(),
	}
}

func http1Only() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}
