package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pomelolock/pomelolock/operator"
)

// instanceState is a listed instance with the status that it reports.
type instanceState struct {
	operator.Status
	// Unreachable is the error of the status request, or "" if it succeeded.
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

// states requests the status of all members and returns it in their order.
func (a *app) states(members []member) []instanceState {
	states := make([]instanceState, len(members))
	forEachMember(members, func(i int, m member) {
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

// backendsOutput lists the backend servers. Servers whose slot coordinators run on
// an unreachable instance are missing from Backends.
type backendsOutput struct {
	Backends    []operator.Backend `json:"backends"`
	Unreachable []string           `json:"unreachable"`
}

func (c *backendsCmd) Run(a *app) error {
	members, err := a.members()
	if err != nil {
		return err
	}
	responses := make([]operator.Backends, len(members))
	errs := make([]error, len(members))
	forEachMember(members, func(i int, m member) { responses[i], errs[i] = m.client.Backends(a.ctx) })
	out := backendsOutput{Unreachable: []string{}}
	for i, err := range errs {
		if err != nil {
			out.Unreachable = append(out.Unreachable, members[i].name())
		}
	}
	if len(members) > 0 && len(out.Unreachable) == len(members) {
		return errs[0]
	}
	out.Backends = c.merge(responses)
	return a.print(out, out.writeText)
}

// merge joins the instances' reports, keeps those of c.Service if it is set, and
// sorts them by service and name.
func (c *backendsCmd) merge(responses []operator.Backends) []operator.Backend {
	merged := []operator.Backend{}
	for _, response := range responses {
		for _, b := range response.Backends {
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
