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
	// HeaderCrash with any value makes the process exit, like the query
	// parameter crash.
	HeaderCrash = "Standin-Crash"
	// HeaderServer names the server that answered.
	HeaderServer = "Standin-Server"

	ParamCall  = "call"
	ParamSize  = "size"
	ParamCrash = "crash"
)

const (
	maxBodyBytes = 4 << 20
	// CrashExitCode is the exit code of a process that crashed on a marked
	// request.
	CrashExitCode = 86
)

// Distribution is the shape of the service times.
type Distribution string

// Distributions of service times.
const (
	DistributionExponential Distribution = "exponential"
	DistributionFixed       Distribution = "fixed"
)

// Options configure a [Server].
type Options struct {
	// Name names the server in answers, counts and the log.
	Name string
	// Slots is the number of requests that run at once.
	Slots int
	// Connections is the number of connections that may be open.
	Connections int
	// ConnectCost is the time that opening a connection takes.
	ConnectCost time.Duration
	// ServiceTime is the mean service time.
	ServiceTime  time.Duration
	Distribution Distribution
	// Seed makes service times and faults repeatable.
	Seed uint64
	// CrashMarked lets marked requests end the process.
	CrashMarked bool
	// Log records the executions.
	Log *execlog.Writer
	// Faults are active from the start.
	Faults Faults
	// Exit ends the process; nil stands for os.Exit.
	Exit func(code int)
	// OnDrain is called when the Draining fault changes; it may be nil.
	OnDrain func(draining bool)
}

// Server is a backend server. It serves work; [Server.Admin] serves its
// switches.
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

// Counts returns the counts.
func (s *Server) Counts() Counts { return s.slots.snapshot() }

// SetFaults replaces the faults and starts their times anew.
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

// plan is what the faults decide for one request on its arrival.
type plan struct {
	refuse, fail, truncate, late, cut bool
	faults                            Faults
}

func (s *Server) plan() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	return plan{
		refuse:   f.refusesNewWork(time.Now()),
		fail:     f.hits(f.FailPercent),
		truncate: f.hits(f.TruncatePercent),
		late:     f.hits(f.LatePercent),
		cut:      f.hits(f.CutPercent),
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
	// The server watches for the end of the connection only after the body
	// was read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest)
		return
	}
	plan := s.plan()
	if plan.refuse {
		s.slots.count(func(c *Counts) { c.RefusedDraining++ })
		s.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	if plan.fail {
		s.failFast(w, r)
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.slots.acquire(ctx, plan.faults.Shed) {
		s.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	number := s.executions.Add(1)
	result := s.execute(ctx, r, number, plan)
	s.slots.release()
	s.answer(w, r, number, len(body), result, plan)
}

// requestContext bounds the request's context by its deadline header.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(outcome.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), milliseconds(ms))
}

// execute runs the request in its slot.
func (s *Server) execute(ctx context.Context, r *http.Request, number uint64, plan plan) execlog.Result {
	s.slots.count(func(c *Counts) { c.Executions++ })
	s.record(r, number, execlog.EventStart, "")
	if s.opts.CrashMarked && (r.Header.Get(HeaderCrash) != "" || r.URL.Query().Get(ParamCrash) != "") {
		s.opts.Exit(CrashExitCode)
	}
	result := s.work(ctx, r, plan)
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

// work passes the service time.
func (s *Server) work(ctx context.Context, r *http.Request, plan plan) execlog.Result {
	s.mu.Lock()
	now := time.Now()
	done := s.faults.finish(now, s.serviceTime(r))
	s.mu.Unlock()
	timer := time.NewTimer(done.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return execlog.ResultFinished
	case <-ctx.Done():
		time.Sleep(milliseconds(plan.faults.CancelLagMS))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return execlog.ResultExpired
	}
	return execlog.ResultCancelled
}

// serviceTime draws the service time by the request's mark, so that a request
// needs the same time on every server of the same seed.
func (s *Server) serviceTime(r *http.Request) time.Duration {
	if s.opts.Distribution == DistributionFixed {
		return s.opts.ServiceTime
	}
	mark := r.URL.Query().Get(ParamCall)
	if mark == "" {
		mark = r.Header.Get(outcome.HeaderRequestID)
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, mark)
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
		// A judge without a whole log would report too few executions.
		s.opts.Exit(1)
	}
}
