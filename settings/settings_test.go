package settings_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/settings"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md")

const valid = `{
  // One instance of the fleet.
  "fleet": "vltava",
  "instance": {"id": "entry-1", "region": "cz", "data_centre": "praha-1"},
  "listen": {"caller": "127.0.0.1:8080", "peer": "127.0.0.1:8081", "operator": "127.0.0.1:8082"},
  "platform": {"url": "http://127.0.0.1:9000"},
  "plain": true,
}
`

func TestLoadFillsDefaults(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, []byte(valid), 0o600)).To(Succeed())
	s, err := settings.Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Platform.TimeoutMS).To(Equal(settings.Default().Platform.TimeoutMS))
	g.Expect(s.Advertise.Peer).To(Equal("127.0.0.1:8081"))
	_, err = settings.Load(path + ".absent")
	var fileError *settings.FileError
	g.Expect(errors.As(err, &fileError)).To(BeTrue())
}

func TestParseReportsAllFaultsWithLineAndField(t *testing.T) {
	text := `{
  "fleet": 7,
  "instance": {"id": "a b", "region": "cz"},
  "listen": {"caller": "localhost:80", "peer": "0.0.0.0:8081",
    "operator": "127.0.0.1:8082", "admin": "x"},
  "platform": {"url": "ftp://x", "timeout_ms": 0},
  "limits": {"max_header_bytes": 1.5, "max_header_bytes": 4096, "idle_timeout_ms": null},
  "stop": [],
  "log": {"level": "loud"},
  "tls": {"peer": {"cert": "c", "key": "k"}},
  "operator_token_sha256": "abc"
}`
	want := []string{
		`f:2: fleet: want a string, found a number`,
		`f:3: instance.id: "a b" is not a name of up to 63 letters, digits, '.', '_' or '-'`,
		`f:3: instance.data_centre: is required`,
		`f:4: listen.caller: "localhost:80" is not an IP address with a port`,
		`f:5: listen.admin: unknown field`,
		`f:6: platform.url: "ftp://x" is not an http or https URL`,
		`f:6: platform.timeout_ms: 0 is not between 1 and 60000`,
		`f:7: limits.max_header_bytes: want a whole number, found 1.5`,
		`f:7: limits.max_header_bytes: field given twice`,
		`f:7: limits.idle_timeout_ms: want a number, found null`,
		`f:8: stop: want an object, found a list`,
		`f:9: log.level: "loud" is not one of debug, info, warn, error`,
		`f:10: tls.caller: is required unless "plain" is true`,
		`f:10: tls.operator: is required unless "plain" is true`,
		`f:10: tls.peer.client_ca: is required, since peers authenticate each other`,
		`f:11: operator_token_sha256: want 64 hexadecimal digits`,
		`f:1: advertise.peer: 0.0.0.0:8081 cannot be dialled; give the address that others use`,
	}
	g := NewWithT(t)
	_, err := settings.Parse("f", []byte(text))
	var faults *settings.FaultError
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	var got []string
	for _, fault := range faults.Faults {
		got = append(got, fault.String())
	}
	g.Expect(got).To(ConsistOf(want))
}

func TestParseReportsLineOfSyntaxError(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse("f", []byte("{\n\"fleet\": \"x\"\n\"plain\": true}"))
	g.Expect(err).To(MatchError(ContainSubstring("f:3: ")))
	_, err = settings.Parse("f", []byte(strings.Repeat("[", 100000)))
	g.Expect(err).To(MatchError(ContainSubstring("nested deeper")))
}

func TestReferenceMatchesPage(t *testing.T) {
	g := NewWithT(t)
	const page = "../docs/SETTINGS.md"
	if *update {
		g.Expect(os.WriteFile(page, []byte(settings.Reference()), 0o644)).To(Succeed())
	}
	data, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(settings.Reference()))
}

func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		var faults *settings.FaultError
		if err != nil && (!errors.As(err, &faults) || len(faults.Faults) == 0) {
			t.Fatalf("error is not a FaultError or has no faults: %v", err)
		}
		if err == nil && s.Fleet == "" {
			t.Fatal("settings without a fleet name were accepted")
		}
	})
}
