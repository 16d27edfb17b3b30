package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 100 * time.Millisecond

// daemon runs pomelolockd on its own loopback address and restarts it when it ends.
type daemon struct {
	t        *testing.T
	binary   string
	settings string
	caller   string
	ready    string
	// env holds further environment variables of the process.
	env   []string
	store *link

	mu  sync.Mutex
	cmd *exec.Cmd
	// paused is set while the process is suspended.
	paused bool
	// endings are the ends of processes that were told to end; told is set if the one that runs
	// was.
	endings []ending
	told    bool
	done    chan struct{}
	// ends counts how often the process has ended.
	ends atomic.Int64
	// faults holds how processes ended that were not told to.
	faults []string
}

// ending is the time from the signal that tells a process to end to its end. It is killed if it got
// SIGKILL at any time.
type ending struct {
	span
	killed bool
}

// String implements [fmt.Stringer].
func (e ending) String() string {
	return fmt.Sprintf("told at %s, ended at %s, killed=%t", e.from.Format(time.StampMilli), e.to.Format(time.StampMilli), e.killed)
}

const settingsFormat = `
node_name = "entry-%[1]d"
ip = "%[2]s"
zone = "a"
internal_ports = [%[3]d,%[3]d]
bootstrap = false
bounds = ["retry_ratio=0.2","retry_burst=62","grace=6s","probes_per_s=60","quota_window=5s","quota_excess=0.1","quota_slack=20"]
[listen]
front = "%[2]s:%[4]d"
ready = "%[2]s:%[5]d"
[limits]
memory_mb = %[7]d
cpu_share = 0.32
cores = 1
link_mbps = 1000.0
[platform]
addr = "%[6]s"
`

// freePorts returns different ports of ip that are free for both TCP and UDP.
func freePorts(t *testing.T, ip string, count int) (ports []int) {
	t.Helper()
	for len(ports) < count {
		tcp, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		// The port stays in use until the others are found.
		defer tcp.Close()
		port := tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			_ = udp.Close()
			ports = append(ports, port)
		}
	}
	return ports
}

// newDaemon writes the settings of a daemon. The address depends on the process ID of
// the test, so that concurrent runs don't collide on the fixed port of the metrics.
func newDaemon(t *testing.T, binary string, n int, s *store, memoryMB int) *daemon {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 2+n)
	l, err := newLink("127.0.0.1", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ports := freePorts(t, ip, 3)
	front, ready, peer := ports[0], ports[1], ports[2]
	d := &daemon{
		t: t, binary: binary, store: l, settings: filepath.Join(t.TempDir(), "boot.toml"),
		caller: fmt.Sprintf("%s:%d", ip, front), ready: fmt.Sprintf("%s:%d", ip, ready),
	}
	text := fmt.Sprintf(settingsFormat, n, ip, peer, front, ready, l.address(), memoryMB)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return d
}

// start starts the process, and starts it again whenever it ends until kill is
// called. It returns after the first start.
func (d *daemon) start(log *os.File) {
	d.done = make(chan struct{})
	started := make(chan struct{})
	go func() {
		defer close(d.done)
		for first := true; ; first = false {
			cmd := exec.Command(d.binary, "--platform")
			cmd.Env = append(d.env, "POMELOLOCK_CONFIG="+d.settings)
			cmd.Stdout, cmd.Stderr = log, log
			d.mu.Lock()
			stopped := d.binary == ""
			if !stopped {
				if err := cmd.Start(); err != nil {
					d.t.Errorf("start daemon: %v", err)
					stopped = true
				}
				d.cmd, d.paused, d.told = cmd, false, false
			}
			d.mu.Unlock()
			if first {
				close(started)
			}
			if stopped {
				return
			}
			_ = cmd.Wait()
			d.ends.Add(1)
			d.mu.Lock()
			if d.told && len(d.endings) > 0 {
				d.endings[len(d.endings)-1].to = time.Now()
			}
			// A process that gets SIGHUP before it has installed its handler is ended by it.
			if status := cmd.ProcessState.Sys().(syscall.WaitStatus); !d.told && (!status.Signaled() || status.Signal() != syscall.SIGHUP) {
				d.faults = append(d.faults, cmd.ProcessState.String())
			}
			d.mu.Unlock()
			time.Sleep(restartDelay)
		}
	}()
	<-started
}

func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch sig {
	case syscall.SIGSTOP:
		d.paused = true
	case syscall.SIGCONT:
		d.paused = false
	case syscall.SIGTERM, syscall.SIGKILL:
		if !d.told {
			d.told, d.endings = true, append(d.endings, ending{span: span{from: time.Now()}})
		}
		d.endings[len(d.endings)-1].killed = d.endings[len(d.endings)-1].killed || sig == syscall.SIGKILL
	}
	// An error means that the process has already ended.
	_ = d.cmd.Process.Signal(sig)
}

// endingsIn returns the endings of processes that ran between the given times.
func (d *daemon) endingsIn(from, to time.Time) (endings []ending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endings {
		if e.from.Before(to) && (e.to.IsZero() || e.to.After(from)) {
			endings = append(endings, e)
		}
	}
	return endings
}

// kill kills the process and prevents its restart.
func (d *daemon) kill() {
	d.mu.Lock()
	d.binary, d.told = "", true
	_ = d.cmd.Process.Kill()
	d.mu.Unlock()
	<-d.done
	d.store.close()
}

// A daemon with the same port for two purposes can't start.
func TestFreePortsDiffer(t *testing.T) {
	for range 10_000 {
		if ports := freePorts(t, "127.0.0.1", 3); ports[0] == ports[1] || ports[0] == ports[2] || ports[1] == ports[2] {
			t.Fatalf("ports %v", ports)
		}
	}
}
