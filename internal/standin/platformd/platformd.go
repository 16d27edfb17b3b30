// Package platformd simulates the platform: it serves the HTTP API of package
// httpplatform from memory and injects faults that can be changed while it runs.
//
// In addition to that API it serves:
//
//	GET, PUT /faults   the active memory.Faults as JSON
//	GET      /counts   the operations served, memory.Counts as JSON
//	GET      /ready    204
//
// For an operation with an unknown outcome it closes the connection without a
// response.
package platformd

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/storage/memory"
)

// Paths of the faults, the counts and the readiness check.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
	PathReady  = "/ready"
)

type server struct {
	store *memory.Store
}

// NewHandler returns a handler that serves store.
func NewHandler(store *memory.Store) http.Handler {
	s := &server{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpplatform.PathRecords, s.get)
	mux.HandleFunc("PUT "+httpplatform.PathRecords, s.put)
	mux.HandleFunc("DELETE "+httpplatform.PathRecords, s.delete)
	mux.HandleFunc("GET "+httpplatform.PathScan, s.scan)
	mux.HandleFunc("GET "+httpplatform.PathObjects, s.getObject)
	mux.HandleFunc("PUT "+httpplatform.PathObjects, s.putObject)
	mux.HandleFunc("DELETE "+httpplatform.PathObjects, s.deleteObject)
	mux.HandleFunc("GET "+httpplatform.PathObjectNames, s.listObjects)
	mux.HandleFunc("GET "+httpplatform.PathInstances, s.listInstances)
	mux.HandleFunc("PUT "+httpplatform.PathInstances, s.setInstance)
	mux.HandleFunc("DELETE "+httpplatform.PathInstances, s.removeInstance)
	mux.HandleFunc("GET "+PathFaults, s.getFaults)
	mux.HandleFunc("PUT "+PathFaults, s.setFaults)
	mux.HandleFunc("GET "+PathCounts, s.getCounts)
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

func (s *server) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.store.Faults()) }

func (s *server) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.store.Counts()) }

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults memory.Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// writeError writes the response for an error of the store.
func writeError(w http.ResponseWriter, err error) {
	var (
		notFound *storage.NotFoundError
		conflict *storage.ConflictError
		unknown  *storage.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &notFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &conflict):
		w.Header().Set(httpplatform.HeaderVersion, strconv.FormatUint(uint64(conflict.Present), 10))
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(httpplatform.HeaderNotApplied, "true")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_, _ = w.Write(data)
}

// readBody reads the complete request body. On failure it writes an error
// response and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpplatform.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}

// parseExpect parses the expected version from the query. On failure it writes
// an error response and returns false.
func parseExpect(w http.ResponseWriter, r *http.Request) (storage.Version, bool) {
	version, err := strconv.ParseUint(r.URL.Query().Get(httpplatform.ParamExpect), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return storage.Absent, false
	}
	return storage.Version(version), true
}
