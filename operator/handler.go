package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/pprof"

	"github.com/pomelolock/pomelolock/burn"
	"github.com/pomelolock/pomelolock/table"
)

// maxAcceptBytes bounds the body of POST /table: the document and 64 KiB for the
// other fields.
const maxAcceptBytes = table.MaxDocumentBytes + 64<<10

// Reporter reports the state of an instance.
type Reporter interface {
	// Status returns the state of the instance.
	Status() Status
	// Backends returns the backend servers whose slot coordinators run on the
	// instance.
	Backends() []Backend
}

// BurnReporter builds the burn report of the fleet.
type BurnReporter interface {
	Burn(ctx context.Context) (burn.Report, error)
}

// Acceptor accepts tables; [table.Sync] is one.
type Acceptor interface {
	Accept(ctx context.Context, doc table.Document, by table.Acceptance) (table.Accepted, error)
}

// Options configure the handler. All but TokenSHA256 and Logger are required.
type Options struct {
	Reporter     Reporter
	Acceptor     Acceptor
	BurnReporter BurnReporter
	// Metrics serves GET /metrics.
	Metrics http.Handler
	// TokenSHA256 is the checksum of the operators' token in hexadecimal.
	// If it is empty, every token is rejected.
	TokenSHA256 string
	// Logger receives the log events; nil discards them.
	Logger *slog.Logger
}

type handler struct {
	opts Options
	log  *slog.Logger
}

// NewHandler returns the handler of the operator listener.
func NewHandler(opts Options) http.Handler {
	h := &handler{opts: opts, log: opts.Logger}
	if h.log == nil {
		h.log = slog.New(slog.DiscardHandler)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", h.live)
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /status", h.status)
	mux.HandleFunc("GET /backends", h.backends)
	mux.HandleFunc("GET /burn", h.burn)
	mux.Handle("GET /metrics", opts.Metrics)
	mux.HandleFunc("POST /table", h.requireOperator(h.accept))
	mux.HandleFunc("GET /debug/pprof/", h.requireOperator(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", h.requireOperator(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", h.requireOperator(pprof.Trace))
	return mux
}

func (h *handler) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	status := h.opts.Reporter.Status()
	switch {
	case status.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case status.NotReady != "":
		http.Error(w, status.NotReady, http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.opts.Reporter.Status())
}

func (h *handler) backends(w http.ResponseWriter, _ *http.Request) {
	backends := h.opts.Reporter.Backends()
	if backends == nil {
		backends = []Backend{}
	}
	id := h.opts.Reporter.Status().Instance.ID
	writeJSON(w, http.StatusOK, Backends{InstanceID: id, Backends: backends})
}

func (h *handler) burn(w http.ResponseWriter, r *http.Request) {
	report, err := h.opts.BurnReporter.Burn(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Failure{Code: CodeUnavailable, Detail: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (h *handler) accept(w http.ResponseWriter, r *http.Request) {
	var request AcceptRequest
	body := http.MaxBytesReader(w, r.Body, maxAcceptBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Detail: err.Error()})
		return
	}
	if request.AcceptanceID == "" {
		writeJSON(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Detail: "acceptance_id is required"})
		return
	}
	author := authorName(r, request.Author)
	accepted, err := h.acceptTable(r.Context(), request, author)
	if err != nil {
		failure := failureOf(err)
		h.log.Warn("table_not_accepted", "author", author, "base", request.Base, "code", failure.Code, "error", failure.Detail)
		writeJSON(w, failure.Status, failure)
		return
	}
	h.log.Info("table_accepted", "author", author, "version", accepted.Ref.Version)
	writeJSON(w, http.StatusOK, AcceptResponse{Version: accepted.Ref.Version, AcceptanceID: accepted.Ref.AcceptanceID})
}

func (h *handler) acceptTable(ctx context.Context, request AcceptRequest, author string) (table.Accepted, error) {
	doc, err := table.Parse(request.Document)
	if err != nil {
		return table.Accepted{}, err
	}
	by := table.Acceptance{ID: request.AcceptanceID, Base: request.Base, Author: author, Message: request.Message}
	return h.opts.Acceptor.Accept(ctx, doc, by)
}

// failureOf returns the response to a failed acceptance, by the errors of
// [table.Store.AcceptAs].
func failureOf(err error) *Failure {
	var invalid *table.InvalidError
	var conflict *table.ConflictError
	var unknownOutcome *table.UnknownOutcomeError
	switch {
	case errors.As(err, &invalid):
		detail := fmt.Sprintf("the table has %d faults", len(invalid.Faults))
		return &Failure{Status: http.StatusBadRequest, Code: CodeInvalid, Detail: detail, Faults: invalid.Faults}
	case errors.As(err, &conflict):
		return &Failure{Status: http.StatusConflict, Code: CodeConflict, Detail: err.Error(), Conflict: &Conflict{
			Base:    conflict.Base,
			Present: conflict.Present.Version,
			Author:  conflict.Present.Author,
			Message: conflict.Present.Message,
			Theirs:  conflict.Theirs,
			Changes: conflict.Changes,
		}}
	case errors.As(err, &unknownOutcome):
		return &Failure{Status: http.StatusServiceUnavailable, Code: CodeUnsettled, Detail: err.Error()}
	}
	return &Failure{Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Detail: err.Error()}
}
