package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pomelolock/pomelolock/operator"
)

// instanceState is a listed instance and what it tells about itself.
type instanceState struct {
	operator.Status
	// Unreachable tells why the instance did not answer; "" if it did.
	Unreachable string `json:"unreachable,omitempty"`
}

func (s instanceState) note() string {
	switch {
	case s.Unreachable != "":
		return "unreachable: " + s.Unreachable
	case s.Leaving:
		return "leaving"
	case s.NotReady != "":
		return "not ready: " + s.NotReady
	}
	return "ready"
}

// states asks all members for their state, in the order of members.
func (a *app) states(members []member) []instanceState {
	states := make([]instanceState, len(members))
	askAll(members, func(i int, m member) {
		status, err := m.client.Status(a.ctx)
		if err != nil {
			status.Instance = m.instance
			status.Instance.ID = m.name()
			states[i] = instanceState{Status: status, Unreachable: err.Error()}
			return
		}
		if m.instance.State != "" && m.instance.ID != "" {
			status.Instance.State = m.instance.State
		}
		states[i] = instanceState{Status: status}
	})
	return states
}

type instancesCmd struct{}

func (c *instancesCmd) Run(a *app) error {
	members, err := a.members()
	if err != nil {
		return err
	}
	states := a.states(members)
	return a.print(states, func(w io.Writer) error {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "INSTANCE\tDATA CENTRE\tLISTED\tOPERATOR\tTABLE\tIN FLIGHT\tBUILD\tNOTE")
		for _, s := range states {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", s.Instance.ID, s.Instance.DataCentre, s.Instance.State,
				s.Instance.OperatorAddress, s.TableVersion, s.InFlight, s.Build, s.note())
		}
		return tw.Flush()
	})
}

type backendsCmd struct {
	Service string `help:"Show one service only."`
}

// backendState is a backend server over all instances.
type backendState struct {
	Service    string `json:"service"`
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	// Held and InFlight are sums over the instances that answered.
	Held     int `json:"held"`
	InFlight int `json:"in_flight"`
	// LatencyMS and ErrorShare are the highest that an instance sees.
	LatencyMS  float64  `json:"latency_ms"`
	ErrorShare float64  `json:"error_share"`
	States     []string `json:"states"`
	Instances  int      `json:"instances"`
}

// backendsOutput also tells which instances are not in the sums.
type backendsOutput struct {
	Backends    []*backendState `json:"backends"`
	Unreachable []string        `json:"unreachable"`
}

func (c *backendsCmd) Run(a *app) error {
	members, err := a.members()
	if err != nil {
		return err
	}
	answers := make([]operator.Backends, len(members))
	errs := make([]error, len(members))
	askAll(members, func(i int, m member) { answers[i], errs[i] = m.client.Backends(a.ctx) })
	out := backendsOutput{Backends: []*backendState{}, Unreachable: []string{}}
	for i, err := range errs {
		if err != nil {
			out.Unreachable = append(out.Unreachable, members[i].name())
		}
	}
	if len(members) > 0 && len(out.Unreachable) == len(members) {
		return errs[0]
	}
	out.Backends = c.merge(answers)
	return a.print(out, out.writeText)
}

// merge adds up what the instances see of each backend server.
func (c *backendsCmd) merge(answers []operator.Backends) []*backendState {
	byName := make(map[string]*backendState)
	merged := []*backendState{}
	for _, answer := range answers {
		for _, b := range answer.Backends {
			if c.Service != "" && b.Service != c.Service {
				continue
			}
			state := byName[b.Name]
			if state == nil {
				state = &backendState{Service: b.Service, Name: b.Name, DataCentre: b.DataCentre}
				byName[b.Name] = state
				merged = append(merged, state)
			}
			state.add(b)
		}
	}
	slices.SortFunc(merged, func(x, y *backendState) int {
		return strings.Compare(x.Service+" "+x.Name, y.Service+" "+y.Name)
	})
	return merged
}

func (s *backendState) add(b operator.Backend) {
	s.Slots = max(s.Slots, b.Slots)
	s.Held += b.Held
	s.InFlight += b.InFlight
	s.LatencyMS = max(s.LatencyMS, b.LatencyMS)
	s.ErrorShare = max(s.ErrorShare, b.ErrorShare)
	s.Instances++
	if !slices.Contains(s.States, b.State) {
		s.States = append(s.States, b.State)
		slices.Sort(s.States)
	}
}

func (o backendsOutput) writeText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVICE\tBACKEND SERVER\tDATA CENTRE\tSLOTS\tHELD\tIN FLIGHT\tLATENCY MS\tERRORS %\tSTATE")
	for _, b := range o.Backends {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%s\n", b.Service, b.Name, b.DataCentre,
			b.Slots, b.Held, b.InFlight, b.LatencyMS, 100*b.ErrorShare, strings.Join(b.States, ","))
	}
	for _, id := range o.Unreachable {
		fmt.Fprintf(tw, "not in the sums, since unreachable: %s\n", id)
	}
	return tw.Flush()
}
