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

// backendsOutput also tells which instances, and with them the servers whose
// slots they lease, are not in the list.
type backendsOutput struct {
	Backends    []operator.Backend `json:"backends"`
	Unreachable []string           `json:"unreachable"`
}

func (c *backendsCmd) Run(a *app) error {
	members, err := a.members()
	if err != nil {
		return err
	}
	answers := make([]operator.Backends, len(members))
	errs := make([]error, len(members))
	askAll(members, func(i int, m member) { answers[i], errs[i] = m.client.Backends(a.ctx) })
	out := backendsOutput{Unreachable: []string{}}
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

// merge lists what the instances told, sorted by service and name.
func (c *backendsCmd) merge(answers []operator.Backends) []operator.Backend {
	merged := []operator.Backend{}
	for _, answer := range answers {
		for _, b := range answer.Backends {
			if c.Service == "" || b.Service == c.Service {
				merged = append(merged, b)
			}
		}
	}
	slices.SortFunc(merged, func(x, y operator.Backend) int {
		return strings.Compare(x.Service+" "+x.Name, y.Service+" "+y.Name)
	})
	return merged
}

func (o backendsOutput) writeText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVICE\tBACKEND SERVER\tDATA CENTRE\tSLOTS\tLEASED\tWINDOW\tLATENCY MS\tSTATE")
	for _, b := range o.Backends {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%.1f\t%.1f\t%s\n", b.Service, b.Name, b.DataCentre,
			b.Slots, b.Leased, b.Window, b.LatencyMS, b.State)
	}
	for _, id := range o.Unreachable {
		fmt.Fprintf(tw, "unreachable: %s; servers whose slots it leases are not listed\n", id)
	}
	return tw.Flush()
}
