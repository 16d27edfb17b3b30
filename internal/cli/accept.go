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
	// waitPollInterval is the time between two polls of the instances with --wait.
	waitPollInterval = 250 * time.Millisecond
	// acceptRounds is the maximum number of attempts at each instance.
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

// acceptOutput is the result of an acceptance.
type acceptOutput struct {
	Version      uint64         `json:"version"`
	AcceptanceID string         `json:"acceptance_id"`
	Changes      []table.Change `json:"changes"`
	// InForce lists the instances on which the version was active by the end of
	// a wait.
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
	response, err := a.send(members, request)
	if err != nil {
		return err
	}
	out := acceptOutput{Version: response.Version, AcceptanceID: response.AcceptanceID, Changes: changes}
	if c.Wait > 0 {
		if out.InForce, err = a.wait(response.Version, c.Wait); err != nil {
			return err
		}
	}
	return a.print(out, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "accepted version %d\n", out.Version)
		return err
	})
}

// showChanges returns the differences between the accepted table and doc, and
// prints them unless the output is JSON.
func (c *tableAcceptCmd) showChanges(a *app, doc table.Document) ([]table.Change, error) {
	current, err := a.loadTable(0)
	if err != nil {
		return nil, err
	}
	changes := table.Diff(current, doc)
	if !a.JSON {
		fmt.Fprintf(a.Out, "changes to version %d:\n", current.Version)
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

// send tries one live instance after the other until one gives a final response.
// Repeating the request is safe because of its acceptance ID.
//
// It returns an [unknownOutcomeError] if an attempt without a response may have
// accepted the table and no later attempt has shown whether it did.
func (a *app) send(members []member, request operator.AcceptRequest) (operator.AcceptResponse, error) {
	members = slices.DeleteFunc(members, func(m member) bool {
		return m.instance.State != storage.StateLive || m.instance.OperatorAddress == ""
	})
	if len(members) == 0 {
		return operator.AcceptResponse{}, &noInstanceError{}
	}
	var outcomeUnknown bool
	var lastErr error
	for range acceptRounds {
		for _, m := range members {
			response, err := m.client.Accept(a.ctx, request)
			if err == nil || isFinal(err) && !outcomeUnknown {
				return response, err
			}
			if isFinal(err) {
				return response, a.errorAfterUnknown(request, err)
			}
			outcomeUnknown = outcomeUnknown || mayHaveTakenEffect(err)
			lastErr = err
			fmt.Fprintf(a.Err, "%s: %v\n", m.name(), err)
		}
	}
	if outcomeUnknown {
		return operator.AcceptResponse{}, &unknownOutcomeError{acceptanceID: request.AcceptanceID, err: lastErr}
	}
	return operator.AcceptResponse{}, lastErr
}

// isFinal reports whether err is a response after which no other instance is
// tried.
func isFinal(err error) bool {
	return operator.HasCode(err, operator.CodeInvalid) ||
		operator.HasCode(err, operator.CodeConflict) ||
		operator.HasCode(err, operator.CodeUnauthorized)
}

// errorAfterUnknown returns the error to report for a final error that follows
// an attempt of unknown outcome. A conflict proves that the acceptance had no
// effect; any other refusal leaves the outcome unknown.
func (a *app) errorAfterUnknown(request operator.AcceptRequest, err error) error {
	if operator.HasCode(err, operator.CodeConflict) {
		return err
	}
	return &unknownOutcomeError{acceptanceID: request.AcceptanceID, err: err}
}

// mayHaveTakenEffect reports whether the table may have been accepted although
// the request failed. It can't have been if no connection was made or the
// instance responded with [operator.CodeUnavailable].
func mayHaveTakenEffect(err error) bool {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return false
	}
	return !operator.HasCode(err, operator.CodeUnavailable)
}

// wait polls the instances until the version, or a later one, is active on all
// live ones, and returns their IDs. After the timeout it fails with a
// [notInForceError], or with the error of listing the instances if the last poll
// had one.
func (a *app) wait(version uint64, timeout time.Duration) ([]string, error) {
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	start := time.Now()
	inForce := make(map[string]bool)
	for {
		var pending []string
		members, err := a.members()
		if err == nil {
			pending = a.progress(members, version, inForce, start)
			if len(pending) == 0 {
				return sortedKeys(inForce), nil
			}
		}
		select {
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			if err != nil {
				return nil, err
			}
			return nil, &notInForceError{version: version, ids: pending}
		}
	}
}

// progress prints the instances on which the version has become active since the
// last poll, adds them to inForce, and returns the live ones on which it is not.
func (a *app) progress(members []member, version uint64, inForce map[string]bool, start time.Time) []string {
	var pending []string
	for _, state := range a.states(members) {
		id := state.Instance.ID
		switch {
		case state.Instance.State != storage.StateLive:
		case state.TableVersion < version:
			pending = append(pending, id)
		case !inForce[id]:
			inForce[id] = true
			fmt.Fprintf(a.Err, "%s: in force after %v\n", id, time.Since(start).Round(time.Millisecond))
		}
	}
	return pending
}

func sortedKeys(set map[string]bool) []string {
	var keys []string
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
