package operator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"math/big"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/burn"
	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// fakeInstance implements the interfaces in [operator.Options]. It accepts tables into
// an in-memory store.
type fakeInstance struct {
	status operator.Status
	store  *table.Store
}

func (f *fakeInstance) Status() operator.Status { return f.status }

func (f *fakeInstance) Backends() []operator.Backend { return nil }

func (f *fakeInstance) Burn(context.Context) (burn.Report, error) { return burn.Report{}, nil }

func (f *fakeInstance) Accept(ctx context.Context, doc table.Document, by table.Acceptance) (table.Accepted, error) {
	return f.store.AcceptAs(ctx, doc, by)
}

func newFakeInstance() *fakeInstance {
	mem := memory.New()
	return &fakeInstance{store: table.NewStore(mem, mem), status: operator.Status{Instance: storage.Instance{ID: "entry-1"}}}
}

func (f *fakeInstance) handler() http.Handler {
	return operator.NewHandler(operator.Options{
		Reporter: f, Acceptor: f, BurnReporter: f, Metrics: http.NotFoundHandler(), TokenSHA256: operator.HashToken("t"),
	})
}

func request() operator.AcceptRequest {
	return operator.AcceptRequest{AcceptanceID: "a", Author: "given", Document: json.RawMessage(`{"services": [{"name": "s"}]}`)}
}

func TestAcceptNeedsTokenAndIsIdempotent(t *testing.T) {
	g := NewWithT(t)
	f := newFakeInstance()
	server := httptest.NewServer(f.handler())
	defer server.Close()
	for _, wrong := range []string{"", "wrong"} {
		client := &operator.Client{URL: server.URL, HTTP: server.Client(), Token: wrong}
		_, err := client.Accept(t.Context(), request())
		g.Expect(operator.HasCode(err, operator.CodeUnauthorized)).To(BeTrue(), "%v", err)
	}
	client := &operator.Client{URL: server.URL, HTTP: server.Client(), Token: "t"}
	for range 2 {
		response, err := client.Accept(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Version).To(Equal(uint64(1)))
	}
	other := request()
	other.AcceptanceID = "b"
	_, err := client.Accept(t.Context(), other)
	g.Expect(operator.HasCode(err, operator.CodeConflict)).To(BeTrue(), "%v", err)
	other.Document = json.RawMessage(`{"services": [{}]}`)
	_, err = client.Accept(t.Context(), other)
	g.Expect(operator.HasCode(err, operator.CodeInvalid)).To(BeTrue(), "%v", err)
}

func TestProfilesNeedAnOperator(t *testing.T) {
	g := NewWithT(t)
	recorder := httptest.NewRecorder()
	newFakeInstance().handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/debug/pprof/heap", nil))
	g.Expect(recorder.Code).To(Equal(http.StatusUnauthorized))
}

func TestReadiness(t *testing.T) {
	for reason, status := range map[string]operator.Status{
		"ok\n":      {},
		"leaving\n": {Leaving: true},
		"cold\n":    {NotReady: "cold"},
	} {
		g := NewWithT(t)
		f := newFakeInstance()
		f.status = status
		recorder := httptest.NewRecorder()
		f.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		g.Expect(recorder.Body.String()).To(Equal(reason))
		g.Expect(recorder.Code == http.StatusOK).To(Equal(status == operator.Status{}))
	}
}

func TestCertificateNamesTheAuthor(t *testing.T) {
	g := NewWithT(t)
	f := newFakeInstance()
	server := httptest.NewUnstartedServer(f.handler())
	pair, pool := selfSigned(t, "alena")
	server.TLS = &tls.Config{ClientCAs: pool, ClientAuth: tls.VerifyClientCertIfGiven}
	server.StartTLS()
	defer server.Close()
	client := server.Client()
	client.Transport.(*http.Transport).TLSClientConfig.Certificates = []tls.Certificate{pair}
	_, err := (&operator.Client{URL: server.URL, HTTP: client}).Accept(t.Context(), request())
	g.Expect(err).NotTo(HaveOccurred())
	doc, err := f.store.Load(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(doc.Author).To(Equal("alena"))
}

// selfSigned returns a self-signed client certificate and a pool that contains it.
func selfSigned(t *testing.T, name string) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}
