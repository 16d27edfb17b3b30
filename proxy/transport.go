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
	mu        sync.RWMutex
	byAddress map[string]*serverTransport
}

type serverTransport struct {
	limit int
	*http.Transport
}

func newTransports() *transports {
	return &transports{byAddress: make(map[string]*serverTransport)}
}

// get returns the transport to the server, which opens at most connLimit
// connections.
func (t *transports) get(server table.Server, connLimit int) *http.Transport {
	t.mu.RLock()
	transport := t.byAddress[server.Address]
	t.mu.RUnlock()
	if transport != nil && transport.limit == connLimit {
		return transport.Transport
	}
	return t.replace(server.Address, connLimit)
}

func (t *transports) replace(address string, connLimit int) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byAddress[address]
	if old != nil && old.limit == connLimit {
		return old.Transport
	}
	if old != nil {
		old.CloseIdleConnections()
	}
	created := &serverTransport{limit: connLimit, Transport: newTransport(connLimit)}
	t.byAddress[address] = created
	return created.Transport
}

// retain closes the transports of addresses that the snapshot lacks.
func (t *transports) retain(snapshot *table.Snapshot) {
	present := make(map[string]bool)
	for _, server := range snapshot.Document().Servers {
		present[server.Address] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, transport := range t.byAddress {
		if present[address] {
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
