package slopes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/loadgen"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/internal/standin/platformd"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

const (
	servers     = 8
	hopServers  = 4
	serviceTime = 20 * time.Millisecond
	settleTime  = 2 * time.Second
	idleTime    = 5 * time.Second
	loadTime    = 4 * time.Second
	callTimeout = 2 * time.Second
	inForcePoll = 5 * time.Millisecond
	acceptances = 3

	workService = "work"
	hopService  = "hop"
	// directService is called without the daemons.
	directService = "direct"

	microseconds = 1e6
	percent      = 100
)

// Sizes of the runs.
var (
	fleetSizes = []int{4, 9, 18}
	// fleetRates are calls a second over the whole fleet: a quarter, half and
	// three quarters of what the servers can run.
	fleetRates = []float64{600, 1200, 1800}
	// fewServers are further numbers of servers for the largest fleet.
	fewServers = []int{2, 4}
	hopRates   = []float64{125, 250, 500}
	// connections are those of callers to one daemon.
	connections = []int{250, 500, 1000}
)

// Daemons measures fleets of daemons on loopback.
func Daemons(ctx context.Context, bin string, samples *Samples) error {
	for _, size := range fleetSizes {
		if err := measureFleet(ctx, bin, size, samples); err != nil {
			return err
		}
	}
	for _, count := range fewServers {
		if err := measureFewServers(ctx, bin, count, samples); err != nil {
			return err
		}
	}
	return nil
}

// measureFleet measures a fleet with the usual number of servers.
func measureFleet(ctx context.Context, bin string, size int, samples *Samples) error {
	return withFleet(ctx, bin, size, servers, samples, (*fleetRun).measure)
}

// measureFewServers measures the largest fleet at half load with another number
// of servers, for the cost of leases by the slots that a holder can have.
func measureFewServers(ctx context.Context, bin string, count int, samples *Samples) error {
	largest := fleetSizes[len(fleetSizes)-1]
	return withFleet(ctx, bin, largest, count, samples, func(r *fleetRun, ctx context.Context) error {
		time.Sleep(settleTime)
		used, err := r.callsOfLeases(ctx, r.halfLoad())
		if err != nil {
			return err
		}
		r.addSlots(used)
		return nil
	})
}

func withFleet(ctx context.Context, bin string, size, count int, samples *Samples, measure func(*fleetRun, context.Context) error) error {
	dir, err := os.MkdirTemp("", "pomelolock-slopes-")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if bin, err = filepath.Abs(bin); err != nil {
		return fmt.Errorf("find programs: %w", err)
	}
	f, err := fleet.StartReady(ctx, spec(bin, dir, size, count))
	if err != nil {
		return err
	}
	r := &fleetRun{Fleet: f, size: float64(size), servers: count, samples: samples}
	return errors.Join(measure(r, ctx), f.Stop())
}

func spec(bin, dir string, size, count int) fleet.Spec {
	s := fleet.Spec{
		Bin: bin, Dir: dir, Region: "region-1", DataCentres: []string{"dc-1"},
		Entries: size, Seed: 1, LogLevel: "error",
	}
	for _, name := range []string{workService, hopService, directService} {
		service := fleet.Service{
			Row: fleet.NewService(name), Servers: hopServers, ServiceTime: time.Millisecond, Distribution: backend.DistributionFixed,
		}
		if name == workService {
			service.Servers, service.ServiceTime, service.Distribution = count, serviceTime, ""
		}
		s.Services = append(s.Services, service)
		s.Routes = append(s.Routes, table.Route{PathPrefix: "/" + name, Service: name, Repeatable: true})
	}
	return s
}

// fleetRun measures one fleet.
type fleetRun struct {
	*fleet.Fleet
	size float64
	// servers is the number of those that run calls of the leases.
	servers int
	// idleBytes is what a daemon without callers exchanges in a second.
	idleBytes float64
	// storeWrites and takeovers are those of the coordinators so far.
	storeWrites, takeovers float64
	samples                *Samples
}

func (r *fleetRun) measure(ctx context.Context) error {
	time.Sleep(settleTime)
	if err := r.idle(ctx); err != nil {
		return err
	}
	for _, rate := range fleetRates {
		if err := r.load(ctx, rate); err != nil {
			return err
		}
	}
	r.perFleet("coordinator record writes", "since the start", r.storeWrites)
	r.perFleet("takeovers", "since the start", r.takeovers)
	if err := r.acceptances(ctx); err != nil || r.size != float64(fleetSizes[0]) {
		return err
	}
	if err := r.hops(ctx); err != nil {
		return err
	}
	return r.connections()
}

// perFleet adds a sample whose size is the number of daemons.
func (r *fleetRun) perFleet(name, unit string, value float64) {
	r.samples.add("daemon."+name, unit, "daemons", r.size, value)
}

// idle measures daemons without callers and what they cost the store.
func (r *fleetRun) idle(ctx context.Context) error {
	var before, after memory.Counts
	if err := loadgen.GetJSON(ctx, r.Platform.URL+platformd.PathCounts, &before); err != nil {
		return err
	}
	used, err := r.use(ctx, func() error { time.Sleep(idleTime); return nil })
	if err != nil {
		return err
	}
	if err := loadgen.GetJSON(ctx, r.Platform.URL+platformd.PathCounts, &after); err != nil {
		return err
	}
	seconds := idleTime.Seconds()
	r.perFleet("idle bytes", "B/s a daemon", used.bytes/seconds/r.size)
	r.perFleet("idle cpu", "% of a core a daemon", used.cpu/seconds/r.size*percent)
	r.perFleet("idle control cpu", "% of a core a daemon", used.control/loadTime.Seconds()/r.size*percent)
	r.perFleet("idle memory", "B a daemon", used.resident/r.size)
	r.perFleet("idle store reads", "1/s a daemon", float64(after.Reads-before.Reads)/seconds/r.size)
	r.perFleet("idle store writes", "1/s a daemon", float64(after.Writes-before.Writes)/seconds/r.size)
	r.idleBytes = used.bytes / seconds / r.size
	return nil
}

// load measures what calls of the leases cost. Sizes are calls a second and
// daemon.
func (r *fleetRun) load(ctx context.Context, rate float64) error {
	used, err := r.callsOfLeases(ctx, rate)
	if err != nil {
		return err
	}
	seconds, perDaemon := loadTime.Seconds(), rate/r.size
	add := func(name, unit string, value float64) {
		r.samples.add(fmt.Sprintf("daemons=%g.%s", r.size, name), unit, "calls/s a daemon", perDaemon, value)
	}
	r.storeWrites, r.takeovers = used.storeWrites, used.takeovers
	add("control bytes", "B/s a daemon", used.bytes/seconds/r.size)
	add("control bytes a call", "B", used.bytes/used.requests)
	if rate == r.halfLoad() {
		r.perFleet("control bytes a call at half load", "B", (used.bytes/seconds-r.idleBytes*r.size)/rate)
		r.addSlots(used)
	}
	add("slot messages a call", "1", used.messages/used.requests)
	add("control bytes of the busiest", "B/s", used.mostBytes/seconds)
	add("slot messages", "1/s a daemon", used.messages/seconds/r.size)
	add("control cpu", "% of a core a daemon", used.control/seconds/r.size*percent)
	add("cpu", "% of a core a daemon", used.cpu/seconds/r.size*percent)
	add("cpu a call", "µs", used.cpu/used.requests*microseconds)
	add("allocations a call", "1", used.mallocs/used.requests)
	add("memory", "B a daemon", used.resident/r.size)
	return nil
}

// addSlots adds the cost of leases by the slots that a holder can have.
func (r *fleetRun) addSlots(used usage) {
	share := float64(r.servers*fleet.ServerSlots) / r.size
	add := func(name, unit string, value float64) {
		r.samples.add("slots."+name, unit, "slots a holder", share, value)
	}
	add("messages a call", "1", used.messages/used.requests)
	add("bytes a call", "B sent and received", 2*used.slotBytes/used.requests)
}

// halfLoad is the number of calls a second that takes half of the slots.
func (r *fleetRun) halfLoad() float64 {
	return float64(r.servers*fleet.ServerSlots) / serviceTime.Seconds() / 2
}

func (r *fleetRun) callsOfLeases(ctx context.Context, rate float64) (usage, error) {
	return r.use(ctx, func() error {
		_, err := loadgen.Run(ctx, loadgen.Options{
			Targets: r.Targets(), Kinds: []loadgen.Kind{{Path: "/" + workService, Weight: 1}},
			Rate: rate, Duration: loadTime, Seed: 1, Timeout: callTimeout,
		})
		return err
	})
}

// acceptances measures the time from the acceptance of a table until it is in
// force on every daemon.
func (r *fleetRun) acceptances(ctx context.Context) error {
	for base := uint64(1); base <= acceptances; base++ {
		doc := r.Document()
		doc.Fleet.ProbesPerSecond += int(base)
		began := time.Now()
		version, err := r.Accept(ctx, doc, base)
		if err != nil {
			return err
		}
		for _, entry := range r.Entries {
			if err := waitInForce(ctx, entry, version); err != nil {
				return err
			}
		}
		r.perFleet("table in force everywhere", "ms", float64(time.Since(began).Microseconds())/1000)
	}
	return nil
}

func waitInForce(ctx context.Context, entry *fleet.Entry, version uint64) error {
	for ctx.Err() == nil {
		metrics, err := entry.Metrics(ctx)
		if err != nil {
			return err
		}
		if metrics[metricVersion] >= float64(version) {
			return nil
		}
		time.Sleep(inForcePoll)
	}
	return ctx.Err()
}

// hops compares calls through the daemons with direct ones sent at the same
// time to a server of the same kind.
func (r *fleetRun) hops(ctx context.Context) error {
	direct := ""
	for _, server := range r.Backends {
		if server.Service == directService {
			direct = "http://" + server.Address
		}
	}
	for _, rate := range hopRates {
		var through, without *loadgen.Report
		var errThrough, errWithout error
		var group sync.WaitGroup
		group.Go(func() { through, errThrough = hop(ctx, hopService, rate, r.Targets()) })
		group.Go(func() { without, errWithout = hop(ctx, directService, rate, []string{direct}) })
		group.Wait()
		if err := errors.Join(errThrough, errWithout); err != nil {
			return err
		}
		add := func(name string, value float64) { r.samples.add("hop."+name, "ms", "calls/s", rate, value) }
		add("direct p50", without.Latency.P50)
		add("direct p99", without.Latency.P99)
		add("through p50", through.Latency.P50)
		add("through p99", through.Latency.P99)
	}
	return nil
}

func hop(ctx context.Context, service string, rate float64, targets []string) (*loadgen.Report, error) {
	return loadgen.Run(ctx, loadgen.Options{
		Targets: targets, Kinds: []loadgen.Kind{{Path: "/" + service, Weight: 1}},
		Rate: rate, Duration: loadTime, Seed: 1, Timeout: callTimeout,
	})
}
