package daemon

import (
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"

	"golang.org/x/net/netutil"

	"github.com/pomelolock/pomelolock/certs"
	"github.com/pomelolock/pomelolock/internal/listen"
	"github.com/pomelolock/pomelolock/settings"
)

// wireServers opens the listeners and creates their HTTP servers.
func (d *Daemon) wireServers() error {
	for _, l := range []struct {
		address  string
		cert     *settings.Certificate
		listener *net.Listener
	}{
		{d.set.Listen.Caller, d.set.TLS.Caller, &d.listeners.caller},
		{d.set.Listen.Peer, nil, &d.listeners.peer},
		{d.set.Listen.Operator, d.set.TLS.Operator, &d.listeners.operator},
	} {
		opened, err := d.listen(l.address, l.cert)
		if err != nil {
			d.closeListeners()
			return err
		}
		*l.listener = opened
	}
	d.listeners.caller = netutil.LimitListener(d.listeners.caller, d.set.Limits.MaxConnections)
	d.callers = d.newServer(d.closeAfterResponse(d.proxy))
	d.operators = d.newServer(d.operatorHandler())
	return nil
}

// listen opens a listener, with TLS if cert is not nil.
func (d *Daemon) listen(address string, cert *settings.Certificate) (net.Listener, error) {
	listener, err := listen.TCP(address)
	if err != nil {
		return nil, err
	}
	if cert == nil {
		return listener, nil
	}
	source, err := d.certSource(cert)
	if err != nil {
		listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, source.ServerConfig(false)), nil
}

func (d *Daemon) certSource(cert *settings.Certificate) (*certs.Source, error) {
	return certs.NewSource(certs.Options{
		Cert: cert.Cert, Key: cert.Key, Authorities: cert.ClientCA,
		OnError: func(err error) { d.logger.Error("certificate not reloaded", "error", err) },
	})
}

// peerTLS returns the TLS configuration of peer sessions; nil if the settings contain
// no certificate for them.
func (d *Daemon) peerTLS() (*tls.Config, error) {
	if d.set.TLS.Peer == nil {
		return nil, nil
	}
	source, err := d.certSource(d.set.TLS.Peer)
	if err != nil {
		return nil, err
	}
	return source.PeerConfig(d.set.Fleet), nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.listeners.caller, d.listeners.peer, d.listeners.operator} {
		if l != nil {
			l.Close()
		}
	}
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: d.set.Limits.ReadHeaderTimeout(),
		IdleTimeout:       d.set.Limits.IdleTimeout(),
		MaxHeaderBytes:    d.set.Limits.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
}
