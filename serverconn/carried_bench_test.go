package serverconn

import (
	"bufio"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/internal/idset"
)

// idleConn stands for an idle connection without a socket, so that only the pool is measured.
type idleConn struct{ net.Conn }

func (idleConn) Close() error { return nil }

// BenchmarkGetFor measures how long a request takes to get one of 64 idle connections that have
// carried 1,000 requests each, and to return it. None has carried a new ID. Most have carried a
// repeated one; those that have not, one for each goroutine, are searched last.
func BenchmarkGetFor(b *testing.B) {
	const address, conns, carried = "a", 64, 1000
	fitting := runtime.GOMAXPROCS(0)
	for _, id := range []string{"new", "repeated"} {
		for _, parallel := range []bool{false, true} {
			b.Run(fmt.Sprintf("id=%s/parallel=%t", id, parallel), func(b *testing.B) {
				p := NewPool()
				s := p.serverLocked(address)
				s.open = conns
				for n := range conns {
					c := &Conn{
						raw: idleConn{}, pool: p, address: address, Number: uint64(n), opened: time.Now(),
						expires: time.Now().Add(time.Hour), reader: bufio.NewReader(strings.NewReader("")),
					}
					for i := range carried {
						earlier := fmt.Sprint(n, " ", i)
						if i == carried-1 && n >= fitting {
							earlier = "repeated"
						}
						c.request = idset.HashOf(earlier)
						c.carry()
					}
					s.idle = append(s.idle, c)
				}
				take := func() {
					c, err := p.GetFor(b.Context(), address, conns, id)
					if err != nil {
						b.Error(err)
						return
					}
					p.mu.Lock()
					defer p.mu.Unlock()
					if c.Number < uint64(fitting) {
						s.idle = slices.Insert(s.idle, 0, c)
					} else {
						s.idle = append(s.idle, c)
					}
				}
				if !parallel {
					for b.Loop() {
						take()
					}
					return
				}
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						take()
					}
				})
			})
		}
	}
}
