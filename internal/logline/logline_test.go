package logline

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestOutputThatBlocksDoesNotBlockTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		out := &blockedWriter{release: make(chan struct{})}
		w := NewWriter(out)
		logger, err := New(w, "info")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range 5 * queueCapacity {
			logger.Info("event", "key", "value")
			time.Sleep(time.Second / linesPerSecond)
		}
		close(out.release)
		w.Close()
		g.Expect(out.out.String()).To(gomega.ContainSubstring("log lines dropped"))
	})
}

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var out bytes.Buffer
		w := NewWriter(&out)
		logger, err := New(w, "info")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range burstLines + 7 {
			logger.Info("event")
			synctest.Wait()
		}
		w.Close()
		g.Expect(strings.Count(out.String(), "msg=event")).To(gomega.Equal(burstLines))
		g.Expect(out.String()).To(gomega.ContainSubstring("lines=7"))
	})
}

func TestUnknownLevel(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud")
	gomega.NewWithT(t).Expect(err).To(gomega.Equal(&LevelError{Level: "loud"}))
}
