package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pomelolock/pomelolock/internal/strictjson"
)

// MaxFileBytes is the maximum size of a settings file, in bytes.
const MaxFileBytes = 1 << 20

// Fault is one fault of a settings file.
type Fault struct {
	File string `json:"file"`
	// Line is the line number, starting at 1. For a missing field it is the
	// line of the object that should contain the field.
	Line int `json:"line"`
	// Field is the path of the field, as in "listen.caller", or empty for a
	// fault of the file as a whole, such as a syntax error.
	Field   string `json:"field"`
	Message string `json:"message"`
}

func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// FaultError reports all faults of a settings file.
type FaultError struct {
	Faults []Fault
}

func (e *FaultError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "settings: " + strings.Join(lines, "\n")
}

// FileError reports a settings file that could not be read.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("settings: read %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads and validates a settings file and the certificate files that it
// names. Relative file names are resolved against the directory of the settings
// file. Load fails with [FileError] or [FaultError].
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Err: err}
	}
	s, result := decode(path, data)
	faults := check(path, s, result)
	s.resolveFiles(filepath.Dir(path))
	faults = append(faults, checkCertificateFiles(path, s, result)...)
	if len(faults) > 0 {
		return nil, &FaultError{Faults: faults}
	}
	return s, nil
}

// Parse validates the content of a settings file without reading the files that it
// names. The file name is used in faults only. Parse fails with [FaultError].
func Parse(file string, data []byte) (*Settings, error) {
	s, result := decode(file, data)
	if faults := check(file, s, result); len(faults) > 0 {
		return nil, &FaultError{Faults: faults}
	}
	return s, nil
}

// decode decodes a settings file over the default settings.
func decode(file string, data []byte) (*Settings, *strictjson.Result) {
	s := Default()
	if len(data) > MaxFileBytes {
		message := fmt.Sprintf("%s is larger than %d bytes", file, MaxFileBytes)
		return s, &strictjson.Result{Faults: []strictjson.Fault{{Line: 1, Message: message}}}
	}
	return s, strictjson.Decode(data, s)
}

// listeners returns the listeners with their certificates.
func (s *Settings) listeners() []listener {
	return []listener{
		{name: "caller", cert: s.TLS.Caller},
		{name: "peer", cert: s.TLS.Peer},
		{name: "operator", cert: s.TLS.Operator},
	}
}

// listener is the TLS setting of one listener.
type listener struct {
	name string
	// cert is nil for a listener without TLS.
	cert *Certificate
}

// resolveFiles makes relative names of certificate files relative to dir.
func (s *Settings) resolveFiles(dir string) {
	for _, l := range s.listeners() {
		if l.cert == nil {
			continue
		}
		for _, file := range []*string{&l.cert.Cert, &l.cert.Key, &l.cert.ClientCA} {
			if *file != "" && !filepath.IsAbs(*file) {
				*file = filepath.Join(dir, *file)
			}
		}
	}
}

// checkCertificateFiles loads the certificate files and returns a fault for each
// listener's certificate and CA file that cannot be used.
func checkCertificateFiles(file string, s *Settings, result *strictjson.Result) []Fault {
	var faults []Fault
	for _, l := range s.listeners() {
		if l.cert == nil || l.cert.Cert == "" || l.cert.Key == "" {
			continue
		}
		field := "tls." + l.name
		if _, err := tls.LoadX509KeyPair(l.cert.Cert, l.cert.Key); err != nil {
			faults = append(faults, Fault{file, result.Line(field), field, err.Error()})
		}
		if l.cert.ClientCA == "" {
			continue
		}
		if _, err := LoadPool(l.cert.ClientCA); err != nil {
			field += ".client_ca"
			faults = append(faults, Fault{file, result.Line(field), field, err.Error()})
		}
	}
	return faults
}

// FileReason is an error that says why a file cannot be used.
type FileReason string

func (f FileReason) Error() string { return "settings: " + string(f) }

const errNoCertificate FileReason = "no PEM certificate found"

// LoadPool reads a PEM file of CA certificates. It fails with [FileError].
func LoadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &FileError{File: path, Err: errNoCertificate}
	}
	return pool, nil
}
