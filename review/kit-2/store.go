package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store: the calls that read rows.
type store struct {
	mu      sync.Mutex
	rows    map[string]row // by table and key
	version int64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, version: 100, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or a worker.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(row{Table: table, Key: key, Value: text})
}

// remove removes a row.
func (s *store) remove(table, key string) { s.write(row{Table: table, Key: key, Removed: true}) }

func (s *store) write(r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.Version = s.version
	s.rows[r.Table+"/"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the rows of a table that changed after a version, and a channel that is
// closed at the next change.
func (s *store) since(table string, version int64, removed bool) ([]row, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > version && (removed || !r.Removed) {
			list = append(list, r)
		}
	}
	return list, s.version, s.changed
}

func (s *store) reply(w http.ResponseWriter, rows []row, version int64) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "ver": version, "nowMs": time.Since(s.started).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	rows, version, _ := s.since(r.FormValue("table"), 0, false)
	from := r.FormValue("from")
	rows = slices.DeleteFunc(rows, func(r row) bool { return r.Key < from })
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.reply(w, rows, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("sinceRev"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		rows, version, changed := s.since(r.FormValue("table"), after, true)
		if len(rows) > 0 || wait == 0 {
			slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
			s.reply(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			s.reply(w, rows, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serve serves the store on a free loopback port and returns its address.
func (s *store) serve() string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	l := listen("127.0.0.1")
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}

// listen listens on a free port of a loopback address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// freePort returns a port that is free on a loopback address.
func freePort(ip string) int {
	l := listen(ip)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}
