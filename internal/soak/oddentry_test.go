package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// oddEntries returns entries of backend servers that another writer may have left, by what is
// odd about them. Each differs in one way from an entry that could be used.
func oddEntries() map[string][]string {
	entry := func(field, value string) string {
		fields := map[string]string{
			"addr": `"127.0.0.1:9"`, "born": `1`, "service": `"main"`, "zone": `"a"`, "slots": `6`,
			"state": `"ready"`, "seq": `1`, "warmup_left": `"0ms"`, "more": `0`,
		}
		fields[field] = value
		return fmt.Sprintf(`{"addr":%s,"born":%s,"info":{"service":%s,"zone":%s,"slots":%s},"status":{"state":%s,"seq":%s,"warmup_left":%s},"more":%s}`,
			fields["addr"], fields["born"], fields["service"], fields["zone"], fields["slots"], fields["state"], fields["seq"], fields["warmup_left"], fields["more"])
	}
	long := `"` + strings.Repeat("x", 60_000) + `"`
	nested := func(open, end string, depth int) string {
		return strings.Repeat(open, depth) + "0" + strings.Repeat(end, depth)
	}
	odd := map[string][]string{
		"form": {"\x00\xff\xfe{", "", "null", "[]", `{"addr":"127.0.0.1:9","info":`},
		"nesting": {
			nested("[", "]", 32_000), nested(`{"a":`, "}", 10_000), entry("more", nested("[", "]", 9_000)),
			entry("addr", nested("[", "]", 9_000)), entry("more", nested("[", "]", 30_000)),
		},
	}
	for field, values := range map[string][]string{
		"addr": {
			`"127.0.0.1:70000"`, `"127.0.0.1:65536"`, `"127.0.0.1:-1"`, `"127.0.0.1:0"`, `"127.0.0.1:99999999999999999999"`, `"127.0.0.1"`, `":9"`,
			`"no.such.name:9"`, `"[::1:9"`, `"127.0.0.1:http"`, `"999.0.0.1:9"`, `"127.0.0.1:9 "`, `"\u0000:9"`, `7`, `null`, long,
		},
		"slots":       {`1e400`, `1e18`, `9223372036854775807`, `9223372036854775808`, `4294967296`, `4294967297`, `2147483648`, `0`, `-1`, `1.5`, `"6"`, `null`},
		"born":        {`1e400`, `9223372036854775807`, `-9223372036854775808`, `9223372036854775808`, `1.5`, `"now"`, `null`},
		"seq":         {`1e400`, `9223372036854775807`, `-9223372036854775808`, `18446744073709551615`, `"1"`},
		"warmup_left": {`"9223372036854775807ms"`, `"2562047h"`, `"-2562047h"`, `"1e400s"`, `"soon"`, `5`},
		"service":     {long, `""`, `"\ud800"`, `7`, `"main\n"`},
		"zone":        {long, `""`, `"\ud800"`, `7`, `"a\u0000"`},
		"state":       {`"gone"`, `""`, `7`},
	} {
		for _, value := range values {
			odd[field] = append(odd[field], entry(field, value))
		}
	}
	return odd
}

// TestOddEntries guards against processes that end, or stop following the list of backend
// servers, because of an entry that another writer left there.
func TestOddEntries(t *testing.T) {
	s := newSoak(t, rand.New(rand.NewPCG(*first, 2)), "2000ms")
	for n := range 3 {
		s.addBackend(n)
	}
	s.startDaemons(buildDaemon(t), 3)
	time.Sleep(time.Second)
	ends := make([]int64, len(s.daemons))
	check := func(after string) {
		t.Helper()
		transport := &http.Transport{DisableKeepAlives: true}
		// A new route and a new server are known a second after the odd entry.
		path := fmt.Sprintf("/extra%d/", s.sequence.Add(1))
		s.accept(path)
		replaced := s.backends[0]
		s.addBackend(0)
		replaced.drain()
		time.Sleep(time.Second)
		before := replaced.arrivals.Load()
		for n, d := range s.daemons {
			if got := d.ends.Load(); got != ends[n] {
				t.Errorf("after %s, daemon %d ended", after, n)
				ends[n] = got
			}
			for range 6 {
				id := fmt.Sprintf("q%d", s.sequence.Add(1))
				if status, _ := s.send(transport, d, http.MethodGet, path+id, id); status != http.StatusOK {
					t.Errorf("after %s, a request for a new route got %d at daemon %d", after, status, n)
				}
			}
		}
		if replaced.arrivals.Load() != before {
			t.Errorf("after %s, requests reached a server that drains", after)
		}
		replaced.crash()
	}
	check("the start")
	odd := oddEntries()
	put := func(name string, present bool) {
		for n, value := range odd[name] {
			id := fmt.Sprint("i-odd-", name, "-", n)
			s.store.put("servers", id, nil)
			if present {
				s.store.putRaw("servers", id, []byte(value))
			}
		}
	}
	for name := range odd {
		put(name, true)
		check(name)
		put(name, false)
	}
	for name := range odd {
		put(name, true)
	}
	check("all of them")
	for n, d := range s.daemons {
		d.signal(syscall.SIGKILL)
		ends[n]++
	}
	time.Sleep(2 * time.Second)
	check("a restart, which reads all of them")
}
