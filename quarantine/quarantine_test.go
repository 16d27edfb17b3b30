package quarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/quarantine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	linkDelay = 2 * time.Millisecond
	crashTime = 5 * time.Millisecond
)

// event is the acceptance of a copy of the poison request, or the loss of a
// server.
type event struct {
	instance int
	at       time.Time
}

// fleet runs the quarantines of several instances over an in-memory network.
type fleet struct {
	net         *peertest.Network
	quarantines []*quarantine.Quarantine
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu       sync.Mutex
	accepted []event
	crashes  []event
}

func newFleet(n int) *fleet { return newFleetWith(n, quarantine.Options{}) }

func newFleetWith(n int, opts quarantine.Options) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{net: peertest.NewNetwork(linkDelay), cancel: cancel}
	for i := range n {
		opts.Messenger = f.net.Join(instanceID(i))
		q := quarantine.New(opts)
		f.quarantines = append(f.quarantines, q)
		f.wg.Go(func() { _ = q.Run(ctx) })
	}
	return f
}

func (f *fleet) stop() {
	f.cancel()
	f.wg.Wait()
	f.net.Close()
}

func instanceID(i int) string { return fmt.Sprintf("entry-%02d", i) }

func fingerprint(name string) (fp [32]byte) {
	copy(fp[:], name)
	return fp
}

var poison = fingerprint("poison")

// crash reports the loss of a server that is used by no other request.
func (f *fleet) crash(instance int) {
	time.Sleep(crashTime)
	f.mu.Lock()
	f.crashes = append(f.crashes, event{instance, time.Now()})
	server := fmt.Sprintf("server-%d", len(f.crashes))
	f.mu.Unlock()
	f.quarantines[instance].ReportLoss(poison, server)
}

// send sends one copy of the poison request through an instance, with the same
// calls to its quarantine as the proxy makes.
func (f *fleet) send(instance int) {
	if refused, _ := f.quarantines[instance].Check(poison); refused {
		return
	}
	f.mu.Lock()
	f.accepted = append(f.accepted, event{instance, time.Now()})
	f.mu.Unlock()
	f.crash(instance)
	if f.quarantines[instance].AllowSecondAttempt(poison) {
		f.crash(instance)
	}
}

// requestCopy is one copy of the request and the time at which it is sent,
// relative to the start.
type requestCopy struct {
	instance int
	after    time.Duration
}

func drawRequestCopy(t *rapid.T) requestCopy {
	return requestCopy{
		instance: rapid.IntRange(0, 5).Draw(t, "instance"),
		after:    time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond,
	}
}

// TestServersLostPerPoisonRequest sends copies of a poison request to random
// instances at random times while some links are down for a time. Each copy must
// cost at most two servers, and no instance may accept a copy after it could
// have learned of an earlier loss.
func TestServersLostPerPoisonRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		copies := rapid.SliceOfN(rapid.Custom(drawRequestCopy), 1, 30).Draw(rt, "copies")
		cut := rapid.SliceOfN(rapid.Bool(), 15, 15).Draw(rt, "cut")
		heal := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "heal")) * time.Millisecond
		var failure error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(6)
			defer f.stop()
			start := time.Now()
			isCut := f.cutLinks(cut, true)
			var wg sync.WaitGroup
			for _, c := range copies {
				wg.Go(func() {
					time.Sleep(c.after)
					f.send(c.instance)
				})
			}
			wg.Go(func() {
				time.Sleep(heal)
				f.cutLinks(cut, false)
			})
			wg.Wait()
			failure = f.verify(isCut, start.Add(heal))
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

// cutLinks cuts or restores the chosen links and returns them.
func (f *fleet) cutLinks(chosen []bool, cut bool) map[[2]int]bool {
	links := make(map[[2]int]bool)
	next := 0
	for a := range f.quarantines {
		for b := range a {
			if chosen[next] {
				f.net.SetCut(instanceID(a), instanceID(b), cut)
				links[[2]int{a, b}], links[[2]int{b, a}] = true, true
			}
			next++
		}
	}
	return links
}

func (f *fleet) verify(cut map[[2]int]bool, healed time.Time) error {
	if len(f.crashes) > 2*len(f.accepted) {
		return fmt.Errorf("%d servers lost to %d copies", len(f.crashes), len(f.accepted))
	}
	const known = 2 * linkDelay
	for _, a := range f.accepted {
		for _, c := range f.crashes {
			reachable := !cut[[2]int{a.instance, c.instance}] || c.at.After(healed)
			knownAt := c.at.Add(known)
			if !reachable {
				knownAt = healed.Add(known)
			}
			if a.at.After(knownAt) {
				return fmt.Errorf("copy accepted at %v, loss known since %v", a.at, knownAt)
			}
		}
	}
	return nil
}

func TestSequentialResendsCostTwoServersThenOneEachPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(17)
		defer f.stop()
		start := time.Now()
		lost := make(map[time.Duration]int)
		for i := 0; time.Since(start) < 2*time.Hour; i++ {
			f.send(i * 5 % 17)
			time.Sleep(3 * linkDelay)
			for _, mark := range []time.Duration{time.Second, time.Minute, time.Hour} {
				if time.Since(start) <= mark {
					lost[mark] = len(f.crashes)
				}
			}
			if i > 100 {
				time.Sleep(time.Second)
			}
		}
		if lost[time.Second] != 2 || lost[time.Minute] != 2 || lost[time.Hour] != 5 || len(f.crashes) != 6 {
			t.Fatalf("servers lost: %v, %d in two hours", lost, len(f.crashes))
		}
	})
}

// reportLosses reports that a server crashed while it ran the named requests for
// instance 0.
func (f *fleet) reportLosses(server string, names ...string) {
	for _, name := range names {
		f.quarantines[0].ReportLoss(fingerprint(name), server)
	}
	time.Sleep(2 * linkDelay)
}

func (f *fleet) wantRefused(t *testing.T, want bool, name string) {
	t.Helper()
	for i, q := range f.quarantines {
		if refused, _ := q.Check(fingerprint(name)); refused != want {
			t.Fatalf("instance %d: request %q refused: %v", i, name, refused)
		}
	}
}

func TestIndependentServerFailureHoldsNoRequestBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		f.reportLosses("s1", "alone")
		f.wantRefused(t, true, "alone")
		f.reportLosses("s2", "a", "b", "c", "d")
		f.wantRefused(t, false, "a")
		f.wantRefused(t, false, "d")
		for _, q := range f.quarantines {
			q.ReportOK(fingerprint("popular"))
		}
		f.reportLosses("s3", "popular")
		f.wantRefused(t, false, "popular")
		if !f.quarantines[0].AllowSecondAttempt(fingerprint("popular")) {
			t.Fatal("second attempt refused for a request with a recent response")
		}
	})
}

func TestOnlyPoisonRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		f.reportLosses("s1", "a", "b", "c", "d", "poison")
		f.reportLosses("s2", "e", "f", "g", "h", "poison")
		f.wantRefused(t, true, "poison")
		for _, innocent := range []string{"a", "d", "e", "h"} {
			f.wantRefused(t, false, innocent)
		}
		time.Sleep(4 * time.Minute)
		f.wantRefused(t, true, "poison")
	})
}

func TestRequestsAreAllowedSoonAfterRackFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		requests := []string{"a", "b", "c", "d", "e"}
		f.reportLosses("s1", requests...)
		f.reportLosses("s2", requests...)
		time.Sleep(3 * time.Second)
		for _, request := range requests {
			f.quarantines[1].Check(fingerprint(request)) // Shortens the hold, which has then expired.
			if refused, _ := f.quarantines[1].Check(fingerprint(request)); refused {
				t.Fatalf("request %q still refused", request)
			}
			f.quarantines[1].ReportOK(fingerprint(request))
		}
		time.Sleep(2 * linkDelay)
		for _, request := range requests {
			f.wantRefused(t, false, request)
		}
	})
}

func TestResponseClearsAllInstancesDespiteStaleRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		f.reportLosses("s1", "x")
		f.reportLosses("s2", "x")
		f.wantRefused(t, true, "x")
		f.net.SetCut(instanceID(1), instanceID(2), true)
		f.quarantines[1].ReportOK(fingerprint("x"))
		time.Sleep(2 * linkDelay)
		for i, want := range []bool{false, false, true} {
			if refused, _ := f.quarantines[i].Check(fingerprint("x")); refused != want {
				t.Fatalf("instance %d: refused %v", i, refused)
			}
		}
		f.net.SetCut(instanceID(1), instanceID(2), false)
		time.Sleep(3 * linkDelay)
		f.wantRefused(t, false, "x")
	})
}

func TestOneAttemptAtATimeForSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		f.reportLosses("s1", "x", "x") // Two copies on the server that crashed.
		if !f.quarantines[0].AllowSecondAttempt(fingerprint("x")) || f.quarantines[0].AllowSecondAttempt(fingerprint("x")) {
			t.Fatal("second attempt not allowed exactly once")
		}
		time.Sleep(3 * time.Second)
		if refused, _ := f.quarantines[1].Check(fingerprint("x")); refused {
			t.Fatal("refused after the hold")
		}
		time.Sleep(2 * linkDelay)
		f.wantRefused(t, true, "x")
	})
}

func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.stop()
		for i := range 4_600 {
			f.quarantines[0].ReportLoss(fingerprint(fmt.Sprint("r", i)), fmt.Sprint("s", i))
			time.Sleep(time.Microsecond) // The oldest loss must be unambiguous.
		}
		if refused, _ := f.quarantines[0].Check(fingerprint("r4599")); !refused {
			t.Fatal("the latest loss was dropped")
		}
		if refused, _ := f.quarantines[0].Check(fingerprint("r0")); refused {
			t.Fatal("the oldest loss was kept")
		}
	})
}

// TestThreeLossesConfirm sets the option to three losses. A request with two
// losses, as after two independent server failures, must not be held back, and a
// response must clear its losses.
func TestThreeLossesConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith(3, quarantine.Options{Losses: 3, ShareEvery: time.Second})
		defer f.stop()
		check := func(want bool) {
			t.Helper()
			time.Sleep(10 * linkDelay)
			for i, q := range f.quarantines {
				if refused, _ := q.Check(poison); refused != want {
					t.Errorf("refused at %d: %v, want %v", i, refused, want)
				}
			}
		}
		for i := range 2 {
			f.crash(i)
			check(false)
		}
		f.quarantines[2].ReportOK(poison)
		time.Sleep(10 * linkDelay)
		for i := range 2 {
			f.crash(i)
			check(false)
		}
		f.crash(2)
		check(true)
	})
}

// recorder is a messenger with one peer that records the messages sent to it.
type recorder struct{ sent []*peerpb.Poison }

func (*recorder) Connected() []string { return []string{"peer"} }

func (r *recorder) Send(_ string, _ peerpb.Kind, msg proto.Message) error {
	r.sent = append(r.sent, msg.(*peerpb.Poison))
	return nil
}

func (*recorder) Handle(peerpb.Kind, peer.Handler) {}

func (*recorder) Subscribe(int) <-chan peer.Event { return nil }

// TestOnlyConfirmedRequestsAreSharedPeriodically counts the messages to peers
// about a confirmed request and about one with a single loss. A failing server
// leaves many of the latter, so they must not be sent at each interval.
func TestOnlyConfirmedRequestsAreSharedPeriodically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		q := quarantine.New(quarantine.Options{Messenger: r, Losses: 3, ShareEvery: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = q.Run(ctx) })
		for i := range 3 {
			q.ReportLoss(poison, fmt.Sprint("server-", i))
		}
		q.ReportLoss(fingerprint("lost once"), "server-0")
		time.Sleep(5500 * time.Millisecond)
		cancel()
		wg.Wait()
		messages := make(map[string]int)
		for _, msg := range r.sent {
			messages[string(msg.GetFingerprint())]++
		}
		once := fingerprint("lost once")
		if messages[string(poison[:])] != 3+5 || messages[string(once[:])] != 1 {
			t.Errorf("%d messages about the confirmed request and %d about the one with a single loss", messages[string(poison[:])], messages[string(once[:])])
		}
	})
}
