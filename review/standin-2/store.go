package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store in its wire format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	rows    map[string]row
	ver     uint64
	changed chan struct{}
}

func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), began: time.Now().Add(-time.Hour), rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row with an empty part; a nil value deletes it.
func (s *store) put(table, key string, value any) {
	r := row{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.Value = data
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.putLocked(r)
	s.notifyLocked()
}

func (s *store) putLocked(r row) {
	r.Ver = s.ver
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Ver       uint64 `json:"ver"`
	Now       string `json:"now"`
}

func (s *store) now() string {
	return fmt.Sprintf("%dms", time.Since(s.began).Milliseconds())
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	a := rowsAnswer{Rows: []row{}, Ver: s.ver, Now: s.now()}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Deleted && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
			a.Rows = append(a.Rows, x)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Rows, func(x, y row) int {
		if x.Key < y.Key {
			return -1
		}
		return 1
	})
	answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	for {
		if after > s.ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		a := rowsAnswer{Rows: []row{}, Ver: s.ver, Now: s.now()}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Ver > after {
				a.Rows = append(a.Rows, x)
			}
		}
		changed := s.changed
		if len(a.Rows) > 0 || wait == 0 {
			s.mu.Unlock()
			slices.SortFunc(a.Rows, func(x, y row) int { return int(int64(x.Ver) - int64(y.Ver)) })
			answer(w, http.StatusOK, a)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	var call struct {
		ExpectedRev []row `json:"expected_rev"`
		Put         []row `json:"put"`
		Delete      []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range call.ExpectedRev {
		have := s.rows[want.Table+"\x00"+want.Part+"\x00"+want.Key]
		if have.Deleted {
			have.Ver = 0
		}
		if have.Ver != want.Ver {
			answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: []row{have}, Ver: s.ver, Now: s.now()})
			return
		}
	}
	s.ver++
	for _, x := range call.Put {
		s.putLocked(row{Table: x.Table, Part: x.Part, Key: x.Key, Value: x.Value})
	}
	for _, x := range call.Delete {
		s.putLocked(row{Table: x.Table, Part: x.Part, Key: x.Key, Deleted: true})
	}
	s.notifyLocked()
	answer(w, http.StatusOK, rowsAnswer{Rows: []row{}, Ver: s.ver, Now: s.now()})
}
