package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestRefusalIsNoProofWhileAnEarlierAttemptIsUndecided guards against "not run" for a request that
// runs: the transport hands a connection out again before the attempt that was refused has seen
// its refusal, and the later attempt, which receives the copy, is the first to confirm one.
func TestRefusalIsNoProofWhileAnEarlierAttemptIsUndecided(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &countingConn{Conn: near}
	// Two attempts get the connection from the transport, one after the other; the first one is
	// refused and has not looked at its response yet.
	use := func() *sendRecord {
		record := &sendRecord{uses: []connUse{conn.beginAttempt(time.Time{}, "order", false)}}
		_, err := conn.Write([]byte("order"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return record
	}
	use()
	later := use()
	g.Expect(later.confirmRefusal(true)).To(gomega.BeFalse(), "the refusal may be a copy of that of the earlier attempt")
}
