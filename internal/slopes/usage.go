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

	// clockTicks is the unit of the kernel's processor times, 1/s.
	clockTicks = 100
)

// usage is what the daemons of a fleet used together. Times are in seconds.
type usage struct {
	requests, bytes, mostBytes, messages, slotBytes, mallocs float64
	// cpu is that of the processes, control the part that the profile
	// finds in packages of control.
	cpu, control, resident float64
	// storeWrites and takeovers count from the start.
	storeWrites, takeovers float64
}

// reading holds the counters of one daemon.
type reading struct {
	metrics                map[string]float64
	mallocs, cpu, resident float64
	err                    error
}

// use reads the daemons before and after work and profiles them meanwhile.
func (r *fleetRun) use(ctx context.Context, work func() error) (usage, error) {
	before := make([]reading, len(r.Entries))
	profiles := make([]fleet.CPUTime, len(r.Entries))
	errs := make([]error, len(r.Entries)+1)
	for i, entry := range r.Entries {
		before[i] = read(ctx, entry)
	}
	var group sync.WaitGroup
	for i, entry := range r.Entries {
		group.Go(func() { profiles[i], errs[i] = entry.Profile(ctx, int(loadTime.Seconds()), fleet.ControlPackages) })
	}
	errs[len(r.Entries)] = work()
	group.Wait()
	var sum usage
	for i, entry := range r.Entries {
		after := read(ctx, entry)
		errs = append(errs, before[i].err, after.err)
		sum.add(before[i], after)
		sum.control += profiles[i].Matched.Seconds()
	}
	return sum, errors.Join(errs...)
}

func (u *usage) add(before, after reading) {
	grown := func(name string) float64 { return after.metrics[name] - before.metrics[name] }
	bytes := grown(metricSent) + grown(metricReceived)
	u.requests += grown(metricRequests)
	u.bytes += bytes
	u.mostBytes = max(u.mostBytes, bytes)
	u.messages += grown(metricMessages)
	u.slotBytes += grown(metricSlotBytes)
	u.mallocs += after.mallocs - before.mallocs
	u.cpu += after.cpu - before.cpu
	u.resident += after.resident
	u.storeWrites += after.metrics[metricStoreWrites]
	u.takeovers += after.metrics[metricTakeovers]
}

func read(ctx context.Context, entry *fleet.Entry) reading {
	var r reading
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

// processTime returns the processor time of a process in seconds. It needs the
// proc file system.
func processTime(pid int) (float64, error) {
	const afterName, user, system = ") ", 11, 12
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), afterName)
	fields := strings.Fields(rest)
	if len(fields) <= system {
		return 0, fmt.Errorf("processor time of %d: %w", pid, io.ErrUnexpectedEOF)
	}
	ticks := 0.0
	for _, field := range fields[user : system+1] {
		n, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		ticks += n
	}
	return ticks / clockTicks, nil
}

// connections measures the memory of one daemon with idle connections of
// callers that each made one call.
func (r *fleetRun) connections() error {
	entry := r.Entries[0]
	address := strings.TrimPrefix(entry.URL, "http://")
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	for _, size := range connections {
		for len(open) < size {
			conn, err := callOnce(address)
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

// callOnce opens a connection, makes one call and leaves it open.
func callOnce(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if _, err := fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: slopes\r\n\r\n", hopService); err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return conn, errors.Join(err, resp.Body.Close())
}
