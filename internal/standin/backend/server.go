package backend

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/internal/standin/execlog"
	"github.com/pomelolock/pomelolock/outcome"
)

// Header names and query parameters of the stand-in.
const (
	// HeaderChecksum carries the CRC-32 (IEEE) of the body in hexadecimal.
	HeaderChecksum = "Body-Checksum"
	// HeaderCrash with any value makes the process exit when it runs the
	// request, like the query parameter crash.
	HeaderCrash = "Standin-Crash"
	// HeaderServer names the server that sent the response.
	HeaderServer = "Standin-Server"
	// HeaderColdMS is the time for which the server stays cold, in milliseconds,
	// on responses to health checks.
	HeaderColdMS = "Warmup-Ms"

	ParamCall  = "call"
	ParamSize  = "size"
	ParamCrash = "crash"
)

const (
	maxBodyBytes = 4 << 20
	// CrashExitCode is the exit code of a process that ran a request marked
	// with [HeaderCrash] or [ParamCrash].
	CrashExitCode = 86
	// ColdExitCode is the exit code of a process that got too many requests while
	// it was cold.
	ColdExitCode = 87
)

// Distribution is the probability distribution of the service times.
type Distribution string

// Distributions of service times.
const (
	DistributionExponential Distribution = "exponential"
	DistributionFixed       Distribution = "fixed"
)

// Options configure a [Server].
type Options struct {
	// Name identifies the server in responses, counts and the execution log.
	Name string
	// Slots is the number of requests that can run concurrently.
	Slots int
	// Connections is the maximum number of open connections.
	Connections int
	// ConnectCost delays the first read of each new connection.
	ConnectCost time.Duration
	// ServiceTime is the mean service time.
	ServiceTime  time.Duration
	Distribution Distribution
	// Seed makes the random faults reproducible. Service times depend on the
	// call ID instead.
	Seed uint64
	// CrashMarked makes the process exit when it runs a request marked with
	// [HeaderCrash] or [ParamCrash].
	CrashMarked bool
	// Log records the executions.
	Log *execlog.Writer
	// Faults are the initial faults.
	Faults Faults
	// Exit ends the process; nil selects [os.Exit].
	Exit func(code int)
	// OnDrain is called when the Draining fault changes; it may be nil.
	OnDrain func(draining bool)
}

// Server is a simulated backend server. It serves work, health checks and load
// reports; [Server.Admin] serves its faults and counts.
type Server struct {
	opts       Options
	slots      *slots
	executions atomic.Uint64

	mu     sync.Mutex
	faults *faultState
}

// New returns a server.
func New(opts Options) *Server {
	if opts.Exit == nil {
		opts.Exit = os.Exit
	}
	if opts.Log == nil {
		opts.Log = &execlog.Writer{}
	}
	return &Server{
		opts:   opts,
		slots:  newSlots(opts.Name, opts.Slots),
		faults: newFaultState(opts.Faults, opts.Seed, time.Now()),
	}
}

// Counts returns a snapshot of the counts.
func (s *Server) Counts() Counts { return s.slots.snapshot() }

// SetFaults replaces all faults and restarts their timers.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	changed := faults.Draining != s.faults.Draining
	s.faults = newFaultState(faults, s.opts.Seed, time.Now())
	s.mu.Unlock()
	if changed && s.opts.OnDrain != nil {
		s.opts.OnDrain(faults.Draining)
	}
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Faults
}

// faultDecision holds the faults that apply to one request. It is drawn once
// the body has been read.
type faultDecision struct {
	refuse, fail, truncate, late, cut bool
	faults                            Faults
}

func (s *Server) decideFaults() faultDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	return faultDecision{
		refuse:   f.refusesNewWork(time.Now()),
		fail:     f.applies(f.FailPercent),
		truncate: f.applies(f.TruncatePercent),
		late:     f.applies(f.LatePercent),
		cut:      f.applies(f.CutPercent),
		faults:   f.Faults,
	}
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathHealth || r.URL.Path == PathLoad {
		s.serveReport(w, r)
		return
	}
	s.serveWork(w, r)
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.slots.count(func(c *Counts) { c.Arrivals++ })
	s.mu.Lock()
	overwhelmed := s.faults.overwhelmed(time.Now())
	s.mu.Unlock()
	if overwhelmed {
		s.opts.Exit(ColdExitCode)
	}
	// net/http detects that the client has disconnected only once the body
	// has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest)
		return
	}
	decision := s.decideFaults()
	if decision.refuse {
		s.slots.count(func(c *Counts) { c.RefusedDraining++ })
		s.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	if decision.fail {
		s.failFast(w, r)
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.slots.acquire(ctx, decision.faults.Shed) {
		s.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	number := s.executions.Add(1)
	result := s.execute(ctx, r, number, decision)
	s.slots.release()
	s.writeResponse(w, r, number, len(body), result, decision)
}

// requestContext returns the request's context, limited by the timeout in the
// request's deadline header if that is set.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(outcome.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), milliseconds(ms))
}

// execute runs the request, which holds a slot, and logs its start and end.
func (s *Server) execute(ctx context.Context, r *http.Request, number uint64, decision faultDecision) execlog.Result {
	s.slots.count(func(c *Counts) { c.Executions++ })
	s.record(r, number, execlog.EventStart, "")
	if s.opts.CrashMarked && (r.Header.Get(HeaderCrash) != "" || r.URL.Query().Get(ParamCrash) != "") {
		s.opts.Exit(CrashExitCode)
	}
	result := s.waitServiceTime(ctx, r, decision)
	s.record(r, number, execlog.EventEnd, result)
	s.slots.count(func(c *Counts) {
		switch result {
		case execlog.ResultFinished:
			c.Finished++
		case execlog.ResultExpired:
			c.Expired++
		default:
			c.Cancelled++
		}
	})
	return result
}

// waitServiceTime waits for the service time, or until ctx ends and the
// cancellation delay has passed.
func (s *Server) waitServiceTime(ctx context.Context, r *http.Request, decision faultDecision) execlog.Result {
	s.mu.Lock()
	now := time.Now()
	end := s.faults.finishTime(now, s.serviceTime(r))
	s.mu.Unlock()
	timer := time.NewTimer(end.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return execlog.ResultFinished
	case <-ctx.Done():
		time.Sleep(milliseconds(decision.faults.CancelLagMS))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return execlog.ResultExpired
	}
	return execlog.ResultCancelled
}

// serviceTime draws the service time with a generator that is seeded with the
// call ID, or with the request ID if there is none, so that a request takes the
// same time on every server with the same mean.
func (s *Server) serviceTime(r *http.Request) time.Duration {
	if s.opts.Distribution == DistributionFixed {
		return s.opts.ServiceTime
	}
	id := r.URL.Query().Get(ParamCall)
	if id == "" {
		id = r.Header.Get(outcome.HeaderRequestID)
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, id)
	rng := rand.New(rand.NewPCG(hash.Sum64(), 0))
	return time.Duration(rng.ExpFloat64() * float64(s.opts.ServiceTime))
}

func (s *Server) record(r *http.Request, number uint64, event execlog.Event, result execlog.Result) {
	err := s.opts.Log.Append(execlog.Entry{
		Event:          event,
		Server:         s.opts.Name,
		Execution:      number,
		RequestID:      r.Header.Get(outcome.HeaderRequestID),
		IdempotencyKey: r.Header.Get(outcome.HeaderIdempotencyKey),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		At:             time.Now(),
		Result:         result,
	})
	if err != nil {
		// An incomplete log would make the checks of a run count too few
		// executions.
		s.opts.Exit(1)
	}
}
