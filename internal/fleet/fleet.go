package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/loadgen"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/internal/standin/execlog"
	"github.com/pomelolock/pomelolock/internal/standin/platformd"
	"github.com/pomelolock/pomelolock/storage/memory"
)

const (
	stopTimeout    = 30 * time.Second
	standinTimeout = 5 * time.Second
)

// Platform is the process of the platform stand-in.
type Platform struct {
	*Process
	URL string
}

// Backend is the process of a backend stand-in.
type Backend struct {
	*Process
	Service    string
	Address    string
	DataCentre string
	// AdminURL is the base URL for setting faults and reading counts.
	AdminURL string
	// ExecutionLog is the path of the log of its executions.
	ExecutionLog string

	args []string
}

// Entry is a running daemon, a process of pomelolockd.
type Entry struct {
	*Process
	DataCentre string
	// URL is the base URL for callers and OperatorURL that for operators.
	URL         string
	OperatorURL string
	PeerAddress string
	// SettingsFile is the path of the daemon's settings.
	SettingsFile string
}

// Fleet is a running fleet. Its methods are not safe for concurrent use.
type Fleet struct {
	Platform *Platform
	Backends []*Backend
	Entries  []*Entry

	spec      Spec
	addresses *addresses
}

// StopError names the daemons that had to be killed at a stop or ended with an
// exit code other than 0.
type StopError struct {
	Names []string
}

func (e *StopError) Error() string {
	return fmt.Sprintf("fleet: daemons did not stop cleanly: %v", e.Names)
}

// StartStandins starts the platform and the backend servers. If one fails to start,
// it stops the others and returns the error.
func StartStandins(ctx context.Context, spec Spec) (*Fleet, error) {
	f := &Fleet{spec: spec, addresses: newAddresses()}
	err := f.startPlatform(ctx)
	if err == nil {
		err = f.startBackends(ctx)
	}
	if err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

// Start starts the platform, the backend servers and the daemons without a table;
// see [StartReady].
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	f, err := StartStandins(ctx, spec)
	if err != nil {
		return nil, err
	}
	if err := f.startDaemons(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

// StartReady starts the fleet with its table accepted and waits until every daemon
// is ready.
func StartReady(ctx context.Context, spec Spec) (*Fleet, error) {
	f, err := StartStandins(ctx, spec)
	if err != nil {
		return nil, err
	}
	_, err = f.Accept(ctx, f.Document(), 0)
	if err == nil {
		err = f.startDaemons(ctx)
	}
	if err == nil {
		err = f.WaitReady(ctx)
	}
	if err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	for range f.spec.Entries {
		if _, err := f.StartEntry(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) program(name string) string { return filepath.Join(f.spec.Bin, name) }

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := f.addresses.next()
	if err != nil {
		return err
	}
	process, err := startProcess(f.spec.Dir, "platform", f.program("standin"), "platform", "--listen", address)
	if err != nil {
		return err
	}
	f.Platform = &Platform{Process: process, URL: "http://" + address}
	return process.waitReady(ctx, f.Platform.URL+platformd.PathReady)
}

func (f *Fleet) startBackends(ctx context.Context) error {
	for _, service := range f.spec.Services {
		for i := range service.Servers {
			if err := f.startBackend(service, i); err != nil {
				return err
			}
		}
	}
	for _, server := range f.Backends {
		if err := server.waitReady(ctx, server.AdminURL+backend.PathReady); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startBackend(service Service, i int) error {
	address, err := f.addresses.next()
	if err != nil {
		return err
	}
	admin, err := f.addresses.next()
	if err != nil {
		return err
	}
	faults, err := json.Marshal(service.Faults)
	if err != nil {
		return fmt.Errorf("fleet: encode faults: %w", err)
	}
	distribution := service.Distribution
	if distribution == "" {
		distribution = backend.DistributionExponential
	}
	name := serverName(service.Row.Name, i)
	server := &Backend{
		Service:      service.Row.Name,
		Address:      address,
		DataCentre:   f.spec.dataCentre(i),
		AdminURL:     "http://" + admin,
		ExecutionLog: filepath.Join(f.spec.Dir, name+".executions"),
	}
	server.args = []string{
		"backend", "--listen", address, "--admin", admin, "--name", name,
		"--slots", strconv.Itoa(ServerSlots), "--connections", strconv.Itoa(ServerConnections),
		"--service-time", service.ServiceTime.String(), "--distribution", string(distribution),
		"--seed", strconv.FormatUint(f.spec.Seed+uint64(i), 10),
		"--log", server.ExecutionLog, "--faults", string(faults),
		"--platform", f.Platform.URL, "--region", f.spec.Region, "--data-centre", server.DataCentre,
	}
	if server.Process, err = startProcess(f.spec.Dir, name, f.program("standin"), server.args...); err != nil {
		return err
	}
	f.Backends = append(f.Backends, server)
	return nil
}

// Restart waits until the process of a backend server has ended and starts it again
// at the same address.
func (f *Fleet) Restart(ctx context.Context, server *Backend) error {
	<-server.Done()
	process, err := startProcess(f.spec.Dir, server.Name, f.program("standin"), server.args...)
	if err != nil {
		return err
	}
	server.Process = process
	return process.waitReady(ctx, server.AdminURL+backend.PathReady)
}

// Stop ends every process. It returns a [StopError] if a daemon that was still
// running did not stop cleanly.
func (f *Fleet) Stop() error {
	unclean := f.stopDaemons()
	processes := make([]*Process, 0, len(f.Backends)+1)
	for _, server := range f.Backends {
		processes = append(processes, server.Process)
	}
	if f.Platform != nil {
		processes = append(processes, f.Platform.Process)
	}
	var group sync.WaitGroup
	for _, process := range processes {
		group.Go(func() { process.stop(standinTimeout) })
	}
	group.Wait()
	if len(unclean) > 0 {
		return &StopError{Names: unclean}
	}
	return nil
}

// stopDaemons stops all daemons concurrently and returns the names of those that
// did not stop cleanly.
func (f *Fleet) stopDaemons() []string {
	var (
		mu      sync.Mutex
		unclean []string
		group   sync.WaitGroup
	)
	for _, daemon := range f.Entries {
		select {
		case <-daemon.Done():
			continue
		default:
		}
		group.Go(func() {
			if daemon.stop(stopTimeout+f.spec.BalancerLag) && daemon.ExitCode() == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unclean = append(unclean, daemon.Name)
		})
	}
	group.Wait()
	return unclean
}

// Targets returns the base URLs for callers of all daemons.
func (f *Fleet) Targets() []string {
	targets := make([]string, 0, len(f.Entries))
	for _, daemon := range f.Entries {
		targets = append(targets, daemon.URL)
	}
	return targets
}

// ReadyURLs returns the readiness URLs of all daemons, in the order of Targets.
func (f *Fleet) ReadyURLs() []string {
	urls := make([]string, 0, len(f.Entries))
	for _, daemon := range f.Entries {
		urls = append(urls, daemon.OperatorURL+pathReady)
	}
	return urls
}

// Entry returns the daemon with the given name, or nil.
func (f *Fleet) Entry(name string) *Entry {
	for _, daemon := range f.Entries {
		if daemon.Name == name {
			return daemon
		}
	}
	return nil
}

// Backend returns the backend server with the given name, or nil.
func (f *Fleet) Backend(name string) *Backend {
	for _, server := range f.Backends {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// Judge checks a load report against the backend servers' execution logs and counts.
func (f *Fleet) Judge(ctx context.Context, report *loadgen.Report) (loadgen.Judgement, error) {
	paths := make([]string, 0, len(f.Backends))
	counts := make([]backend.Counts, len(f.Backends))
	for i, server := range f.Backends {
		paths = append(paths, server.ExecutionLog)
		if err := loadgen.GetJSON(ctx, server.AdminURL+backend.PathCounts, &counts[i]); err != nil {
			return loadgen.Judgement{}, err
		}
	}
	entries, err := execlog.Read(paths...)
	if err != nil {
		return loadgen.Judgement{}, err
	}
	return loadgen.Judge(report, entries, counts), nil
}

// ResetCounts zeroes the backend servers' counts and truncates their execution logs.
func (f *Fleet) ResetCounts(ctx context.Context) error {
	for _, server := range f.Backends {
		if err := loadgen.Reset(ctx, server.AdminURL+backend.PathCounts); err != nil {
			return err
		}
		if err := os.Truncate(server.ExecutionLog, 0); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
	}
	return nil
}

// SetFaults replaces the faults that the backend server injects.
func (b *Backend) SetFaults(ctx context.Context, faults backend.Faults) error {
	return loadgen.PutJSON(ctx, b.AdminURL+backend.PathFaults, faults)
}

// SetFaults replaces the faults that the platform injects.
func (p *Platform) SetFaults(ctx context.Context, faults memory.Faults) error {
	return loadgen.PutJSON(ctx, p.URL+platformd.PathFaults, faults)
}
