package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// selfSignedTLS returns a configuration for mutual TLS with a new self-signed
// certificate for name.
func selfSignedTLS(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{name},
		NotAfter:     time.Now().Add(time.Hour),
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13,
	}
}

// TestMeshAuthenticatesBothEnds checks that peers without TLS or with the
// certificate of a different CA get no session.
func TestMeshAuthenticatesBothEnds(t *testing.T) {
	shared := selfSignedTLS(t, "test")
	secure := func(o *Options) { o.TLS = shared }
	a, b := startMesh(t, "a", secure), startMesh(t, "b", secure)
	plain := startMesh(t, "c", nil)
	otherCA := startMesh(t, "d", func(o *Options) { o.TLS = selfSignedTLS(t, "test") })
	b.Handle(testKind, echo)
	connectAll(a, b, plain, otherCA)
	awaitPeers(t, a, "b")
	callMany(t, a, "b")
	gomega.NewWithT(t).Eventually(func() bool {
		return plain.Stats().DialFailures > 2 && otherCA.Stats().DialFailures > 2
	}, waitTimeout).Should(gomega.BeTrue())
	awaitPeers(t, plain)
	awaitPeers(t, otherCA)
}
