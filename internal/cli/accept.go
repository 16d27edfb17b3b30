package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// waitPause is the pause between two rounds of a wait.
	waitPause = 250 * time.Millisecond
	// acceptRounds is how often all instances are tried.
	acceptRounds = 3
)

type tableAcceptCmd struct {
	Path       string        `arg:"" help:"JSON file or directory of CSV files."`
	Message    string        `short:"m" help:"Why the table changes; kept in the history."`
	Author     string        `help:"Name for the history; the user's name if omitted. A certificate's name comes first."`
	Yes        bool          `short:"y" help:"Accept without asking."`
	Wait       time.Duration `placeholder:"DURATION" help:"Wait until the table is in force on all live instances."`
	Acceptance string        `placeholder:"ID" help:"Settle an acceptance whose outcome is unknown."`
}

// acceptOutput tells what was accepted and where it is in force.
type acceptOutput struct {
	Version      uint64         `json:"version"`
	AcceptanceID string         `json:"acceptance_id"`
	Changes      []table.Change `json:"changes"`
	// InForce lists the instances that a wait saw it in force on.
	InForce []string `json:"in_force,omitempty"`
}

func (c *tableAcceptCmd) Run(a *app) error {
	doc, err := readTable(c.Path)
	if err != nil {
		return err
	}
	changes, err := c.showChanges(a, doc)
	if err != nil {
		return err
	}
	if !c.Yes && !a.confirm() {
		return &declinedError{}
	}
	request, err := c.request(doc)
	if err != nil {
		return err
	}
	members, err := a.members()
	if err != nil {
		return err
	}
	answer, err := a.send(members, request)
	if err != nil {
		return err
	}
	out := acceptOutput{Version: answer.Version, AcceptanceID: answer.AcceptanceID, Changes: changes}
	if c.Wait > 0 {
		if out.InForce, err = a.wait(answer.Version, c.Wait); err != nil {
			return err
		}
	}
	return a.print(out, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "accepted version %d\n", out.Version)
		return err
	})
}

// showChanges prints what the table changes in the accepted one.
func (c *tableAcceptCmd) showChanges(a *app, doc table.Document) ([]table.Change, error) {
	present, err := a.accepted(0)
	if err != nil {
		return nil, err
	}
	changes := table.Diff(present, doc)
	if !a.JSON {
		fmt.Fprintf(a.Out, "changes to version %d:\n", present.Version)
		printChanges(a.Out, changes)
	}
	return changes, nil
}

func (a *app) confirm() bool {
	fmt.Fprint(a.Err, "accept? [y/N] ")
	line, _ := bufio.NewReader(a.In).ReadString('\n')
	line = strings.ToLower(strings.TrimSpace(line))
	return line == "y" || line == "yes"
}

func (c *tableAcceptCmd) request(doc table.Document) (operator.AcceptRequest, error) {
	data, err := table.Encode(doc)
	if err != nil {
		return operator.AcceptRequest{}, err
	}
	request := operator.AcceptRequest{
		AcceptanceID: c.Acceptance,
		Base:         doc.Version,
		Author:       c.Author,
		Message:      c.Message,
		Document:     data,
	}
	if request.AcceptanceID == "" {
		request.AcceptanceID = table.NewAcceptanceID()
	}
	if request.Author == "" {
		if current, err := user.Current(); err == nil {
			request.Author = current.Username
		}
	}
	return request, nil
}

// send asks one instance after the other until one settles the acceptance. The
// acceptance ID makes repeating the request safe.
func (a *app) send(members []member, request operator.AcceptRequest) (operator.AcceptResponse, error) {
	members = slices.DeleteFunc(members, func(m member) bool {
		return m.instance.State != storage.StateLive || m.instance.OperatorAddress == ""
	})
	if len(members) == 0 {
		return operator.AcceptResponse{}, &noInstanceError{}
	}
	var open bool
	var last error
	for range acceptRounds {
		for _, m := range members {
			answer, err := m.client.Accept(a.ctx, request)
			if err == nil || settled(err) && !open {
				return answer, err
			}
			if settled(err) {
				return answer, a.afterUnknown(request, err)
			}
			open = open || mayHaveRun(err)
			last = err
			fmt.Fprintf(a.Err, "%s: %v\n", m.name(), err)
		}
	}
	if open {
		return operator.AcceptResponse{}, &unknownError{acceptanceID: request.AcceptanceID, err: last}
	}
	return operator.AcceptResponse{}, last
}

// settled reports whether the answer is final.
func settled(err error) bool {
	return operator.HasCode(err, operator.CodeInvalid) ||
		operator.HasCode(err, operator.CodeConflict) ||
		operator.HasCode(err, operator.CodeUnauthorized)
}

// afterUnknown judges a final answer after an earlier one was lost. A conflict
// proves that the acceptance had no effect; a refusal proves nothing.
func (a *app) afterUnknown(request operator.AcceptRequest, err error) error {
	if operator.HasCode(err, operator.CodeConflict) {
		return err
	}
	return &unknownError{acceptanceID: request.AcceptanceID, err: err}
}

// mayHaveRun reports whether the table may have been accepted all the same.
func mayHaveRun(err error) bool {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return false
	}
	return !operator.HasCode(err, operator.CodeUnavailable)
}

// wait returns when the version is in force on all live instances, or fails
// with [notInForceError] after the limit.
func (a *app) wait(version uint64, limit time.Duration) ([]string, error) {
	ctx, cancel := context.WithTimeout(a.ctx, limit)
	defer cancel()
	start := time.Now()
	inForce := make(map[string]bool)
	for {
		var behind []string
		members, err := a.members()
		if err == nil {
			behind = a.progress(members, version, inForce, start)
			if len(behind) == 0 {
				return sortedKeys(inForce), nil
			}
		}
		select {
		case <-time.After(waitPause):
		case <-ctx.Done():
			if err != nil {
				return nil, err
			}
			return nil, &notInForceError{version: version, ids: behind}
		}
	}
}

// progress prints the instances on which the version came in force and returns
// the live ones on which it is not.
func (a *app) progress(members []member, version uint64, inForce map[string]bool, start time.Time) []string {
	var behind []string
	for _, state := range a.states(members) {
		id := state.Instance.ID
		switch {
		case state.Instance.State != storage.StateLive:
		case state.TableVersion < version:
			behind = append(behind, id)
		case !inForce[id]:
			inForce[id] = true
			fmt.Fprintf(a.Err, "%s: in force after %v\n", id, time.Since(start).Round(time.Millisecond))
		}
	}
	return behind
}

func sortedKeys(set map[string]bool) []string {
	var keys []string
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
