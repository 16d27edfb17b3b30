// Package certs serves TLS certificates from files and reads them again when
// they change, so that certificates are renewed without a restart.
//
// A changed file that can't be used is reported through [Options.OnError] and
// the last good certificate stays in use.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkEvery is the least time between two looks at the files.
const checkEvery = 5 * time.Second

// FileError reports a certificate, key or authority file that can't be used.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("certs: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Reason tells why a file can't be used.
type Reason string

func (r Reason) Error() string { return "certs: " + string(r) }

const errNoAuthority Reason = "no certificate in PEM found"

// Options name the files of a [Source].
type Options struct {
	// Cert and Key are PEM files of the certificate chain and its key.
	Cert, Key string
	// Authorities is a PEM file of the authorities that sign the other
	// side's certificate; "" demands none.
	Authorities string
	// OnError hears of files that can't be read again. It may be nil.
	OnError func(error)
}

// Source holds the present certificate and authorities. It is safe for
// concurrent use.
type Source struct {
	opts Options

	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	checked time.Time
	stamp   string
}

// NewSource reads the files. It fails with [FileError].
func NewSource(opts Options) (*Source, error) {
	s := &Source{opts: opts}
	if err := s.read(); err != nil {
		return nil, err
	}
	s.checked = time.Now()
	s.stamp = s.readStamp()
	return s, nil
}

func (s *Source) read() error {
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
			return &FileError{File: s.opts.Authorities, Err: errNoAuthority}
		}
	}
	s.cert, s.pool = &cert, pool
	return nil
}

// readStamp returns the files' modification times and sizes.
func (s *Source) readStamp() string {
	var stamp string
	for _, file := range []string{s.opts.Cert, s.opts.Key, s.opts.Authorities} {
		if info, err := os.Stat(file); err == nil {
			stamp += fmt.Sprintf("%d/%d;", info.ModTime().UnixNano(), info.Size())
		}
	}
	return stamp
}

// present returns the certificate and authorities, read again if the files
// changed.
func (s *Source) present() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkEvery {
		return s.cert, s.pool
	}
	s.checked = time.Now()
	stamp := s.readStamp()
	if stamp == s.stamp {
		return s.cert, s.pool
	}
	if err := s.read(); err != nil {
		if s.opts.OnError != nil {
			s.opts.OnError(err)
		}
		return s.cert, s.pool
	}
	s.stamp = stamp
	return s.cert, s.pool
}

// ServerConfig returns a configuration for a listener. If require is set, a
// client must show a certificate signed by the authorities; otherwise one
// that is shown is verified.
func (s *Source) ServerConfig(require bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(require), nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.present()
			return cert, nil
		},
	}
}

func (s *Source) serverConfig(require bool) *tls.Config {
	cert, pool := s.present()
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
	if pool == nil {
		return config
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.VerifyClientCertIfGiven
	if require {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// PeerConfig returns a configuration for both ends of sessions in which each
// side shows a certificate signed by the authorities.
func (s *Source) PeerConfig(serverName string) *tls.Config {
	config := s.ServerConfig(true)
	_, pool := s.present()
	config.RootCAs = pool
	config.ServerName = serverName
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		cert, _ := s.present()
		return cert, nil
	}
	return config
}
