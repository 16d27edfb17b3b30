package proxy

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

// Quarantine refuses requests that crash backend servers.
type Quarantine interface {
	// Check reports whether the request is refused, and when to come back.
	Check(fp [32]byte) (refused bool, retryAfter time.Duration)
	// ReportLoss records a connection of the server that broke off while
	// it ran the request.
	ReportLoss(fp [32]byte, server string)
	// ReportOK records that a server answered the request.
	ReportOK(fp [32]byte)
	// AllowSecondTry reports whether a lost request may be sent once more.
	AllowSecondTry(fp [32]byte) bool
}

// Recorder receives the end of each request.
type Recorder interface {
	// Record counts a request of the service: whether its caller got a
	// whole answer of a backend server, and after how long.
	Record(service string, whole bool, latency time.Duration)
}

// ServerObserver hears what attempts tell of backend servers.
type ServerObserver interface {
	// Observe receives the end of an attempt. It must not block.
	Observe(server table.Server, result loadbalancer.Result)
}

// Options are the parts that a [Proxy] works with.
type Options struct {
	Current  *table.Current
	Balancer loadbalancer.Balancer
	Claimer  claim.Claimer
	Logger   *slog.Logger
	// Quarantine, Recorder and Observer are optional.
	Quarantine Quarantine
	Recorder   Recorder
	Observer   ServerObserver
	// ConnLimit returns how many connections this instance may open to a
	// backend server. It is asked when the first request goes there and
	// when the table changes. Nil allows one for each slot.
	ConnLimit func(server table.Server) int
	// HoldBytes is the size up to which bodies of requests and answers are
	// held in memory. Zero selects 64 KiB.
	HoldBytes int64
	// MaxBufferedBytes bounds the bodies of all requests and answers that are
	// held at once, in bytes. Zero selects 16 MiB. Requests beyond it are
	// refused; answers beyond it are passed on as they come.
	MaxBufferedBytes int64
	// WriteTimeout is the longest time in which a caller may accept nothing
	// of an answer. Zero selects 30 s.
	WriteTimeout time.Duration
	// Instance prefixes the request IDs that the proxy makes.
	Instance string
}

const (
	defaultHoldBytes        = 64 << 10
	defaultMaxBufferedBytes = 16 << 20
	defaultWriteTimeout     = 30 * time.Second
	prefixLength            = 8
)

// Stats are counts since the start.
type Stats struct {
	// Requests, Whole and OwnAnswers count requests received, answers of
	// backend servers passed on whole, and answers of pomelolock's own.
	Requests, Whole, OwnAnswers uint64
	// Retries and Hedges count further attempts.
	Retries, Hedges uint64
	// Aborted counts answers that broke off at the caller.
	Aborted uint64
	// InFlight is the number of requests being served.
	InFlight int64
	// BufferedBytes is the room taken by bodies that are held.
	BufferedBytes int64
}

type counters struct {
	requests, whole, ownAnswers, retries, hedges, aborted atomic.Uint64
	inFlight                                              atomic.Int64
}

// Proxy serves callers. It implements [http.Handler].
type Proxy struct {
	opts       Options
	transports *transports
	memory     *memoryLimit
	counters   counters
	sequence   atomic.Uint64
	events     eventLimiter
	// prefix makes IDs unique over instances and restarts.
	prefix string

	mu       sync.RWMutex
	services map[string]*serviceState
}

// serviceState is what one instance remembers of a service.
type serviceState struct {
	budget    *budget
	latencies *latencies
}

func (o *Options) setDefaults() {
	if o.HoldBytes == 0 {
		o.HoldBytes = defaultHoldBytes
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.ConnLimit == nil {
		o.ConnLimit = func(server table.Server) int { return server.Slots }
	}
}

// New returns a proxy.
func New(opts Options) *Proxy {
	opts.setDefaults()
	return &Proxy{
		opts:       opts,
		prefix:     opts.Instance + "-" + strings.ToLower(rand.Text()[:prefixLength]) + "-",
		transports: newTransports(opts.ConnLimit),
		memory:     &memoryLimit{limit: opts.MaxBufferedBytes},
		services:   make(map[string]*serviceState),
	}
}

// Run follows the table and closes connections to servers that left it. It
// returns when ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.transports.closeIdle()
	for {
		changed := p.opts.Current.Changed()
		if snapshot := p.opts.Current.Load(); snapshot != nil {
			p.transports.retain(snapshot)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Stats returns the counts since the start.
func (p *Proxy) Stats() Stats {
	c := &p.counters
	return Stats{
		Requests:   c.requests.Load(),
		Whole:      c.whole.Load(),
		OwnAnswers: c.ownAnswers.Load(),
		Retries:    c.retries.Load(),
		Hedges:     c.hedges.Load(),
		Aborted:    c.aborted.Load(),
		InFlight:   c.inFlight.Load(),

		BufferedBytes: p.memory.used.Load(),
	}
}

// requestID returns the caller's request ID if it is usable, or a new one.
func (p *Proxy) requestID(r *http.Request) string {
	if id := r.Header.Get(outcome.HeaderRequestID); validRequestID(id) {
		return id
	}
	return p.uniqueID()
}

// uniqueID returns an ID that no other exchange of the fleet has.
func (p *Proxy) uniqueID() string {
	return p.prefix + strconv.FormatUint(p.sequence.Add(1), 36)
}

func (p *Proxy) service(name string) *serviceState {
	p.mu.RLock()
	state := p.services[name]
	p.mu.RUnlock()
	if state != nil {
		return state
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state = p.services[name]; state == nil {
		state = &serviceState{budget: newBudget(), latencies: &latencies{}}
		p.services[name] = state
	}
	return state
}

func (p *Proxy) observe(server table.Server, service string, result loadbalancer.Result) {
	if result.Class == loadbalancer.ClassOK {
		p.service(service).latencies.add(result.Latency)
	}
	if p.opts.Observer != nil {
		p.opts.Observer.Observe(server, result)
	}
}

// log writes an event unless too many of its kind were written just now.
func (p *Proxy) log(level slog.Level, event string, attrs ...slog.Attr) {
	ctx := context.Background()
	if !p.opts.Logger.Enabled(ctx, level) {
		return
	}
	ok, suppressed := p.events.allow(event, time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		attrs = append(attrs, slog.Uint64("suppressed", suppressed))
	}
	p.opts.Logger.LogAttrs(ctx, level, event, attrs...)
}

func cloneURL(in *url.URL, address string) *url.URL {
	out := *in
	out.Scheme = "http"
	out.Host = address
	return &out
}
