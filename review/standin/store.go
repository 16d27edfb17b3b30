package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// storeRow is a row of the platform's store in its wire format.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	address string
	began   time.Time
	server  *http.Server
	// delay is the time, in nanoseconds, that each answer takes.
	delay atomic.Int64

	mu      sync.Mutex
	rows    map[string]storeRow
	ver     uint64
	changed chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), began: time.Now(), rows: make(map[string]storeRow), changed: make(chan struct{})}
	s.delay.Store(int64(4 * time.Millisecond))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or an upstream does; a nil value deletes it.
func (s *store) put(table, key string, value any) {
	row := storeRow{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		row.Value = data
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.putLocked(row)
}

func (s *store) putLocked(row storeRow) {
	row.Ver = s.ver
	s.rows[row.Table+"/"+row.Part+"/"+row.Key] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the rows of a table that changed after a version, in the order of keys or
// versions, the newest version, and a channel that is closed at the next change.
func (s *store) since(table string, after uint64, deleted bool) ([]storeRow, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows {
		if row.Table == table && row.Ver > after && (deleted || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if deleted {
			return rows[i].Ver < rows[j].Ver
		}
		return rows[i].Key < rows[j].Key
	})
	return rows, s.ver, s.changed
}

func (s *store) write(w http.ResponseWriter, rows []storeRow, ver uint64, truncated bool) {
	time.Sleep(time.Duration(s.delay.Load()))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "ver": ver,
		"now": strconv.FormatInt(time.Since(s.began).Milliseconds()+1, 10) + "ms",
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	rows, ver, _ := s.since(query.Get("table"), 0, false)
	page := []storeRow{}
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	truncated := false
	for _, row := range rows {
		if row.Key < query.Get("from") {
			continue
		}
		if len(page) == limit {
			truncated = true
			break
		}
		page = append(page, row)
	}
	s.write(w, page, ver, truncated)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		rows, ver, changed := s.since(query.Get("table"), after, true)
		if len(rows) > 0 {
			s.write(w, rows, ver, false)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.write(w, rows, ver, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ExpectedRev []storeRow `json:"expected_rev"`
		Put         []storeRow `json:"put"`
		Delete      []storeRow `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, row := range call.ExpectedRev {
		if have := s.rows[row.Table+"/"+row.Part+"/"+row.Key]; have.Ver != row.Ver && !(have.Deleted && row.Ver == 0) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.ver++
	for _, row := range call.Put {
		row.Deleted = false
		s.putLocked(row)
	}
	for _, row := range call.Delete {
		row.Deleted = true
		s.putLocked(row)
	}
	ver := s.ver
	s.mu.Unlock()
	s.write(w, []storeRow{}, ver, false)
}
