package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/table"
)

// Status is the state of an instance.
type Status struct {
	Instance storage.Instance `json:"instance"`
	// Build is the version of the running binary.
	Build     string    `json:"build"`
	StartedAt time.Time `json:"started_at"`
	// TableVersion is the version of the active table; 0 if there is none.
	TableVersion uint64 `json:"table_version"`
	// InFlight is the number of in-flight requests.
	InFlight int64 `json:"in_flight"`
	// Leaving is set while the instance shuts down.
	Leaving bool `json:"leaving"`
	// NotReady is the reason why the instance is not ready; empty if it is ready.
	NotReady string `json:"not_ready,omitempty"`
}

// Backend is a backend server as the coordinator of its slots sees it.
type Backend struct {
	Service    string `json:"service"`
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// State is "serving", "draining", "failing" or "unused"; an unused server
	// takes no new requests by the table or the instance list.
	State string `json:"state"`
	// Slots is the number of slots in the table, Leased the number of granted
	// leases.
	Slots  int `json:"slots"`
	Leased int `json:"leased"`
	// Window is the limit of concurrent requests that follows from the results
	// of earlier requests.
	Window float64 `json:"window"`
	// LatencyMS is the average latency of complete responses, in milliseconds;
	// 0 if unknown.
	LatencyMS float64 `json:"latency_ms"`
}

// Backends lists the backend servers whose slot coordinators run on an instance.
type Backends struct {
	InstanceID string    `json:"instance_id"`
	Backends   []Backend `json:"backends"`
}

// AcceptRequest is the body of POST /table.
type AcceptRequest struct {
	// AcceptanceID identifies the acceptance. The same request may be sent again,
	// also to another instance, until its outcome is known.
	AcceptanceID string `json:"acceptance_id"`
	// Base is the version that the document was edited from; 0 for the first
	// table.
	Base     uint64          `json:"base"`
	Author   string          `json:"author"`
	Message  string          `json:"message"`
	Document json.RawMessage `json:"document"`
}

// AcceptResponse is the response to an accepted [AcceptRequest].
type AcceptResponse struct {
	Version      uint64 `json:"version"`
	AcceptanceID string `json:"acceptance_id"`
}

// Code is the reason of a failed request.
type Code string

// Codes of [Failure].
const (
	// CodeInvalid reports an invalid request or table. Nothing was accepted.
	CodeInvalid Code = "invalid"
	// CodeConflict reports that another table was accepted since the base.
	// Nothing was accepted.
	CodeConflict Code = "conflict"
	// CodeUnauthorized reports a request without an operator's certificate or
	// token. Nothing was accepted.
	CodeUnauthorized Code = "unauthorized"
	// CodeUnsettled reports that the table may or may not have been accepted.
	// Sending the same request again determines the outcome.
	CodeUnsettled Code = "unsettled"
	// CodeUnavailable reports that the store is unavailable or returned data
	// that cannot be used. Nothing was accepted.
	CodeUnavailable Code = "unavailable"
)

// Conflict describes the table that was accepted since the base. Present is its
// version.
type Conflict struct {
	Base    uint64 `json:"base"`
	Present uint64 `json:"present"`
	Author  string `json:"author"`
	Message string `json:"message"`
	// Theirs lists the changes from the base to the present version, Changes
	// those that the rejected table would make to the present version.
	Theirs  []table.Change `json:"theirs"`
	Changes []table.Change `json:"changes"`
}

// Failure is the response to a request that failed, and the error that the client
// returns for it.
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
