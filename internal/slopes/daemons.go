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
	workServers       = 8
	hopServers        = 4
	workServiceTime   = 20 * time.Millisecond
	settleTime        = 2 * time.Second
	idleTime          = 5 * time.Second
	loadTime          = 4 * time.Second
	requestTimeout    = 2 * time.Second
	tablePollInterval = 5 * time.Millisecond
	tableUpdates      = 3

	workService = "work"
	hopService  = "hop"
	// directService receives requests directly, not through a daemon.
	directService = "direct"

	microseconds = 1e6
	percent      = 100
)

// Sizes at which costs are measured.
var (
	fleetSizes = []int{4, 9, 18}
	// fleetRates are requests per second over the whole fleet: a quarter, half
	// and three quarters of what the backend servers can run.
	fleetRates = []float64{600, 1200, 1800}
	// otherServerCounts are further backend server counts, measured with the
	// largest fleet only.
	otherServerCounts = []int{2, 4}
	hopRates          = []float64{125, 250, 500}
	// connectionCounts are numbers of idle caller connections to one daemon.
	connectionCounts = []int{250, 500, 1000}
)

// MeasureDaemons starts fleets of daemons on loopback from the programs in the
// directory bin, one fleet after the other, and adds their costs to samples.
func MeasureDaemons(ctx context.Context, bin string, samples *Samples) error {
	for _, size := range fleetSizes {
		if err := measureFleet(ctx, bin, size, samples); err != nil {
			return err
		}
	}
	for _, count := range otherServerCounts {
		if err := measureServerCount(ctx, bin, count, samples); err != nil {
			return err
		}
	}
	return nil
}

// measureFleet measures a fleet of size daemons with the default number of
// backend servers.
func measureFleet(ctx context.Context, bin string, size int, samples *Samples) error {
	return withFleet(ctx, bin, size, workServers, samples, (*fleetRun).measure)
}

// measureServerCount measures the largest fleet at half load with count backend
// servers. This varies the slots available per holder, which determine the cost
// of leases.
func measureServerCount(ctx context.Context, bin string, count int, samples *Samples) error {
	largest := fleetSizes[len(fleetSizes)-1]
	return withFleet(ctx, bin, largest, count, samples, func(r *fleetRun, ctx context.Context) error {
		time.Sleep(settleTime)
		used, err := r.runLeasedRequests(ctx, r.halfLoadRate())
		if err != nil {
			return err
		}
		r.addLeaseCost(used)
		return nil
	})
}

func withFleet(ctx context.Context, bin string, size, count int, samples *Samples, measure func(*fleetRun, context.Context) error) error {
	dir, err := os.MkdirTemp("", "pomelolock-slopes-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if bin, err = filepath.Abs(bin); err != nil {
		return fmt.Errorf("resolve program directory: %w", err)
	}
	f, err := fleet.StartReady(ctx, newFleetSpec(bin, dir, size, count))
	if err != nil {
		return err
	}
	r := &fleetRun{Fleet: f, size: float64(size), servers: count, samples: samples}
	return errors.Join(measure(r, ctx), f.Stop())
}

func newFleetSpec(bin, dir string, size, count int) fleet.Spec {
	s := fleet.Spec{
		Bin: bin, Dir: dir, Region: "region-1", DataCentres: []string{"dc-1"},
		Entries: size, Seed: 1, LogLevel: "error",
	}
	for _, name := range []string{workService, hopService, directService} {
		service := fleet.Service{
			Row: fleet.NewService(name), Servers: hopServers, ServiceTime: time.Millisecond, Distribution: backend.DistributionFixed,
		}
		if name == workService {
			service.Servers, service.ServiceTime, service.Distribution = count, workServiceTime, ""
		}
		s.Services = append(s.Services, service)
		s.Routes = append(s.Routes, table.Route{PathPrefix: "/" + name, Service: name, Repeatable: true})
	}
	return s
}

// fleetRun is the measurement of one running fleet.
type fleetRun struct {
	*fleet.Fleet
	size float64
	// servers is the number of backend servers of the work service.
	servers int
	// idleBytes is the peer traffic of an idle daemon, in bytes per second.
	idleBytes float64
	// storeWrites and takeovers are the coordinators' counts since the start
	// of the fleet.
	storeWrites, takeovers float64
	samples                *Samples
}

func (r *fleetRun) measure(ctx context.Context) error {
	time.Sleep(settleTime)
	if err := r.measureIdle(ctx); err != nil {
		return err
	}
	for _, rate := range fleetRates {
		if err := r.measureLoad(ctx, rate); err != nil {
			return err
		}
	}
	r.addByFleetSize("coordinator record writes", "since the start", r.storeWrites)
	r.addByFleetSize("takeovers", "since the start", r.takeovers)
	if err := r.measureTableUpdates(ctx); err != nil || r.size != float64(fleetSizes[0]) {
		return err
	}
	if err := r.measureHops(ctx); err != nil {
		return err
	}
	return r.measureConnections()
}

// addByFleetSize adds a sample to a series over the number of daemons.
func (r *fleetRun) addByFleetSize(name, unit string, value float64) {
	r.samples.add("daemon."+name, unit, "daemons", r.size, value)
}

// measureIdle measures the resources and the store calls of daemons that receive
// no requests.
func (r *fleetRun) measureIdle(ctx context.Context) error {
	var before, after memory.Counts
	if err := loadgen.GetJSON(ctx, r.Platform.URL+platformd.PathCounts, &before); err != nil {
		return err
	}
	used, err := r.measureUsage(ctx, func() error { time.Sleep(idleTime); return nil })
	if err != nil {
		return err
	}
	if err := loadgen.GetJSON(ctx, r.Platform.URL+platformd.PathCounts, &after); err != nil {
		return err
	}
	seconds := idleTime.Seconds()
	r.addByFleetSize("idle bytes", "B/s a daemon", used.bytes/seconds/r.size)
	r.addByFleetSize("idle cpu", "% of a core a daemon", used.cpu/seconds/r.size*percent)
	r.addByFleetSize("idle control cpu", "% of a core a daemon", used.controlCPU/loadTime.Seconds()/r.size*percent)
	r.addByFleetSize("idle memory", "B a daemon", used.resident/r.size)
	r.addByFleetSize("idle store reads", "1/s a daemon", float64(after.Reads-before.Reads)/seconds/r.size)
	r.addByFleetSize("idle store writes", "1/s a daemon", float64(after.Writes-before.Writes)/seconds/r.size)
	r.idleBytes = used.bytes / seconds / r.size
	return nil
}

// measureLoad measures the cost of requests to the work service at rate requests
// per second over the fleet. The sizes of its series are requests per second and
// daemon.
func (r *fleetRun) measureLoad(ctx context.Context, rate float64) error {
	used, err := r.runLeasedRequests(ctx, rate)
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
	if rate == r.halfLoadRate() {
		r.addByFleetSize("control bytes a call at half load", "B", (used.bytes/seconds-r.idleBytes*r.size)/rate)
		r.addLeaseCost(used)
	}
	add("slot messages a call", "1", used.messages/used.requests)
	add("control bytes of the busiest", "B/s", used.maxBytes/seconds)
	add("slot messages", "1/s a daemon", used.messages/seconds/r.size)
	add("control cpu", "% of a core a daemon", used.controlCPU/seconds/r.size*percent)
	add("cpu", "% of a core a daemon", used.cpu/seconds/r.size*percent)
	add("cpu a call", "µs", used.cpu/used.requests*microseconds)
	add("allocations a call", "1", used.mallocs/used.requests)
	add("memory", "B a daemon", used.resident/r.size)
	return nil
}

// addLeaseCost adds the cost of leases to the series over the slots available
// per holder.
func (r *fleetRun) addLeaseCost(used usage) {
	slotsPerHolder := float64(r.servers*fleet.ServerSlots) / r.size
	add := func(name, unit string, value float64) {
		r.samples.add("slots."+name, unit, "slots a holder", slotsPerHolder, value)
	}
	add("messages a call", "1", used.messages/used.requests)
	add("bytes a call", "B sent and received", 2*used.slotBytes/used.requests)
}

// halfLoadRate returns the requests per second that occupy half of the slots.
func (r *fleetRun) halfLoadRate() float64 {
	return float64(r.servers*fleet.ServerSlots) / workServiceTime.Seconds() / 2
}

func (r *fleetRun) runLeasedRequests(ctx context.Context, rate float64) (usage, error) {
	return r.measureUsage(ctx, func() error {
		_, err := loadgen.Run(ctx, loadgen.Options{
			Targets: r.Targets(), Kinds: []loadgen.Kind{{Path: "/" + workService, Weight: 1}},
			Rate: rate, Duration: loadTime, Seed: 1, Timeout: requestTimeout,
		})
		return err
	})
}

// measureTableUpdates measures the time from the acceptance of a table until it
// is active on every daemon.
func (r *fleetRun) measureTableUpdates(ctx context.Context) error {
	for base := uint64(1); base <= tableUpdates; base++ {
		doc := r.Document()
		doc.Fleet.ProbesPerSecond += int(base)
		began := time.Now()
		version, err := r.Accept(ctx, doc, base)
		if err != nil {
			return err
		}
		for _, entry := range r.Entries {
			if err := waitForTable(ctx, entry, version); err != nil {
				return err
			}
		}
		r.addByFleetSize("table in force everywhere", "ms", float64(time.Since(began).Microseconds())/1000)
	}
	return nil
}

func waitForTable(ctx context.Context, entry *fleet.Entry, version uint64) error {
	for ctx.Err() == nil {
		metrics, err := entry.Metrics(ctx)
		if err != nil {
			return err
		}
		if metrics[metricVersion] >= float64(version) {
			return nil
		}
		time.Sleep(tablePollInterval)
	}
	return ctx.Err()
}

// measureHops compares the latency of requests through the daemons with that of
// requests sent at the same time directly to an equivalent backend server.
func (r *fleetRun) measureHops(ctx context.Context) error {
	direct := ""
	for _, server := range r.Backends {
		if server.Service == directService {
			direct = "http://" + server.Address
		}
	}
	for _, rate := range hopRates {
		var throughReport, directReport *loadgen.Report
		var errThrough, errDirect error
		var group sync.WaitGroup
		group.Go(func() { throughReport, errThrough = runHopRequests(ctx, hopService, rate, r.Targets()) })
		group.Go(func() { directReport, errDirect = runHopRequests(ctx, directService, rate, []string{direct}) })
		group.Wait()
		if err := errors.Join(errThrough, errDirect); err != nil {
			return err
		}
		add := func(name string, value float64) { r.samples.add("hop."+name, "ms", "calls/s", rate, value) }
		add("direct p50", directReport.Latency.P50)
		add("direct p99", directReport.Latency.P99)
		add("through p50", throughReport.Latency.P50)
		add("through p99", throughReport.Latency.P99)
	}
	return nil
}

func runHopRequests(ctx context.Context, service string, rate float64, targets []string) (*loadgen.Report, error) {
	return loadgen.Run(ctx, loadgen.Options{
		Targets: targets, Kinds: []loadgen.Kind{{Path: "/" + service, Weight: 1}},
		Rate: rate, Duration: loadTime, Seed: 1, Timeout: requestTimeout,
	})
}
