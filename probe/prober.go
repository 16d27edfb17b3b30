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

	"github.com/pomelolock/pomelolock/outcome"
)

const (
	// quietFor is how long a failing server must be without traffic before
	// it is probed.
	quietFor = 2 * time.Second
	// retryMin and retryMax bound the backoff between probes of a server.
	retryMin = time.Second
	retryMax = 30 * time.Second
	// sharedMin and sharedMax bound the time without probes and traffic of
	// a shared server. A health endpoint may claim that a draining server
	// serves, so a server that comes back to Shared waits twice as long.
	sharedMin = 30 * time.Second
	sharedMax = 10 * time.Minute
	// relapseWithin is how long an earlier return is remembered.
	relapseWithin = time.Hour
	// scanEvery is how often servers are checked for a due probe.
	scanEvery = 250 * time.Millisecond
	// maxServers bounds the failing servers remembered.
	maxServers = 4096
	// maxProbeBody is how much of an answer is read.
	maxProbeBody = 64 << 10
	// DefaultTimeout is the default of [ProberOptions.Timeout].
	DefaultTimeout = time.Second
	// DefaultPath is the default of [ProberOptions.Path].
	DefaultPath = "/"
)

// Result is the answer to a probe.
type Result struct {
	Address string
	// Answered tells that the server sent an answer below 500.
	Answered bool
	// Draining tells that the server takes no new work.
	Draining bool
	Latency  time.Duration
}

// Taker grants probes. [Budget] implements it.
type Taker interface {
	TryTake(n int) bool
}

// ProberOptions configure a [Prober]. Budget and Report are required.
type ProberOptions struct {
	Budget Taker
	// Report receives the result of each probe.
	Report func(Result)
	// Shared returns servers that every instance knows to have stopped
	// answering, such as draining ones; nil means none.
	Shared func() []string
	// Owns reports whether this instance is the one to probe a shared
	// server; nil means all. Failures noted here are probed from here.
	Owns func(address string) bool
	// Path is requested from the server's address.
	Path string
	// Timeout bounds one probe.
	Timeout time.Duration
	// Logger receives events; nil discards them.
	Logger *slog.Logger
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// suspect is a server that failed or drained.
type suspect struct {
	// due is when the next probe may be sent.
	due     time.Time
	backoff time.Duration
	// shared tells that the server came from Shared.
	shared bool
}

// recovery is the return of a shared server to service.
type recovery struct {
	at      time.Time
	backoff time.Duration
}

// Prober retries backend servers that failed and have no traffic. It is safe
// for concurrent use.
type Prober struct {
	opts   ProberOptions
	client *http.Client

	mu       sync.Mutex
	suspects map[string]suspect
	// recovered holds shared servers that answered.
	recovered map[string]recovery
	count     atomic.Int64
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
	transport := &http.Transport{DisableKeepAlives: true, DialContext: opts.Dial}
	return &Prober{
		opts:      opts,
		client:    &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		suspects:  make(map[string]suspect),
		recovered: make(map[string]recovery),
	}
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NoteFailure tells that the server at the address failed. It is
// probed unless it fails again within quietFor, which is traffic too.
func (p *Prober) NoteFailure(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.suspects[address]
	if !ok {
		known = suspect{backoff: retryMin}
	}
	p.suspectLocked(address, known, time.Now())
}

// suspectLocked stores a suspect and starts its time without traffic.
func (p *Prober) suspectLocked(address string, s suspect, now time.Time) {
	if _, ok := p.suspects[address]; !ok {
		if len(p.suspects) >= maxServers {
			return
		}
		p.count.Add(1)
	}
	s.due = now.Add(max(quietFor, s.backoff))
	p.suspects[address] = s
}

// NoteAnswer tells that the server at the address answered a request.
func (p *Prober) NoteAnswer(address string) {
	if p.count.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recoverLocked(address, time.Now())
	p.dropLocked(address)
}

func (p *Prober) dropLocked(address string) {
	if _, ok := p.suspects[address]; ok {
		delete(p.suspects, address)
		p.count.Add(-1)
	}
}

// adoptShared follows the shared servers that this instance owns.
func (p *Prober) adoptShared(now time.Time) {
	if p.opts.Shared == nil {
		return
	}
	owned := make(map[string]bool)
	for _, address := range p.opts.Shared() {
		if p.opts.Owns == nil || p.opts.Owns(address) {
			owned[address] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.suspects {
		if s.shared && !owned[address] {
			p.dropLocked(address)
		}
	}
	for address := range owned {
		if _, ok := p.suspects[address]; !ok {
			p.suspectLocked(address, suspect{backoff: p.sharedBackoff(address, now), shared: true}, now)
		}
	}
}

// sharedBackoff returns the time before the first probe of a shared server.
func (p *Prober) sharedBackoff(address string, now time.Time) time.Duration {
	last, ok := p.recovered[address]
	if !ok || now.Sub(last.at) > relapseWithin {
		return sharedMin
	}
	return min(2*last.backoff, sharedMax)
}

// recoverLocked remembers that a shared server returned to service.
func (p *Prober) recoverLocked(address string, now time.Time) {
	known, ok := p.suspects[address]
	if !ok || !known.shared {
		return
	}
	maps.DeleteFunc(p.recovered, func(_ string, r recovery) bool { return now.Sub(r.at) > relapseWithin })
	if len(p.recovered) < maxServers {
		p.recovered[address] = recovery{at: now, backoff: known.backoff}
	}
}

// Run probes suspects until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(scanEvery)
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
		p.adoptShared(now)
		for _, address := range p.due(now) {
			wg.Go(func() { p.probe(ctx, address) })
		}
	}
}

// due returns the servers to probe now. Each has taken a probe from the
// budget.
func (p *Prober) due(now time.Time) []string {
	if p.count.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for address, s := range p.suspects {
		if now.Before(s.due) {
			continue
		}
		if !p.opts.Budget.TryTake(1) {
			return due
		}
		s.due = now.Add(s.backoff + p.opts.Timeout)
		s.backoff = min(2*s.backoff, max(retryMax, s.backoff))
		p.suspects[address] = s
		due = append(due, address)
	}
	return due
}

func (p *Prober) probe(ctx context.Context, address string) {
	result := p.get(ctx, address)
	p.opts.Logger.Info("probe", "address", address, "answered", result.Answered, "draining", result.Draining)
	if result.Answered && !result.Draining {
		p.NoteAnswer(address)
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
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBody))
	result.Latency = time.Since(start)
	result.Draining = strings.EqualFold(resp.Header.Get(outcome.HeaderDraining), "true")
	result.Answered = err == nil && resp.StatusCode < http.StatusInternalServerError
	return result
}
