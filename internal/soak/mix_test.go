package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The bodies of uploads have between leastUpload and mostUpload bytes. Some are sent in
	// uploadPieces over up to longestTrickle, which is longer than their callers wait.
	leastUpload     = 100_000
	mostUpload      = 1_000_000
	uploadPieces    = 16
	longestTrickle  = 2500 * time.Millisecond
	mixDeadline     = 2 * time.Second
	uploadCallers   = 8
	pipelineCallers = 8
	// The users require that in any capWindow servers run no more of a workspace's requests than
	// (rate x window + burst) x (1 + capExcess) + capSlack.
	capWindow = 5 * time.Second
	capExcess = 0.1
	capSlack  = 20
)

// workspace is a workspace with a cap; its callers send demand requests a second, some of which meet
// daemons that are down.
type workspace struct {
	name                string
	rate, burst, demand float64
}

var workspaces = []workspace{
	{name: "near", rate: 40, burst: 10, demand: 50},
	{name: "over", rate: 30, burst: 10, demand: 90},
}

// mix is what a seed of TestSoak has beside the usual traffic and faults.
type mix struct {
	// uploads and pipelines add callers that upload and pipeline, caps adds workspaces.
	uploads, pipelines, caps bool
	// copies is set if half of the servers copy responses, restarts if daemons are restarted in
	// series, with reloads and changes between.
	copies, restarts bool
}

// mixOf draws the mix of a seed. The regression seeds play as they did when they failed.
func mixOf(seed uint64) mix {
	if slices.Contains(regressionSeeds, seed) {
		return mix{}
	}
	random := rand.New(rand.NewPCG(seed, 4))
	drawn := func() bool { return random.IntN(2) == 0 }
	return mix{uploads: drawn(), pipelines: drawn(), caps: drawn(), copies: drawn(), restarts: drawn()}
}

// mixedTraffic holds what the callers of a mix observed.
type mixedTraffic struct {
	*plannedStops
	// capped lists the requests of each workspace.
	capped map[string][]callResult
}

// startMix starts the callers and faults of the mix of the seed, which go on until ctx ends.
func (s *soak) startMix(ctx context.Context, wg *sync.WaitGroup, seed uint64) *mixedTraffic {
	m := &mixedTraffic{plannedStops: &plannedStops{soak: s, orders: true, disturbed: true}, capped: make(map[string][]callResult)}
	for _, d := range s.daemons {
		m.fleet = append(m.fleet, &stoppable{daemon: d})
	}
	streams := uint64(100)
	random := func() *rand.Rand {
		streams++
		return rand.New(rand.NewPCG(seed, streams))
	}
	if s.mix.uploads {
		for range uploadCallers {
			random := random()
			wg.Go(func() { m.upload(ctx, random) })
		}
	}
	if s.mix.pipelines {
		for range pipelineCallers {
			random := random()
			wg.Go(func() { m.pipeline(ctx, random) })
		}
	}
	if s.mix.caps {
		for _, w := range workspaces {
			random := random()
			wg.Go(func() { m.use(ctx, w, random) })
		}
	}
	if s.mix.restarts {
		random := random()
		wg.Go(func() { m.restartInSeries(ctx, random) })
	}
	return m
}

// upload sends one upload after another on a connection until an answer closes it.
func (m *mixedTraffic) upload(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		d, conn := m.dial(random)
		if conn == nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && ctx.Err() == nil; {
			c, sent := m.sendUpload(conn, d, random)
			open = c.read(conn, reader, m.t)
			if open {
				open = <-sent
			}
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		conn.Close()
	}
}

// sendUpload begins to send an upload, at once or in pieces, with a length or in chunks. A tenth of
// the uploads stop half way. It returns a channel that tells whether all of it was sent.
func (m *mixedTraffic) sendUpload(conn *callerConn, d *stoppable, random *rand.Rand) (*channelCall, <-chan bool) {
	id := fmt.Sprint("q", m.sequence.Add(1))
	size := leastUpload + random.IntN(mostUpload-leastUpload)
	body := id + strings.Repeat("x", size-2*len(id)) + id
	chunked, pause, pieces := random.IntN(2) == 0, time.Duration(0), uploadPieces
	switch random.IntN(10) {
	case 0:
		pieces /= 2
	case 1, 2, 3:
		pause = time.Duration(random.Int64N(int64(longestTrickle))) / uploadPieces
	}
	began := time.Now()
	c := &channelCall{id: id, daemon: d, deadline: mixDeadline, openedAt: conn.openedAt, beganAt: began, sentAt: began}
	m.mu.Lock()
	m.calls = append(m.calls, c)
	m.mu.Unlock()
	sent := make(chan bool, 1)
	go func() {
		_ = conn.SetWriteDeadline(began.Add(mixDeadline + time.Second))
		length := fmt.Sprint("Content-Length: ", size)
		if chunked {
			length = "Transfer-Encoding: chunked"
		}
		_, err := fmt.Fprintf(conn, "PUT /order/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n\r\n", id, id, mixDeadline.Milliseconds(), length)
		for n := 0; n < pieces && err == nil; n++ {
			piece := body[n*size/uploadPieces : (n+1)*size/uploadPieces]
			if chunked {
				piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			}
			_, err = conn.Write([]byte(piece))
			time.Sleep(pause)
		}
		if chunked && pieces == uploadPieces && err == nil {
			_, err = conn.Write([]byte("0\r\n\r\n"))
		}
		sent <- err == nil && pieces == uploadPieces
	}()
	return c, sent
}

// use sends requests of a workspace at random times, each to a random daemon.
func (m *mixedTraffic) use(ctx context.Context, w workspace, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() / w.demand * float64(time.Second)))
		d := m.daemons[random.IntN(len(m.daemons))]
		result := callResult{id: fmt.Sprint("q", m.sequence.Add(1)), idempotent: random.IntN(2) == 0}
		method, path := http.MethodPost, "/order/"+result.id
		if result.idempotent {
			method, path = http.MethodGet, "/look/"+result.id
		}
		wg.Go(func() {
			var body string
			result.status, body = m.sendWithin(transport, d, method, path, result.id, mixDeadline, w.name)
			if result.status == http.StatusOK && body != result.id+" "+path {
				m.t.Errorf("request %s got the response %q", result.id, body)
			}
			m.soak.mu.Lock()
			defer m.soak.mu.Unlock()
			m.results = append(m.results, result)
			m.capped[w.name] = append(m.capped[w.name], result)
		})
	}
	wg.Wait()
}

// restartInSeries stops or kills the daemons one after another, while others still stop, with
// reloads and new tables between.
func (m *mixedTraffic) restartInSeries(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL}[random.IntN(3)]
		for _, n := range random.Perm(len(m.daemons)) {
			m.daemons[n].signal(signal)
			switch random.IntN(4) {
			case 0:
				m.daemons[n].signal(syscall.SIGHUP)
			case 1:
				m.accept(fmt.Sprintf("/extra%d/", random.IntN(5)))
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(200+random.IntN(1200)) * time.Millisecond):
			}
		}
	}
}

// checkMix compares what the callers of the mix got with what servers ran.
func (s *soak) checkMix(m *mixedTraffic) {
	statuses := make(map[int]int)
	cut := 0
	for _, c := range m.calls {
		statuses[c.status]++
		runs := s.journal.count(c.id)
		if !c.idempotent && runs > 1 {
			s.t.Errorf("order %s ran %d times: %v", c.id, runs, s.journal.runs[c.id])
		}
		if promisesNotRun(c.status) && runs > 0 {
			s.t.Errorf("request %s got status %d but ran", c.id, c.status)
		}
		if c.complete || c.announced || c.endedAt.Sub(c.beganAt) >= c.deadline {
			continue
		}
		cut++
		// A planned stop may cut requests that no server got, and others at the end of the grace period. The
		// end of a process closes its connections, also where a request is sent on one long after it.
		endings := c.daemon.endingsIn(c.openedAt, c.endedAt)
		allowed := slices.ContainsFunc(endings, func(e ending) bool {
			return e.killed || runs == 0 || c.endedAt.Sub(e.from) > grace*5/6
		})
		if !allowed {
			s.t.Errorf("no answer to %s (behind=%t, idempotent=%t, %d runs, at work=%t) at %s, %v after it began at %s, connection opened at %s; ends of the process %v: %v",
				c.id, c.behind, c.idempotent, runs, s.journal.atWork(c.id, c.endedAt), c.daemon.caller, c.endedAt.Sub(c.beganAt), c.beganAt.Format(time.StampMilli),
				c.openedAt.Format(time.StampMilli), endings, c.err)
		}
	}
	for _, text := range s.journal.mixedUp {
		s.t.Error(text)
	}
	s.t.Logf("%+v: %d uploads and pipelined requests, answers by status (0 is none) %v, without an answer before their deadline %d",
		s.mix, len(m.calls), statuses, cut)
	for _, w := range workspaces {
		if sent := m.capped[w.name]; len(sent) > 0 {
			answers := make(map[int]int)
			for _, result := range sent {
				answers[result.status]++
			}
			allowed := int((w.rate*capWindow.Seconds()+w.burst)*(1+capExcess) + capSlack)
			most, from := s.mostRuns(sent)
			if most > allowed {
				s.t.Errorf("servers ran %d requests of workspace %s in the %v from %s on; allowed %d", most, w.name, capWindow, from.Format(time.StampMilli), allowed)
			}
			s.t.Logf("workspace %s: %d requests, answers by status %v, most runs in %v %d of %d allowed", w.name, len(sent), answers, capWindow, most, allowed)
		}
	}
}

// mostRuns returns the largest number of the given requests that servers began in any capWindow,
// and when that began. A request that ran several times counts once.
func (s *soak) mostRuns(results []callResult) (most int, from time.Time) {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	var began []time.Time
	for _, result := range results {
		if runs := s.journal.spans[result.id]; len(runs) > 0 {
			began = append(began, runs[0].from)
		}
	}
	slices.SortFunc(began, time.Time.Compare)
	for first, last := 0, 0; last < len(began); last++ {
		for began[last].Sub(began[first]) > capWindow {
			first++
		}
		if count := last - first + 1; count > most {
			most, from = count, began[first]
		}
	}
	return most, from
}

// watchProcesses samples the anonymous memory of the daemons until the returned function is called,
// which checks the peaks, and that no process ended by itself.
func (s *soak) watchProcesses() (check func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	peaks := make([]int64, len(s.daemons))
	go func() {
		defer close(done)
		for {
			for n, d := range s.daemons {
				d.mu.Lock()
				pid := d.cmd.Process.Pid
				d.mu.Unlock()
				peaks[n] = max(peaks[n], memory(pid, "RssAnon"))
			}
			select {
			case <-stop:
				return
			case <-time.After(5 * sampleInterval):
			}
		}
	}()
	return func() {
		close(stop)
		<-done
		s.t.Logf("peak of anonymous memory: %d MB", slices.Max(peaks)>>20)
		for n, d := range s.daemons {
			if peaks[n] >= allowedMemory {
				s.t.Errorf("daemon %d used %d MB of %d MB", n, peaks[n]>>20, allowedMemory>>20)
			}
			d.mu.Lock()
			if len(d.faults) > 0 {
				s.t.Errorf("daemon %d ended by itself: %v", n, d.faults)
			}
			d.mu.Unlock()
		}
	}
}
