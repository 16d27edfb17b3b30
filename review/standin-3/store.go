package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is the time that a call takes.
	storeDelay = 3 * time.Millisecond
	// maxRows is the number of rows in one response to rows-get.
	maxRows = 500
)

// row is a row of the platform's store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's store.
type store struct {
	address string
	began   time.Time

	mu   sync.Mutex
	rows map[rowID]row
	ver  uint64
	// changed is closed at the next change.
	changed chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), began: time.Now(),
		rows: make(map[rowID]row), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row with an empty part and returns the time at which the store has it.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(row{Table: table, Key: key, Value: data})
	return time.Now()
}

// remove deletes a row with an empty part.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(row{Table: table, Key: key, Deleted: true})
}

func (s *store) writeLocked(r row) {
	s.ver++
	r.Ver = s.ver
	s.rows[rowID{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the rows of a table that changed after a version, in the order of the changes, the
// newest version and a channel that is closed at the next change.
func (s *store) after(table string, version uint64) (rows []row, newest uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.rows {
		if id.table == table && r.Ver > version {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
	return rows, s.ver, s.changed
}

func (s *store) respond(w http.ResponseWriter, status int, rows []row, truncated bool, ver uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	now := fmt.Sprintf("%dms", time.Since(s.began).Milliseconds()+1)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": truncated, "ver": ver, "now": now})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	rows, ver, _ := s.after(query.Get("table"), 0)
	rows = slices.DeleteFunc(rows, func(r row) bool {
		target := query.Get("target")
		return r.Deleted || r.Part != query.Get("part") || r.Key < query.Get("from") || target != "" && r.Key >= target
	})
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	truncated := len(rows) > limit
	s.respond(w, http.StatusOK, rows[:min(len(rows), limit)], truncated, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	version, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		rows, ver, changed := s.after(query.Get("table"), version)
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.respond(w, http.StatusOK, nil, false, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var call struct {
		Expected []row `json:"expected_rev"`
		Put      []row `json:"put"`
		Delete   []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range call.Expected {
		current := s.rows[rowID{e.Table, e.Part, e.Key}]
		if current.Deleted {
			current = row{}
		}
		if current.Ver != e.Ver {
			ver := s.ver
			s.mu.Unlock()
			s.respond(w, http.StatusPreconditionFailed, []row{current}, false, ver)
			return
		}
	}
	for _, p := range call.Put {
		s.writeLocked(p)
	}
	for _, d := range call.Delete {
		d.Deleted = true
		s.writeLocked(d)
	}
	ver := s.ver
	s.mu.Unlock()
	s.respond(w, http.StatusOK, nil, false, ver)
}
