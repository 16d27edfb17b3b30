package probe

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/internal/respcheck"
	"github.com/pomelolock/pomelolock/outcome"
)

const (
	// quietPeriod is how long a failing server must be without traffic before
	// it is probed.
	quietPeriod = 2 * time.Second
	// backoffMin and backoffMax bound the backoff between probes of a server.
	backoffMin = time.Second
	backoffMax = 30 * time.Second
	// sharedBackoffMin and sharedBackoffMax bound the time without traffic
	// after which a shared server is probed. A health endpoint may report a
	// draining server as healthy, so the time doubles when a server that
	// recovered is shared again within relapseWindow.
	sharedBackoffMin = 30 * time.Second
	sharedBackoffMax = 10 * time.Minute
	// relapseWindow is how long the recovery of a shared server is kept.
	relapseWindow = time.Hour
	// scanInterval is how often the suspects are checked for a due probe.
	scanInterval = 250 * time.Millisecond
	// maxSuspects bounds the suspects, and the recoveries of shared servers.
	maxSuspects = 4096
	// maxProbeBody is the maximum number of bytes read of a response body.
	maxProbeBody = 64 << 10
	// maxProbeHead is the maximum number of bytes read of the status lines and headers of a
	// response and of the interim responses before it.
	maxProbeHead = 64 << 10
	// DefaultTimeout is the default of [ProberOptions.Timeout].
	DefaultTimeout = time.Second
	// DefaultPath is the default of [ProberOptions.Path].
	DefaultPath = "/"
)

// Result is the result of a probe.
type Result struct {
	Address string
	// Answered reports whether the server sent a response with a status below
	// 500, whose body could be read.
	Answered bool
	// Draining reports whether the response says that the server is draining.
	Draining bool
	// Latency is the time until the response body was read; 0 without a
	// response.
	Latency time.Duration
}

// Limiter limits the rate of probes. [Budget] implements it.
type Limiter interface {
	TryAcquire(n int) bool
}

// ProberOptions configure a [Prober]. Budget and Report are required.
type ProberOptions struct {
	// Budget must grant each probe before it is sent.
	Budget Limiter
	// Report receives the result of each probe.
	Report func(Result)
	// SharedSuspects returns the addresses of suspects known to all instances, such
	// as draining servers; nil means none.
	SharedSuspects func() []string
	// Owns reports whether this instance is the one that probes a shared
	// server; nil means that it probes all. It does not apply to servers
	// passed to [Prober.RecordFailure], which this instance always probes.
	Owns func(address string) bool
	// Path is the path that probes request; empty selects [DefaultPath].
	Path string
	// Timeout bounds one probe; 0 selects [DefaultTimeout].
	Timeout time.Duration
	// Logger receives events; nil discards them.
	Logger *slog.Logger
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// suspect is a server that failed or is draining.
type suspect struct {
	// nextProbe is when the next probe may be sent.
	nextProbe time.Time
	backoff   time.Duration
	// shared is set if the server came from [ProberOptions.SharedSuspects].
	shared bool
}

// recovery is the return of a shared server to service.
type recovery struct {
	at      time.Time
	backoff time.Duration
}

// Prober probes suspects, which are backend servers that failed or are draining,
// once they had no traffic for a time. It is safe for concurrent use.
type Prober struct {
	opts   ProberOptions
	client *http.Client

	mu       sync.Mutex
	suspects map[string]suspect
	// recovered holds the recoveries of shared servers by address.
	recovered    map[string]recovery
	suspectCount atomic.Int64
}

// NewProber returns a prober without suspects.
func NewProber(opts ProberOptions) *Prober {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Path == "" {
		opts.Path = DefaultPath
	}
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Dial == nil {
		opts.Dial = new(net.Dialer).DialContext
	}
	transport := respcheck.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: opts.Dial, MaxResponseHeaderBytes: maxProbeHead})
	return &Prober{
		opts:      opts,
		client:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
		suspects:  make(map[string]suspect),
		recovered: make(map[string]recovery),
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// RecordFailure makes the server at the address a suspect, because it failed.
// The server is probed after quietPeriod. A further failure starts the period
// anew, because it is traffic too.
func (p *Prober) RecordFailure(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.suspects[address]
	if !ok {
		known = suspect{backoff: backoffMin}
	}
	p.addSuspectLocked(address, known, time.Now())
}

// addSuspectLocked adds or updates a suspect and starts its time without traffic.
func (p *Prober) addSuspectLocked(address string, s suspect, now time.Time) {
	if _, ok := p.suspects[address]; !ok {
		if len(p.suspects) >= maxSuspects {
			return
		}
		p.suspectCount.Add(1)
	}
	s.nextProbe = now.Add(max(quietPeriod, s.backoff))
	p.suspects[address] = s
}

// RecordResponse removes the server at the address from the suspects, because it
// responded to a request or a probe.
func (p *Prober) RecordResponse(address string) {
	if p.suspectCount.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordRecoveryLocked(address, time.Now())
	p.removeSuspectLocked(address)
}

func (p *Prober) removeSuspectLocked(address string) {
	if _, ok := p.suspects[address]; ok {
		delete(p.suspects, address)
		p.suspectCount.Add(-1)
	}
}

// syncShared adds the shared servers that this instance owns to the suspects and
// removes those that are no longer shared or owned.
func (p *Prober) syncShared(now time.Time) {
	if p.opts.SharedSuspects == nil {
		return
	}
	owned := make(map[string]bool)
	for _, address := range p.opts.SharedSuspects() {
		if p.opts.Owns == nil || p.opts.Owns(address) {
			owned[address] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.suspects {
		if s.shared && !owned[address] {
			p.removeSuspectLocked(address)
		}
	}
	for address := range owned {
		if _, ok := p.suspects[address]; !ok {
			p.addSuspectLocked(address, suspect{backoff: p.sharedBackoff(address, now), shared: true}, now)
		}
	}
}

// sharedBackoff returns the time before the first probe of a shared server.
func (p *Prober) sharedBackoff(address string, now time.Time) time.Duration {
	last, ok := p.recovered[address]
	if !ok || now.Sub(last.at) > relapseWindow {
		return sharedBackoffMin
	}
	return min(2*last.backoff, sharedBackoffMax)
}

// recordRecoveryLocked records that a shared server recovered.
func (p *Prober) recordRecoveryLocked(address string, now time.Time) {
	known, ok := p.suspects[address]
	if !ok || !known.shared {
		return
	}
	maps.DeleteFunc(p.recovered, func(_ string, r recovery) bool { return now.Sub(r.at) > relapseWindow })
	if len(p.recovered) < maxSuspects {
		p.recovered[address] = recovery{at: now, backoff: known.backoff}
	}
}

// Run probes suspects. It returns nil when ctx is done and all probes have ended.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		p.syncShared(now)
		for _, address := range p.takeDue(now) {
			wg.Go(func() { p.probe(ctx, address) })
		}
	}
}

// takeDue returns the servers to probe now. The budget has granted a probe for
// each.
func (p *Prober) takeDue(now time.Time) []string {
	if p.suspectCount.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for address, s := range p.suspects {
		if now.Before(s.nextProbe) {
			continue
		}
		if !p.opts.Budget.TryAcquire(1) {
			return due
		}
		s.nextProbe = now.Add(s.backoff + p.opts.Timeout)
		s.backoff = min(2*s.backoff, max(backoffMax, s.backoff))
		p.suspects[address] = s
		due = append(due, address)
	}
	return due
}

func (p *Prober) probe(ctx context.Context, address string) {
	result := p.get(ctx, address)
	p.opts.Logger.Info("probe", "address", address, "answered", result.Answered, "draining", result.Draining)
	if result.Answered && !result.Draining {
		p.RecordResponse(address)
	}
	p.opts.Report(result)
}

func (p *Prober) get(ctx context.Context, address string) Result {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	result := Result{Address: address}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+p.opts.Path, nil)
	if err != nil {
		return result
	}
	start := time.Now()
	resp, err := p.client.Do(req)
	if err != nil {
		p.opts.Logger.Info("probe failed", "address", address, "error", err)
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBody))
	result.Latency = time.Since(start)
	result.Draining = strings.EqualFold(resp.Header.Get(outcome.HeaderDraining), "true")
	result.Answered = err == nil && resp.StatusCode < http.StatusInternalServerError
	return result
}
