package slot

import (
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/slot/slotpb"
)

const (
	// avoidDuration is how long a holder prefers other servers after a failure.
	avoidDuration = 200 * time.Millisecond
	// overdueFactor is the ratio to the median latency above which a request
	// counts as overdue. Below overdueFloor none does.
	overdueFactor = 4
	overdueFloor  = 10 * time.Millisecond
	// reportInterval is the minimum time between two reports of ok results.
	// Failures, overdue requests and draining go into the next Ask.
	reportInterval = 200 * time.Millisecond
)

func (h *holder) statsOf(server serverID) *serverStats {
	stats := h.stats[server]
	if stats == nil {
		stats = &serverStats{}
		stats.report.Server = uint64(server)
		h.stats[server] = stats
	}
	return stats
}

// recordResult counts a result. It reports whether the lease should be returned,
// because other servers are the better choice for now.
func (h *holder) recordResult(l *lease, result loadbalancer.Result, now time.Time) bool {
	stats := h.statsOf(l.id.server())
	report := &stats.report
	if result.Load != nil && result.Load.Draining {
		report.Draining = true
	}
	switch result.Class {
	case loadbalancer.ClassOK:
		report.Ok++
		report.LatencyUs += uint64(max(result.Latency, 0).Microseconds())
		slow := h.overdue(result.Latency)
		stats.addLatency(result.Latency)
		return report.Draining || slow
	case loadbalancer.ClassFailed:
		report.Failed++
	case loadbalancer.ClassRefused:
		report.Refused++
	case loadbalancer.ClassUnreachable:
		report.Unreachable++
	case loadbalancer.ClassCancelled:
		if !h.overdue(now.Sub(l.stateSince)) {
			return false
		}
		report.Overdue++
	}
	stats.avoidUntil = now.Add(avoidDuration)
	return true
}

func (s *serverStats) addLatency(sample time.Duration) {
	if s.latency == 0 {
		s.latency = sample
		return
	}
	s.latency += time.Duration(latencyWeight * float64(sample-s.latency))
}

// recordOverdue counts an in-flight request that is overdue, once, and recalls
// its lease.
func (h *holder) recordOverdue(l *lease, now time.Time) {
	if l.recalled || !h.overdue(now.Sub(l.stateSince)) {
		return
	}
	stats := h.statsOf(l.id.server())
	stats.report.Overdue++
	stats.avoidUntil = now.Add(avoidDuration)
	l.recalled, h.askDue = true, true
}

// overdue reports whether a latency is far above the median of the group's
// servers.
func (h *holder) overdue(latency time.Duration) bool {
	if latency < overdueFloor {
		return false
	}
	return h.typicalLatency > 0 && latency > overdueFactor*h.typicalLatency
}

// medianServerLatency returns the median of the latencies that this holder
// measured.
func (h *holder) medianServerLatency() time.Duration {
	latencies := make([]time.Duration, 0, len(h.stats))
	for _, stats := range h.stats {
		if stats.latency > 0 {
			latencies = append(latencies, stats.latency)
		}
	}
	return medianLatency(latencies)
}

// takeReports returns and resets the counts that are due for reporting.
func (h *holder) takeReports(now time.Time) []*slotpb.ServerReport {
	all := now.Sub(h.reportedAt) >= reportInterval
	if all {
		h.reportedAt = now
	}
	var reports []*slotpb.ServerReport
	for _, stats := range h.stats {
		r := &stats.report
		bad := r.Failed+r.Refused+r.Unreachable+r.Overdue > 0 || r.Draining
		if !bad && (!all || r.Ok == 0) {
			continue
		}
		reports = append(reports, &slotpb.ServerReport{
			Server: r.Server, Ok: r.Ok, Failed: r.Failed, Refused: r.Refused,
			Unreachable: r.Unreachable, Overdue: r.Overdue, LatencyUs: r.LatencyUs, Draining: r.Draining,
		})
		r.Ok, r.Failed, r.Refused, r.Unreachable, r.Overdue, r.LatencyUs, r.Draining = 0, 0, 0, 0, 0, 0, false
	}
	return reports
}
