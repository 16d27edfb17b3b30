package loadgen

import (
	"net/url"

	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/internal/standin/execlog"
)

// Judgement is what the backend stand-ins' logs and counts say about a run.
type Judgement struct {
	// Executions is the number of executions that started.
	Executions int `json:"executions"`
	// RepeatedKeys are idempotency keys that ran more than once.
	RepeatedKeys int `json:"repeated_keys"`
	// RanButToldNotRun are calls that ran although every answer said that
	// they were not run.
	RanButToldNotRun int `json:"ran_but_told_not_run"`
	// WholeButNotRun are calls answered whole that no server ran.
	WholeButNotRun int `json:"whole_but_not_run"`
	// OverLimit are attempts that found every slot of a server in use.
	OverLimit uint64 `json:"over_limit"`
	// RefusedDraining are attempts at servers that had been draining for
	// longer than they accept new work.
	RefusedDraining uint64 `json:"refused_draining"`
	// MaxConnections is the most connections that one server had open.
	MaxConnections int `json:"max_connections"`
	// ConnectionsOpened is the number of connections of all servers.
	ConnectionsOpened uint64 `json:"connections_opened"`
	// Probes are the requests for health and load reports.
	Probes uint64 `json:"probes"`
}

// Clean reports whether every promise about repeats and outcomes held.
func (j Judgement) Clean() bool {
	return j.RepeatedKeys == 0 && j.RanButToldNotRun == 0 && j.WholeButNotRun == 0
}

// Judge compares what callers were told with the executions and counts.
// Executions of calls outside the report are counted, but not compared.
func Judge(report *Report, entries []execlog.Entry, counts []backend.Counts) Judgement {
	runs := runsPerCall(entries)
	j := Judgement{RepeatedKeys: execlog.RepeatedKeys(entries)}
	for _, n := range runs {
		j.Executions += n
	}
	for mark, told := range report.Calls {
		if told.NotRun == told.Sent && runs[mark] > 0 {
			j.RanButToldNotRun++
		}
		if told.Whole > 0 && runs[mark] == 0 {
			j.WholeButNotRun++
		}
	}
	for _, c := range counts {
		j.OverLimit += c.OverLimit
		j.RefusedDraining += c.RefusedDraining
		j.MaxConnections = max(j.MaxConnections, c.MaxConnections)
		j.ConnectionsOpened += c.ConnectionsOpened
		j.Probes += c.Probes
	}
	return j
}

func runsPerCall(entries []execlog.Entry) map[string]int {
	runs := make(map[string]int)
	for _, entry := range entries {
		if entry.Event == execlog.EventStart {
			runs[markOf(entry)]++
		}
	}
	return runs
}

func markOf(entry execlog.Entry) string {
	target, err := url.ParseRequestURI(entry.Path)
	if err != nil {
		return ""
	}
	return target.Query().Get(backend.ParamCall)
}
