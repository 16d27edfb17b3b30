package platformd

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
)

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	record, err := s.store.Get(r.Context(), r.URL.Query().Get(httpplatform.ParamKey))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(httpplatform.HeaderVersion, strconv.FormatUint(uint64(record.Version), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(record.Value)))
	_, _ = w.Write(record.Value)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	expect, ok := parseExpect(w, r)
	if !ok {
		return
	}
	value, ok := readBody(w, r)
	if !ok {
		return
	}
	version, err := s.store.Put(r.Context(), r.URL.Query().Get(httpplatform.ParamKey), value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(httpplatform.HeaderVersion, strconv.FormatUint(uint64(version), 10))
	w.WriteHeader(http.StatusOK)
}

func (s *server) delete(w http.ResponseWriter, r *http.Request) {
	expect, ok := parseExpect(w, r)
	if !ok {
		return
	}
	writeResult(w, s.store.Delete(r.Context(), r.URL.Query().Get(httpplatform.ParamKey), expect))
}

func (s *server) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get(httpplatform.ParamLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, err := s.store.Scan(r.Context(), query.Get(httpplatform.ParamPrefix), query.Get(httpplatform.ParamAfter), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	list := httpplatform.RecordList{Records: make([]httpplatform.RecordItem, 0, len(records))}
	for _, record := range records {
		list.Records = append(list.Records, httpplatform.RecordItem(record))
	}
	writeJSON(w, list)
}

func (s *server) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.store.GetObject(r.Context(), r.URL.Query().Get(httpplatform.ParamName))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (s *server) putObject(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	writeResult(w, s.store.PutObject(r.Context(), r.URL.Query().Get(httpplatform.ParamName), data))
}

func (s *server) deleteObject(w http.ResponseWriter, r *http.Request) {
	writeResult(w, s.store.DeleteObject(r.Context(), r.URL.Query().Get(httpplatform.ParamName)))
}

func (s *server) listObjects(w http.ResponseWriter, r *http.Request) {
	names, err := s.store.ListObjects(r.Context(), r.URL.Query().Get(httpplatform.ParamPrefix))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, httpplatform.NameList{Names: names})
}

func (s *server) listInstances(w http.ResponseWriter, r *http.Request) {
	rows, err := s.store.ListInstances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, httpplatform.InstanceRows{Instances: rows})
}

func (s *server) setInstance(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var instance storage.Instance
	if err := json.Unmarshal(body, &instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResult(w, s.store.SetInstance(r.Context(), instance))
}

func (s *server) removeInstance(w http.ResponseWriter, r *http.Request) {
	writeResult(w, s.store.RemoveInstance(r.Context(), r.URL.Query().Get(httpplatform.ParamID)))
}

// writeResult writes the response for an operation that returns only an error.
func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
