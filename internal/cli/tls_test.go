package cli_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/cli"
	"github.com/pomelolock/pomelolock/internal/standin/platformd"
	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// writeClientCertificate writes a self-signed client certificate for alena and
// returns its files and a pool that trusts it.
func writeClientCertificate(t *testing.T, dir string) (cert, key string, pool *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "alena"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	chain := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	pool.AppendCertsFromPEM(chain)
	cert, key = filepath.Join(dir, "alena.pem"), filepath.Join(dir, "alena.key")
	writeFile(t, cert, chain)
	writeFile(t, key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
	return cert, key, pool
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestOperatorsCertificateReplacesTheToken(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	cert, key, pool := writeClientCertificate(t, dir)
	mem := memory.New()
	platformServer := httptest.NewServer(platformd.NewHandler(mem))
	defer platformServer.Close()
	store := table.NewStore(mem, mem)
	sync := table.NewSync(table.SyncOptions{
		Store: store, Messenger: peertest.NewNetwork(0).Join("entry-1"),
		View: idView{self: "entry-1"}, Current: table.NewCurrent(),
	})
	server := httptest.NewUnstartedServer(operator.NewHandler(operator.Options{Acceptor: sync, Metrics: http.NotFoundHandler()}))
	server.TLS = &tls.Config{ClientCAs: pool, ClientAuth: tls.VerifyClientCertIfGiven}
	server.StartTLS()
	defer server.Close()
	ca := filepath.Join(dir, "ca.pem")
	writeFile(t, ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}))
	doc := filepath.Join(dir, "table.json")
	writeFile(t, doc, []byte(`{"services": [{"name": "orders"}]}`))

	args := []string{"--platform", platformServer.URL, "--operator", strings.TrimPrefix(server.URL, "https://"), "--ca", ca}
	c := &tool{t: t, g: g, args: args}
	c.run(cli.CodeUnauthorized, "table", "accept", "--yes", doc)
	c.args = append(c.args, "--cert", cert, "--key", key)
	c.run(cli.CodeDone, "table", "accept", "--yes", "--author", "somebody else", doc)
	accepted, err := store.Load(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(accepted.Author).To(Equal("alena"))
}
