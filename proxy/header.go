package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/outcome"
)

// parseLoad returns the load report of a response, or nil if there is none. A
// malformed report is ignored.
func parseLoad(header http.Header) *loadbalancer.Load {
	load := &loadbalancer.Load{Draining: header.Get(outcome.HeaderDraining) == "true"}
	if report := header.Get(outcome.HeaderLoad); report != "" && parseReport(report, load) {
		return load
	}
	if load.Draining {
		return load
	}
	return nil
}

func parseReport(report string, load *loadbalancer.Load) bool {
	used, total, _ := strings.Cut(report, "/")
	inFlight, err := strconv.ParseUint(used, 10, 31)
	if err != nil {
		return false
	}
	slots, err := strconv.ParseUint(total, 10, 31)
	if err != nil {
		return false
	}
	load.InFlight, load.Slots = int(inFlight), int(slots)
	return true
}

// callerTimeout returns the timeout that the caller set in the deadline header,
// in milliseconds on the wire, or zero if there is none.
func callerTimeout(header http.Header) (time.Duration, error) {
	value := header.Get(outcome.HeaderDeadline)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms <= 0 {
		return 0, &HeaderError{Name: outcome.HeaderDeadline, Value: value}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

const maxRequestIDLength = 128

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	return !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' })
}

const maxKeyLength = 256

func validKey(key string) bool {
	if len(key) > maxKeyLength {
		return false
	}
	return !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' })
}
