package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/certs"
)

// writeCert writes a self-signed certificate with the common name, its key, and
// the same certificate as the CA. It is valid under synctest's clock as well.
func writeCert(g gomega.Gomega, opts certs.Options, name string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{"fleet"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	g.Expect(os.WriteFile(opts.Cert, cert, 0o600)).To(gomega.Succeed())
	g.Expect(os.WriteFile(opts.Authorities, cert, 0o600)).To(gomega.Succeed())
	pemKey := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	g.Expect(os.WriteFile(opts.Key, pemKey, 0o600)).To(gomega.Succeed())
}

func optionsIn(dir string) certs.Options {
	return certs.Options{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "ca.pem"),
	}
}

// servedName returns the common name of the certificate that the source serves.
func servedName(g gomega.Gomega, source *certs.Source) string {
	cert, err := source.ServerConfig(false).GetCertificate(nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return cert.Leaf.Subject.CommonName
}

func TestChangedCertificateIsReloadedUnlessInvalid(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		opts := optionsIn(dir)
		var failures int
		opts.OnError = func(error) { failures++ }
		writeCert(g, opts, "first")
		source, err := certs.NewSource(opts)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		writeCert(g, opts, "the second")
		time.Sleep(time.Minute)
		g.Expect(servedName(g, source)).To(gomega.Equal("the second"))
		g.Expect(os.WriteFile(opts.Cert, []byte("broken"), 0o600)).To(gomega.Succeed())
		time.Sleep(time.Minute)
		g.Expect(servedName(g, source)).To(gomega.Equal("the second"))
		g.Expect(failures).To(gomega.Equal(1))
	})
}

func TestPeersWithoutCertificateAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	opts := optionsIn(t.TempDir())
	writeCert(g, opts, "entry")
	source, err := certs.NewSource(opts)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	config := source.PeerConfig("fleet")
	g.Expect(handshake(config, config)).To(gomega.Succeed())
	anonymous := &tls.Config{RootCAs: config.RootCAs, ServerName: "fleet"}
	g.Expect(handshake(config, anonymous)).NotTo(gomega.Succeed())
}

// handshake returns the error of the server's side of a TLS handshake.
func handshake(server, client *tls.Config) error {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	go func() {
		conn := tls.Client(b, client)
		_ = conn.Handshake()
		_, _ = conn.Read(make([]byte, 1))
	}()
	return tls.Server(a, server).Handshake()
}
