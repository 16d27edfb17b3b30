package proxy

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// sinkConn counts what it is given.
type sinkConn struct {
	net.Conn
	bytes int
}

func (s *sinkConn) Write(p []byte) (int, error) {
	s.bytes += len(p)
	return len(p), nil
}

// TestNothingIsSentAfterTheDeadline covers a process that was stopped between
// obtaining a connection and its first byte.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		sink := &sinkConn{}
		conn := &countedConn{Conn: sink}
		record := sendRecord{uses: []connUse{{conn: conn, start: conn.begin(time.Now().Add(time.Second))}}}
		time.Sleep(2 * time.Second)
		_, err := conn.Write([]byte("order"))
		g.Expect(err).To(gomega.MatchError(errSendLate))
		g.Expect(sink.bytes).To(gomega.BeZero())
		g.Expect(record.sealUnsent()).To(gomega.BeTrue(), "a request that was not sent counts as run")
		conn.begin(time.Now().Add(time.Second))
		_, err = conn.Write([]byte("order"))
		g.Expect(err).To(gomega.MatchError(errConnSealed))
	})
}
