package table

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Share is the share of a route's requests that one service receives.
type Share struct {
	Service string
	// Weight is relative to the weights of the other shares; at least 1.
	Weight int
}

// SplitError reports a Split column that can't be parsed.
type SplitError struct{ Text string }

func (e *SplitError) Error() string {
	return fmt.Sprintf("%q is not a list of SERVICE=WEIGHT with weights of 1 or more", e.Text)
}

// FormatSplit returns shares in the format of a route's Split column.
func FormatSplit(shares []Share) string {
	parts := make([]string, len(shares))
	for i, share := range shares {
		parts[i] = share.Service + "=" + strconv.Itoa(share.Weight)
	}
	return strings.Join(parts, " ")
}

// parseSplit parses a Split column. It fails with [SplitError].
func parseSplit(text string) ([]Share, error) {
	var shares []Share
	for part := range strings.FieldsSeq(text) {
		service, weight, ok := strings.Cut(part, "=")
		n, err := strconv.Atoi(weight)
		if !ok || err != nil || n < 1 || service == "" {
			return nil, &SplitError{Text: text}
		}
		shares = append(shares, Share{Service: service, Weight: n})
	}
	return shares, nil
}

// Pick returns the service for the next request of the route, chosen at random in
// proportion to the weights of the split.
func (s *Snapshot) Pick(route Route) string {
	shares := s.splits[route.Split]
	if route.Split == "" || len(shares) == 0 {
		return route.Service
	}
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	n := rand.IntN(total)
	for _, share := range shares {
		if n -= share.Weight; n < 0 {
			return share.Service
		}
	}
	return route.Service
}

// Shares returns the shares of the route's split, or nil if it has none or the column can't be
// parsed.
func (r Route) Shares() []Share {
	shares, err := parseSplit(r.Split)
	if err != nil {
		return nil
	}
	return shares
}
