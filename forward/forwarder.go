package forward

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/retrybudget"
	"github.com/pomelolock/pomelolock/serverconn"
	"github.com/pomelolock/pomelolock/table"
)

// Options configures a [Forwarder]. All fields are required.
type Options struct {
	Protocol  Protocol
	Current   *table.Current
	Directory *directory.Directory
	Board     *readings.Board
	Budget    *retrybudget.Budget
	Pool      *serverconn.Pool
	Backlogs  *admission.Backlogs
	// ConnLimit returns how many connections this instance may open to a
	// server of the service; 0 means that no limit is known.
	ConnLimit func(service *table.Service) int
	// Instances returns the number of known instances, including this one.
	Instances func() int
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Log receives one record for each decision on a request.
	Log *slog.Logger
	// Observer is called at the end of each request.
	Observer Observer
	// Quarantine refuses requests that crash servers.
	Quarantine Quarantine
	// ViewReady is closed when the table and the servers are known, or when startup
	// stops waiting for them. LoadsReady is closed likewise for the loads of servers.
	// Requests wait until both are closed.
	ViewReady, LoadsReady <-chan struct{}
}

// Quarantine refuses requests that crash servers. Requests are identified by their
// fingerprint. The methods must not block.
type Quarantine interface {
	// Check reports whether the request is refused, and after which time the
	// caller may retry.
	Check(fp [32]byte) (refused bool, retryAfter time.Duration)
	// ReportLoss records that the connection to the server was lost while the
	// server may have been running the request.
	ReportLoss(fp [32]byte, server string)
	// ReportOK records that a server responded to the request.
	ReportOK(fp [32]byte)
}

// Observer counts finished requests. The methods must not block.
type Observer interface {
	// Served counts a complete server response that was passed on to the caller.
	Served(service string, took time.Duration)
	// Refused counts a response that pomelolock generated itself.
	Refused(service, code string, took time.Duration)
}

// Stats holds counters since the start of the process.
type Stats struct {
	// Requests counts received requests, Retries and Hedges additional attempts.
	Requests, Retries, Hedges uint64
	// InFlight is the number of requests being served now.
	InFlight int64
}

// Forwarder forwards the requests of callers to backend servers. It implements
// [http.Handler].
type Forwarder struct {
	opts                      Options
	requests, retries, hedges atomic.Uint64
	inFlight                  atomic.Int64

	mu       sync.Mutex
	queues   map[string]*queue
	timeouts *timeoutEstimator
}

// New returns a Forwarder with the given options.
func New(opts Options) *Forwarder {
	return &Forwarder{opts: opts, queues: make(map[string]*queue), timeouts: newTimeoutEstimator()}
}

// queue returns the queue of a service, which it creates if necessary.
func (f *Forwarder) queue(service string) *queue {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queues[service]
	if q == nil {
		q = newQueue(f, service)
		f.queues[service] = q
	}
	return q
}

// started reports whether requests no longer wait for the loads of servers.
func (f *Forwarder) started() bool {
	select {
	case <-f.opts.LoadsReady:
		return true
	default:
		return false
	}
}

// Run sends queued requests as capacity becomes available, until ctx is done.
func (f *Forwarder) Run(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			f.mu.Lock()
			queues := make([]*queue, 0, len(f.queues))
			for _, q := range f.queues {
				queues = append(queues, q)
			}
			f.mu.Unlock()
			for _, q := range queues {
				q.tick(now)
			}
		}
	}
}

// Stats returns the counters since the start of the process.
func (f *Forwarder) Stats() Stats {
	return Stats{
		Requests: f.requests.Load(), Retries: f.retries.Load(), Hedges: f.hedges.Load(),
		InFlight: f.inFlight.Load(),
	}
}

// ServeHTTP implements [http.Handler].
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requests.Add(1)
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &exchange{f: f, w: w, in: r, receivedAt: time.Now(), caller: f.opts.Protocol.Caller(r.Header)}
	x.serve()
}
