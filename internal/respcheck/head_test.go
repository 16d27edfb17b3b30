package respcheck_test

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
	"github.com/pomelolock/pomelolock/internal/respcheck"
)

// readers returns the ways in which the bytes of a response may arrive.
func readers(text string) map[string]io.Reader {
	return map[string]io.Reader{
		"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
		"in halves": iotest.HalfReader(strings.NewReader(text)),
	}
}

// TestMalformedHeadsAreRejected guards against parsers that accept more than is valid: the end of such a
// head never reaches them.
func TestMalformedHeadsAreRejected(t *testing.T) {
	responses := rawserver.MalformedStatus("Own: 1\r\n", "of the server")
	maps.Copy(responses, rawserver.MalformedFields("Own: 1\r\n", "of the server"))
	for name, response := range responses {
		for how, source := range readers(response) {
			t.Run(name+", "+how, func(t *testing.T) {
				g := gomega.NewWithT(t)
				reader := respcheck.NewReader(source)
				g.Expect(reader.ExpectHead(nil)).To(gomega.Succeed())
				got, err := io.ReadAll(reader)
				var malformed *respcheck.HeadError
				g.Expect(errors.As(err, &malformed)).To(gomega.BeTrue())
				g.Expect(malformed.Line).To(gomega.BeNumerically("<=", 1+strings.Count(response, "\n")))
				g.Expect(len(malformed.Excerpt)).To(gomega.BeNumerically("<=", 48))
				g.Expect(bytes.HasSuffix(got, []byte(malformed.Excerpt))).To(gomega.BeTrue(), "%q", malformed.Excerpt)
				g.Expect(string(got)).NotTo(gomega.ContainSubstring("of the server"))
				_, err = reader.Read(make([]byte, 1))
				g.Expect(errors.As(err, &malformed)).To(gomega.BeTrue())
			})
		}
	}
}

// TestSoundHeadsAreAccepted guards against sound responses that are rejected.
func TestSoundHeadsAreAccepted(t *testing.T) {
	body := "\x00 not: a head\r\nHTTP/1.1 000\r\n\r\n"
	for name, head := range map[string]string{
		"no field":             "HTTP/1.1 204 No Content\r\n\r\n",
		"no reason":            "HTTP/1.1 200\r\n\r\n",
		"an empty reason":      "HTTP/1.1 200 \r\n\r\n",
		"bare line feeds":      "HTTP/1.0 200 OK\nOwn: 1\n\n",
		"any text in a reason": "HTTP/1.1 404 \xc3\xa4\t(none)\r\nOwn: 1\r\n\r\n",
		"all of a token":       "HTTP/1.1 500 X\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n",
		"any text in a value":  "HTTP/1.1 999 X\r\nOwn:\t a:b\t\xff ~\r\nEmpty:\r\n\r\n",
		"interim responses":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nOwn: 1\r\n\r\n",
	} {
		for how, source := range readers(head + body) {
			t.Run(name+", "+how, func(t *testing.T) {
				g := gomega.NewWithT(t)
				reader := respcheck.NewReader(source)
				g.Expect(reader.ExpectHead(nil)).To(gomega.Succeed())
				got, err := io.ReadAll(reader)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(string(got)).To(gomega.Equal(head + body))
				g.Expect(reader.ExpectHead([]byte(head))).To(gomega.Succeed())
				g.Expect(reader.ExpectHead([]byte("HTTP/1.1 200 OK\r\nOwn : 1"))).NotTo(gomega.Succeed())
			})
		}
	}
}
