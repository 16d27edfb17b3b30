package serverconn

import (
	"bytes"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// TestRefusedRequestIsNeverWritten guards against a request that is reported as not sent, and is written
// after all because a later write is allowed.
func TestRefusedRequestIsNeverWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	var sent bytes.Buffer
	var first atomic.Int64
	refusal := errors.New("evacuated")
	refusals := []error{refusal, nil}
	w := &countingWriter{w: &sent, first: &first, mayWrite: func() error {
		err := refusals[0]
		refusals = refusals[1:]
		return err
	}}
	for range 2 {
		n, err := w.Write([]byte("PUT / HTTP/1.1\r\n"))
		g.Expect(n).To(gomega.BeZero())
		g.Expect(err).To(gomega.MatchError(refusal))
	}
	g.Expect(sent.Len()).To(gomega.BeZero())
}
