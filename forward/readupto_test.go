package forward

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
)

// TestBodiesAreBufferedUpToTheLimit guards against a buffer that grows beyond the limit, and against
// a body that is taken for complete or for incomplete wrongly near it.
func TestBodiesAreBufferedUpToTheLimit(t *testing.T) {
	for _, size := range []int{0, 1, minBodyBuffer - 1, minBodyBuffer, minBodyBuffer + 1, maxBufferedResponse - 1, maxBufferedResponse, maxBufferedResponse + 1, 3 * maxBufferedResponse} {
		for _, length := range []int64{int64(size), -1} {
			for _, read := range []func(io.Reader) io.Reader{
				func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader,
			} {
				g := gomega.NewWithT(t)
				data := bytes.Repeat([]byte("x"), size)
				got, complete, err := readUpTo(read(bytes.NewReader(data)), nil, length, maxBufferedResponse)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(complete).To(gomega.Equal(size <= maxBufferedResponse), "%d bytes", size)
				g.Expect(bytes.Equal(got, data[:min(size, maxBufferedResponse+1)])).To(gomega.BeTrue(), "%d bytes", size)
				// An allocation is rounded up to whole pages.
				g.Expect(cap(got)).To(gomega.BeNumerically("<=", maxBufferedResponse+(16<<10)))
			}
		}
	}
}
