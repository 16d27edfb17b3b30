package loadgen

import (
	"net/url"

	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/internal/standin/execlog"
)

// Judgement is the result of comparing a report with the execution logs and
// counts of the backend stand-ins.
type Judgement struct {
	// Executions is the number of executions that started.
	Executions int `json:"executions"`
	// RepeatedKeys is the number of idempotency keys that ran more than once.
	RepeatedKeys int `json:"repeated_keys"`
	// RanButToldNotRun is the number of calls that ran although every response
	// said that they were not run.
	RanButToldNotRun int `json:"ran_but_told_not_run"`
	// WholeButNotRun is the number of calls with a complete response that no
	// server ran.
	WholeButNotRun int `json:"whole_but_not_run"`
	// OverLimit is the number of attempts that found every slot of a server in
	// use.
	OverLimit uint64 `json:"over_limit"`
	// RefusedDraining is the number of attempts refused by servers that had
	// been draining for longer than they accept new work.
	RefusedDraining uint64 `json:"refused_draining"`
	// MaxConnections is the maximum number of connections open at one server.
	MaxConnections int `json:"max_connections"`
	// ConnectionsOpened is the number of connections opened to all servers.
	ConnectionsOpened uint64 `json:"connections_opened"`
	// Probes is the number of requests for health checks and load reports.
	Probes uint64 `json:"probes"`
}

// Clean reports whether no key ran twice and every outcome reported to a caller
// agrees with the executions.
func (j Judgement) Clean() bool {
	return j.RepeatedKeys == 0 && j.RanButToldNotRun == 0 && j.WholeButNotRun == 0
}

// Judge compares the responses that callers received with the executions and
// adds up the counts. Executions of calls that are not in the report count
// towards Executions and RepeatedKeys only.
func Judge(report *Report, entries []execlog.Entry, counts []backend.Counts) Judgement {
	runs := runsPerCall(entries)
	j := Judgement{RepeatedKeys: execlog.RepeatedKeys(entries)}
	for _, n := range runs {
		j.Executions += n
	}
	for id, responses := range report.Calls {
		if responses.NotRun == responses.Sent && runs[id] > 0 {
			j.RanButToldNotRun++
		}
		if responses.Complete > 0 && runs[id] == 0 {
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
			runs[callID(entry)]++
		}
	}
	return runs
}

func callID(entry execlog.Entry) string {
	target, err := url.ParseRequestURI(entry.Path)
	if err != nil {
		return ""
	}
	return target.Query().Get(backend.ParamCall)
}
