package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Paths of the admin listener.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
	PathReady  = "/ready"
)

// Paths of the health check and the load report. Every other path is work.
const (
	PathHealth = "/health"
	PathLoad   = "/load"
)

// LoadReport is the JSON body of a response to /load.
type LoadReport struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

func (s *Server) serveReport(w http.ResponseWriter, r *http.Request) {
	s.slots.count(func(c *Counts) { c.Probes++ })
	s.setHeaders(w, r)
	faults := s.Faults()
	if r.URL.Path == PathHealth {
		s.mu.Lock()
		left := s.faults.coldLeft(time.Now())
		s.mu.Unlock()
		w.Header().Set(HeaderColdMS, strconv.FormatInt(left.Milliseconds(), 10))
		if faults.Unhealthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	counts := s.slots.snapshot()
	report := LoadReport{InFlight: counts.Running + counts.Queued, Slots: counts.Slots, Draining: faults.Draining}
	if faults.MisleadingLoad {
		report.InFlight = 0
	}
	writeJSON(w, report)
}

// Admin returns the handler of the admin listener, which serves the faults and
// the counts.
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	mux.HandleFunc("DELETE "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		s.slots.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
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
