// Package certs provides TLS configurations with certificates from files. It
// reloads the files when they change, so that certificates are renewed without a
// restart.
//
// If a changed file cannot be loaded, the error is reported through
// [Options.OnError] and the last valid certificate stays in use.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = 5 * time.Second

// FileError reports a certificate, key or CA file that cannot be loaded.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("certs: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Reason is an error that says why a file cannot be used.
type Reason string

func (r Reason) Error() string { return "certs: " + string(r) }

const errNoCACertificate Reason = "no PEM certificate found"

// Options configures a [Source].
type Options struct {
	// Cert and Key are the PEM files with the certificate chain and its private
	// key.
	Cert, Key string
	// Authorities is the PEM file with the CA certificates that the other
	// side's certificate is verified against. If it is empty, clients are not
	// asked for a certificate.
	Authorities string
	// OnError is called with the error of a failed reload. It may be nil.
	OnError func(error)
}

// Source holds the current certificate and CA pool. It is safe for concurrent
// use.
type Source struct {
	opts Options

	mu   sync.Mutex
	cert *tls.Certificate
	pool *x509.CertPool
	// checked is the time of the last check for changes.
	checked time.Time
	// stamp identifies the loaded versions of the files; see readStamp.
	stamp string
}

// NewSource loads the files. It fails with [FileError].
func NewSource(opts Options) (*Source, error) {
	s := &Source{opts: opts}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.checked = time.Now()
	s.stamp = s.readStamp()
	return s, nil
}

// load replaces the certificate and the CA pool, both or neither.
func (s *Source) load() error {
	cert, err := tls.LoadX509KeyPair(s.opts.Cert, s.opts.Key)
	if err != nil {
		return &FileError{File: s.opts.Cert, Err: err}
	}
	var pool *x509.CertPool
	if s.opts.Authorities != "" {
		data, err := os.ReadFile(s.opts.Authorities)
		if err != nil {
			return &FileError{File: s.opts.Authorities, Err: err}
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return &FileError{File: s.opts.Authorities, Err: errNoCACertificate}
		}
	}
	s.cert, s.pool = &cert, pool
	return nil
}

// readStamp returns the modification times and sizes of the files, which change
// when a file is replaced.
func (s *Source) readStamp() string {
	var stamp string
	for _, file := range []string{s.opts.Cert, s.opts.Key, s.opts.Authorities} {
		if info, err := os.Stat(file); err == nil {
			stamp += fmt.Sprintf("%d/%d;", info.ModTime().UnixNano(), info.Size())
		}
	}
	return stamp
}

// current returns the certificate and the CA pool, which it reloads first if the
// files changed. A failed reload is repeated at every check until it succeeds.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkInterval {
		return s.cert, s.pool
	}
	s.checked = time.Now()
	stamp := s.readStamp()
	if stamp == s.stamp {
		return s.cert, s.pool
	}
	if err := s.load(); err != nil {
		if s.opts.OnError != nil {
			s.opts.OnError(err)
		}
		return s.cert, s.pool
	}
	s.stamp = stamp
	return s.cert, s.pool
}

// ServerConfig returns the configuration of a listener. If requireClientCert is
// true, clients must present a certificate signed by one of the CAs; otherwise a
// certificate is optional, but verified if presented. Without CAs no client
// certificate is requested.
func (s *Source) ServerConfig(requireClientCert bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(requireClientCert), nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// serverConfig returns the configuration for one connection.
func (s *Source) serverConfig(requireClientCert bool) *tls.Config {
	cert, pool := s.current()
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
	if pool == nil {
		return config
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.VerifyClientCertIfGiven
	if requireClientCert {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// PeerConfig returns a configuration for both ends of a session with mutual
// authentication: each side presents a certificate signed by one of the CAs.
// serverName is the name that the server's certificate must contain. As a client
// the configuration uses the CAs as they were when PeerConfig was called.
func (s *Source) PeerConfig(serverName string) *tls.Config {
	config := s.ServerConfig(true)
	_, pool := s.current()
	config.RootCAs = pool
	config.ServerName = serverName
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		cert, _ := s.current()
		return cert, nil
	}
	return config
}
