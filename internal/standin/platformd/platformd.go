// Package platformd serves the platform's HTTP API from memory, with faults
// that can be switched while it runs.
//
// Besides the API of package httpplatform it serves:
//
//	GET, PUT /faults   the active memory.Faults as JSON
//	GET      /counts   the operations served, memory.Counts as JSON
//	GET      /ready    204
//
// An operation whose outcome the caller must not learn ends with a closed
// connection and no answer.
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

// Paths of the switches.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
	PathReady  = "/ready"
)

type server struct {
	store *memory.Store
}

// NewHandler serves store.
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

// fail maps a failure of the store to the wire.
func fail(w http.ResponseWriter, err error) {
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
	// A failed write means that the client is gone.
	_, _ = w.Write(data)
}

// readBody reads a whole request body, or answers and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpplatform.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}

// expected parses the expected version, or answers and returns false.
func expected(w http.ResponseWriter, r *http.Request) (storage.Version, bool) {
	version, err := strconv.ParseUint(r.URL.Query().Get(httpplatform.ParamExpect), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return storage.Absent, false
	}
	return storage.Version(version), true
}
