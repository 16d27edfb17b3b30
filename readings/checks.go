package readings

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/respcheck"
	"github.com/pomelolock/pomelolock/serverconn"
)

const (
	// checkInterval is the minimum time between two status checks of one server.
	// Load peaks from other work on a server's machine last a few hundred
	// milliseconds, so reports have to be much more frequent than that.
	checkInterval = 30 * time.Millisecond
	// maxUnreachable bounds the number of servers whose next check is delayed
	// because the last one got no response.
	maxUnreachable = 1024
	// responseDelay is the time within which most responses to a round of checks
	// arrive.
	responseDelay = 5 * time.Millisecond
	// checkTimeout bounds one status check.
	checkTimeout = 400 * time.Millisecond
	// failedInterval is the time between status checks of a server that does
	// not respond.
	failedInterval = 250 * time.Millisecond
	// longCheck is the time from which a check shows that the process was stopped while it was
	// under way, far above checkTimeout. At most maxLongChecks are logged in each longCheck.
	longCheck     = time.Second
	maxLongChecks = 8
)

// errExcluded is the error of a check that was not sent because nothing may be sent to the server.
var errExcluded = errors.New("readings: nothing may be sent to the server")

// Checker interprets the headers of responses to status checks.
type Checker interface {
	// ServerID returns the ID of the server that sent the response, or "".
	ServerID(header http.Header) string
	// RequestID returns the ID of the request that the response belongs to, or "". Status
	// checks have none.
	RequestID(header http.Header) string
	// Report returns the server's load report, or nil if there is none.
	Report(header http.Header) *Report
	// Notice returns what the server says about requests to come.
	Notice(resp *http.Response) Notice
}

// Target is a server to check.
type Target struct {
	Server string
	// DataCentre is the data centre of the server.
	DataCentre string
	Address    string
	// Born is the start time of the server in Unix milliseconds; 0 if unknown.
	Born int64
	// Path is the path of the status check.
	Path string
	// Connections limits the connections to the server; 0 selects the default of
	// the pool.
	Connections int
	// Interval is the time between two periodic checks.
	Interval time.Duration
}

// CheckOptions configure [Checks]. All but Excluded and OnAnswer are required.
type CheckOptions struct {
	Board   *Board
	Pool    *serverconn.Pool
	Checker Checker
	// Targets returns the servers that this instance currently has to check.
	Targets func() []Target
	// AfterRound is called after each round of checks, once most responses are
	// expected to have arrived.
	AfterRound func()
	// OnReplaced is called if a different server responds at the address of the
	// given one.
	OnReplaced func(server string)
	// OnNotice is called with what each answer says about requests to come.
	OnNotice func(target Target, notice Notice)
	// Excluded reports whether nothing may be sent to a server now. It is asked immediately
	// before each check.
	Excluded func(target Target) bool
	// OnAnswer is called with the duration of each check on an open connection.
	OnAnswer func(target Target, took time.Duration)
	Logger   *slog.Logger
}

// Checks runs status checks of backend servers, periodically and on demand, and records the
// results on a [Board].
type Checks struct {
	opts CheckOptions

	mu      sync.Mutex
	running map[string]bool
	// next is the earliest time of the next check of each server that did not
	// respond to the last one.
	next map[string]time.Time
	// longSince and longLogged are the start of the present time of longCheck and the number
	// of long checks logged since.
	longSince  time.Time
	longLogged int
}

// NewChecks returns checks that [Checks.Run] starts.
func NewChecks(opts CheckOptions) *Checks {
	return &Checks{opts: opts, running: make(map[string]bool), next: make(map[string]time.Time)}
}

// Run checks the targets until ctx ends. It returns nil after the running checks
// have ended.
func (c *Checks) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			started := false
			for _, target := range c.opts.Targets() {
				if c.tryBegin(target.Server, max(target.Interval, checkInterval), now) {
					started = true
					wg.Go(func() { c.check(ctx, target) })
				}
			}
			if started {
				time.AfterFunc(responseDelay, c.opts.AfterRound)
			}
		}
	}
}

// tryBegin reports whether a check of the server is due and marks it as running.
func (c *Checks) tryBegin(server string, interval time.Duration, now time.Time) bool {
	interval = max(interval, c.opts.Board.CheckInterval(server))
	// Half a tick less than the interval, so that the check is made at the tick
	// nearest to its due time.
	if now.Sub(c.opts.Board.LastReading(server)) < interval-checkInterval/2 || now.Before(c.opts.Board.QuietUntil(server)) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.next) > maxUnreachable {
		clear(c.next)
	}
	if c.running[server] || now.Before(c.next[server]) {
		return false
	}
	c.running[server] = true
	return true
}

// Refresh checks servers at once and returns when all have responded or the time is over.
// Servers with a check under way are left out. A response that comes later is recorded too.
func (c *Checks) Refresh(ctx context.Context, targets []Target, wait time.Duration) {
	done := make(chan struct{}, len(targets))
	started := 0
	for _, target := range targets {
		if !c.markRunning(target.Server) {
			continue
		}
		started++
		go func() {
			c.check(context.WithoutCancel(ctx), target)
			done <- struct{}{}
		}()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range started {
		select {
		case <-done:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// markRunning reports whether no check of the server is running and marks one as running.
func (c *Checks) markRunning(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[server] {
		return false
	}
	c.running[server] = true
	return true
}

func (c *Checks) check(ctx context.Context, target Target) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if c.excluded(target) {
		return
	}
	conn, err := c.opts.Pool.Get(ctx, target.Address, target.Connections)
	if err == nil && c.excluded(target) {
		conn.Close()
		return
	}
	var full *serverconn.FullError
	if errors.As(err, &full) && c.opts.Board.warmsUp(target.Server) {
		// The server was not asked, so that it doesn't count as cold.
		c.postpone(target.Server, time.Now())
		return
	}
	if err != nil {
		c.opts.Logger.Debug("status check failed", "server", target.Server, "error", err)
		c.record(target, timestamped(Reading{Server: KeyOf(target.Server), Health: HealthUnreachable}))
		return
	}
	excluded := false
	conn.MayWrite = func() error {
		if excluded = c.excluded(target); excluded {
			return errExcluded
		}
		return nil
	}
	reading := c.checkOn(ctx, conn, target)
	if excluded {
		return
	}
	c.record(target, reading)
}

// postpone ends a check that was not sent.
func (c *Checks) postpone(server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, server)
	c.next[server] = now.Add(failedInterval)
}

// excluded reports whether a check must not be made, and ends it if so.
func (c *Checks) excluded(target Target) bool {
	if c.opts.Excluded == nil || !c.opts.Excluded(target) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, target.Server)
	return true
}

// record records the result of a check.
func (c *Checks) record(target Target, reading Reading) {
	now := time.Now()
	c.mu.Lock()
	delete(c.running, target.Server)
	if reading.Health == HealthUnreachable {
		c.next[target.Server] = now.Add(failedInterval)
	} else {
		delete(c.next, target.Server)
	}
	c.mu.Unlock()
	if reading.Health != HealthUnreachable {
		c.opts.Board.Answered(now)
	}
	c.opts.Board.Observe(reading)
}

// checkOn makes one status check on a connection.
func (c *Checks) checkOn(ctx context.Context, conn *serverconn.Conn, target Target) Reading {
	reading := Reading{Server: KeyOf(target.Server), Health: HealthUnreachable}
	began := time.Now()
	c.opts.Board.BeganCheck(target.Server, began)
	// After the check, the connection may be in use again.
	var written time.Time
	resp, err := conn.Check(ctx, target.Path, func(resp *http.Response) bool {
		written = conn.Written()
		return IsCheck(c.opts.Checker, resp)
	})
	if err != nil {
		written = conn.Written()
	}
	c.logLong(target, began, written, err)
	if err != nil {
		level := slog.LevelDebug
		var malformed *respcheck.HeadError
		if errors.As(err, &malformed) {
			level = slog.LevelInfo
		}
		c.opts.Logger.Log(ctx, level, "status check failed", "server", target.Server, "error", err)
		if ctx.Err() != nil && conn.Reused() {
			c.opts.Pool.Invalidate(target.Address)
		}
		return timestamped(reading)
	}
	if id := c.opts.Checker.ServerID(resp.Header); id != "" && id != target.Server {
		c.opts.OnReplaced(target.Server)
		return timestamped(reading)
	}
	answered := time.Now()
	c.opts.Board.AnsweredTo(target.Server, began, answered)
	if c.opts.OnAnswer != nil {
		c.opts.OnAnswer(target, answered.Sub(began))
	}
	notice := c.opts.Checker.Notice(resp)
	notice.Began = began
	c.opts.OnNotice(target, notice)
	reading.Warm = notice.WarmthKnown && notice.ColdFor == 0 && c.opts.Board.warmsUp(target.Server)
	reading.Health = HealthBad
	if resp.StatusCode == http.StatusOK {
		reading.Health = HealthGood
	}
	if report := c.opts.Checker.Report(resp.Header); report != nil {
		reading.Report, reading.HasReport = *report, true
	}
	return timestamped(reading)
}

// logLong logs a check that was under way while the process was stopped.
func (c *Checks) logLong(target Target, began, written time.Time, err error) {
	now := time.Now()
	if now.Sub(began) < longCheck {
		return
	}
	c.mu.Lock()
	if now.Sub(c.longSince) >= longCheck {
		c.longSince, c.longLogged = now, 0
	}
	c.longLogged++
	logged := c.longLogged <= maxLongChecks
	c.mu.Unlock()
	if logged {
		c.opts.Logger.Info("status check was under way during a stop", "server", target.Server, "data_centre", target.DataCentre,
			"began", began, "written", written, "took", now.Sub(began), "error", err)
	}
}

func timestamped(r Reading) Reading {
	r.HealthAt = time.Now()
	if r.HasReport {
		r.At = r.HealthAt
	}
	return r
}

// IsCheck reports whether a response belongs to a status check. A response with the ID of a
// request, or with status 200 and no server ID, is a late response to an earlier request instead.
func IsCheck(checker Checker, resp *http.Response) bool {
	return checker.RequestID(resp.Header) == "" && (resp.StatusCode != http.StatusOK || checker.ServerID(resp.Header) != "")
}
