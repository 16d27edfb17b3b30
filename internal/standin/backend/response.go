package backend

import (
	"encoding/json"
	"hash/crc32"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/internal/standin/execlog"
	"github.com/pomelolock/pomelolock/outcome"
)

const maxResponseBytes = 8 << 20

// Response is the JSON body of a response to a work request.
type Response struct {
	Server         string `json:"server"`
	Execution      uint64 `json:"execution"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Call is the query parameter call of the request.
	Call string `json:"call,omitempty"`
	Path string `json:"path"`
	// BodyBytes is the size of the request's body.
	BodyBytes int `json:"body_bytes"`
	// Padding holds as many bytes as the query parameter size requests.
	Padding string `json:"padding,omitempty"`
}

func (s *Server) setHeaders(w http.ResponseWriter, r *http.Request) {
	counts := s.slots.snapshot()
	faults := s.Faults()
	inFlight := counts.Running + counts.Queued
	if faults.MisleadingLoad {
		inFlight = 0
	}
	header := w.Header()
	header.Set(HeaderServer, s.opts.Name)
	header.Set(outcome.HeaderLoad, strconv.Itoa(inFlight)+"/"+strconv.Itoa(counts.Slots))
	if id := r.Header.Get(outcome.HeaderRequestID); id != "" {
		header.Set(outcome.HeaderRequestID, id)
	}
	if faults.Draining {
		header.Set(outcome.HeaderDraining, "true")
	}
}

// refuse writes a response that says the request was not run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int) {
	s.setHeaders(w, r)
	w.Header().Set(outcome.HeaderNotRun, "true")
	w.WriteHeader(status)
}

func (s *Server) failFast(w http.ResponseWriter, r *http.Request) {
	s.slots.count(func(c *Counts) { c.Failed++ })
	s.setHeaders(w, r)
	w.WriteHeader(http.StatusInternalServerError)
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, number uint64, bodyBytes int, result execlog.Result, decision faultDecision) {
	if result == execlog.ResultCancelled || decision.cut {
		panic(http.ErrAbortHandler)
	}
	if decision.late {
		time.Sleep(milliseconds(decision.faults.LateMS))
	}
	s.setHeaders(w, r)
	if result == execlog.ResultExpired {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	data, err := s.encodeResponse(r, number, bodyBytes)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	header.Set(HeaderChecksum, Checksum(data))
	if decision.truncate {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (s *Server) encodeResponse(r *http.Request, number uint64, bodyBytes int) ([]byte, error) {
	query := r.URL.Query()
	response := Response{
		Server:         s.opts.Name,
		Execution:      number,
		RequestID:      r.Header.Get(outcome.HeaderRequestID),
		IdempotencyKey: r.Header.Get(outcome.HeaderIdempotencyKey),
		Call:           query.Get(ParamCall),
		Path:           r.URL.Path,
		BodyBytes:      bodyBytes,
	}
	if size, err := strconv.Atoi(query.Get(ParamSize)); err == nil && size > 0 {
		response.Padding = strings.Repeat("x", min(size, maxResponseBytes))
	}
	return json.Marshal(response)
}

// Checksum returns the value of [HeaderChecksum] for a body.
func Checksum(body []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16)
}
