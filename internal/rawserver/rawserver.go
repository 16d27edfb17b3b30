// Package rawserver has servers for tests that read requests from a connection and write bytes of
// their own.
package rawserver

import (
	"bufio"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Start passes each connection to serve and closes it afterwards. It returns the address on which it
// listens until the test ends.
func Start(t testing.TB, serve func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// Respond returns a function for [Start] that reads the head of one request and writes text.
func Respond(text string) func(conn net.Conn) {
	return func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, text)
		}
	}
}

// HeaderSending is the header that tells the sendings of requests apart which have the same ID.
const HeaderSending = "Sending"

// Copying is a server that answers some requests before it has read their bodies, and writes earlier
// responses of a connection once more where the next one is due. It is safe for concurrent use.
type Copying struct {
	// Response returns the response to a request, and whether the server runs it.
	Response func(req *http.Request) (text string, run bool)

	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string]int
}

// NewCopying returns a server whose draws begin with a fixed seed.
func NewCopying() *Copying {
	return &Copying{rng: rand.New(rand.NewPCG(1, 2)), runs: make(map[string]int)}
}

// Draw returns a random number below n.
func (s *Copying) Draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// Runs returns how often each sending ran.
func (s *Copying) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Serve serves a connection until it ends.
func (s *Copying) Serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var earlier []string
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response, run := s.Response(req)
		early := s.Draw(4) == 0
		if !early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if run {
			s.mu.Lock()
			s.runs[req.Header.Get(HeaderSending)]++
			s.mu.Unlock()
		}
		for len(earlier) > 0 && s.Draw(3) == 0 {
			time.Sleep(time.Duration(s.Draw(3)) * time.Millisecond)
			_, _ = io.WriteString(conn, earlier[s.Draw(len(earlier))])
		}
		time.Sleep(time.Duration(s.Draw(4)) * time.Millisecond)
		_, _ = io.WriteString(conn, response)
		earlier = append(earlier, response)
		if early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}
}
