package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/table"
)

// Status is what an instance tells about itself.
type Status struct {
	Instance storage.Instance `json:"instance"`
	// Build is the release that runs.
	Build     string    `json:"build"`
	StartedAt time.Time `json:"started_at"`
	// TableVersion is the version in force; 0 before the first.
	TableVersion uint64 `json:"table_version"`
	// InFlight counts requests that have not ended.
	InFlight int64 `json:"in_flight"`
	// Leaving tells that the instance is stopping.
	Leaving bool `json:"leaving"`
	// NotReady tells why the instance is not ready; "" if it is.
	NotReady string `json:"not_ready,omitempty"`
}

// Backend is a backend server as the instance that leases its slots sees it.
type Backend struct {
	Service    string `json:"service"`
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// State tells how the server is treated, as in "serving", "draining" or
	// "failing".
	State string `json:"state"`
	// Slots is the table's number and Leased that of leases out.
	Slots  int `json:"slots"`
	Leased int `json:"leased"`
	// Window is the number of requests that the server is trusted with at
	// once.
	Window float64 `json:"window"`
	// LatencyMS is the average latency of whole answers in milliseconds; 0
	// if unknown.
	LatencyMS float64 `json:"latency_ms"`
}

// Backends lists the backend servers whose slots an instance leases.
type Backends struct {
	InstanceID string    `json:"instance_id"`
	Backends   []Backend `json:"backends"`
}

// AcceptRequest asks an instance to accept a table.
type AcceptRequest struct {
	// AcceptanceID names the acceptance; the same request may be sent again,
	// also to another instance, until its outcome is known.
	AcceptanceID string `json:"acceptance_id"`
	// Base is the version that was edited; 0 for the first table.
	Base     uint64          `json:"base"`
	Author   string          `json:"author"`
	Message  string          `json:"message"`
	Document json.RawMessage `json:"document"`
}

// AcceptAnswer tells which version was accepted.
type AcceptAnswer struct {
	Version      uint64 `json:"version"`
	AcceptanceID string `json:"acceptance_id"`
}

// Code names the reason of a failed request.
type Code string

// Codes of failures.
const (
	// CodeInvalid: the table has faults; nothing was accepted.
	CodeInvalid Code = "invalid"
	// CodeConflict: another table was accepted meanwhile; nothing was
	// accepted.
	CodeConflict Code = "conflict"
	// CodeUnauthorized: no operator's certificate or token; nothing was
	// accepted.
	CodeUnauthorized Code = "unauthorized"
	// CodeUnsettled: the table may or may not have been accepted; send the
	// request again.
	CodeUnsettled Code = "unsettled"
	// CodeUnavailable: the store cannot be used; nothing was accepted.
	CodeUnavailable Code = "unavailable"
)

// Conflict tells what was accepted meanwhile.
type Conflict struct {
	Base    uint64 `json:"base"`
	Present uint64 `json:"present"`
	Author  string `json:"author"`
	Message string `json:"message"`
	// Theirs lists the changes since the base, and Changes what the refused
	// table would change in the present version.
	Theirs  []table.Change `json:"theirs"`
	Changes []table.Change `json:"changes"`
}

// Failure answers a request that failed. It is also the error of the client.
type Failure struct {
	Status   int           `json:"-"`
	Code     Code          `json:"code"`
	Detail   string        `json:"detail"`
	Faults   []table.Fault `json:"faults,omitempty"`
	Conflict *Conflict     `json:"conflict,omitempty"`
}

func (f *Failure) Error() string {
	if f.Code == "" {
		return fmt.Sprintf("operator: status %d: %s", f.Status, f.Detail)
	}
	return fmt.Sprintf("operator: %s: %s", f.Code, f.Detail)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
