package slopes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/fleet"
)

const (
	metricRequests    = "pomelolock_requests_total"
	metricSent        = "pomelolock_peer_sent_bytes_total"
	metricReceived    = "pomelolock_peer_received_bytes_total"
	metricMessages    = "pomelolock_slot_messages_total"
	metricSlotBytes   = "pomelolock_slot_message_bytes_total"
	metricTakeovers   = "pomelolock_slot_takeovers_total"
	metricStoreWrites = "pomelolock_slot_store_writes_total"
	metricVersion     = "pomelolock_table_version"

	// clockTicks is the number of ticks per second in /proc/PID/stat.
	clockTicks = 100
)

// usage is the resource usage summed over the daemons of a fleet, but for
// maxBytes, which is the peer traffic of the busiest daemon. Times are in seconds.
type usage struct {
	requests, bytes, maxBytes, messages, slotBytes, mallocs float64
	// cpu is the CPU time of the processes, and controlCPU the part that CPU
	// profiles attribute to [fleet.ControlPackages]. resident is in bytes.
	cpu, controlCPU, resident float64
	// storeWrites and takeovers are totals since the daemons started.
	storeWrites, takeovers float64
}

// counters holds what was read from one daemon at one moment.
type counters struct {
	metrics                map[string]float64
	mallocs, cpu, resident float64
	err                    error
}

// measureUsage returns the usage of the daemons while work runs. Each daemon's CPU
// profile lasts loadTime, whatever the duration of work.
func (r *fleetRun) measureUsage(ctx context.Context, work func() error) (usage, error) {
	before := make([]counters, len(r.Entries))
	profiles := make([]fleet.CPUTime, len(r.Entries))
	errs := make([]error, len(r.Entries)+1)
	for i, entry := range r.Entries {
		before[i] = readCounters(ctx, entry)
	}
	var group sync.WaitGroup
	for i, entry := range r.Entries {
		group.Go(func() { profiles[i], errs[i] = entry.Profile(ctx, int(loadTime.Seconds()), fleet.ControlPackages) })
	}
	errs[len(r.Entries)] = work()
	group.Wait()
	var sum usage
	for i, entry := range r.Entries {
		after := readCounters(ctx, entry)
		errs = append(errs, before[i].err, after.err)
		sum.add(before[i], after)
		sum.controlCPU += profiles[i].Matched.Seconds()
	}
	return sum, errors.Join(errs...)
}

// add adds the usage of one daemon between two readings.
func (u *usage) add(before, after counters) {
	increase := func(name string) float64 { return after.metrics[name] - before.metrics[name] }
	bytes := increase(metricSent) + increase(metricReceived)
	u.requests += increase(metricRequests)
	u.bytes += bytes
	u.maxBytes = max(u.maxBytes, bytes)
	u.messages += increase(metricMessages)
	u.slotBytes += increase(metricSlotBytes)
	u.mallocs += after.mallocs - before.mallocs
	u.cpu += after.cpu - before.cpu
	u.resident += after.resident
	u.storeWrites += after.metrics[metricStoreWrites]
	u.takeovers += after.metrics[metricTakeovers]
}

func readCounters(ctx context.Context, entry *fleet.Entry) counters {
	var r counters
	if r.metrics, r.err = entry.Metrics(ctx); r.err != nil {
		return r
	}
	mallocs, err := entry.Mallocs(ctx)
	if err != nil {
		r.err = err
		return r
	}
	resident, err := entry.ResidentBytes()
	r.mallocs, r.resident = float64(mallocs), float64(resident)
	if r.err = err; err == nil {
		r.cpu, r.err = processTime(entry.PID())
	}
	return r
}

// processTime returns the user and system CPU time of a process in seconds. It
// requires the proc file system.
func processTime(pid int) (float64, error) {
	const afterName, user, system = ") ", 11, 12
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), afterName)
	fields := strings.Fields(rest)
	if len(fields) <= system {
		return 0, fmt.Errorf("read CPU time of process %d: %w", pid, io.ErrUnexpectedEOF)
	}
	ticks := 0.0
	for _, field := range fields[user : system+1] {
		n, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, fmt.Errorf("read CPU time: %w", err)
		}
		ticks += n
	}
	return ticks / clockTicks, nil
}

// measureConnections measures the memory of one daemon that holds idle caller
// connections, each of which has sent one request.
func (r *fleetRun) measureConnections() error {
	entry := r.Entries[0]
	address := strings.TrimPrefix(entry.URL, "http://")
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	for _, size := range connectionCounts {
		for len(open) < size {
			conn, err := openIdleConnection(address)
			if err != nil {
				return err
			}
			open = append(open, conn)
		}
		time.Sleep(settleTime)
		resident, err := entry.ResidentBytes()
		if err != nil {
			return err
		}
		r.samples.add("daemon.memory with connections", "B", "connections", float64(size), float64(resident))
	}
	return nil
}

// openIdleConnection opens a connection, completes one request on it and leaves
// it open.
func openIdleConnection(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if _, err := fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: slopes\r\n\r\n", hopService); err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return conn, errors.Join(err, resp.Body.Close())
}
