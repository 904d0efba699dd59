package kit

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store: rows, a feed that waits for changes, one
// counter of versions. It never loses an acknowledged write, and its answers are
// linearizable. It takes 4 ms an answer. Each machine calls it at an address of its own,
// which tells the machines apart: on loopback, all channels come from one IP.
type Store struct {
	ip     string
	server *http.Server

	mu      sync.Mutex
	version int64
	rows    map[string]storeRow // by table + "/" + key
	log     []storeRow          // all changes, in order
	changed chan struct{}
	readers map[string]time.Time // last read of the list of workers, by machine
	names   map[string]string    // machine by the store's address for it
	conns   map[net.Conn]bool
	silent  map[net.Conn]bool // channels that deliver nothing further
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type connKey struct{}

// storeDelay is the time of an answer.
const storeDelay = 4 * time.Millisecond

// StartStore starts a store.
func StartStore(ip string) *Store {
	s := &Store{ip: ip, rows: map[string]storeRow{}, version: 100, changed: make(chan struct{}), readers: map[string]time.Time{}, names: map[string]string{}, conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, st http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch st {
			case http.StateNew:
				s.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(s.conns, c)
			}
		}}
	return s
}

// Address returns the store's address for a machine.
func (s *Store) Address(machine string) string {
	l, err := net.Listen("tcp4", s.ip+":0")
	if err != nil {
		Unable("store: %v", err)
	}
	go func() { _ = s.server.Serve(l) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[l.Addr().String()] = machine
	return l.Addr().String()
}

// Put writes a row and returns when the store has accepted it.
func (s *Store) Put(table, key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		Unable("store: %v", err)
	}
	return s.change(storeRow{Table: table, Key: key, Value: b})
}

// Delete removes a row and returns when the store has accepted it.
func (s *Store) Delete(table, key string) time.Time {
	return s.change(storeRow{Table: table, Key: key, Removed: true})
}

func (s *Store) change(r storeRow) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.Ver = s.version
	name := r.Table + "/" + r.Key
	if r.Removed {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// GoSilent makes all channels that are open now deliver nothing further. New ones work.
func (s *Store) GoSilent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.silent[c] = true
	}
	return len(s.conns)
}

// Readers returns the machines that have read the list of workers within the given time.
func (s *Store) Readers(within time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for machine, at := range s.readers {
		if time.Since(at) < within {
			list = append(list, machine)
		}
	}
	sort.Strings(list)
	return list
}

// answer writes an answer unless the channel has gone silent; then it holds the call.
func (s *Store) answer(w http.ResponseWriter, r *http.Request, status int, body any) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	silent := s.silent[c]
	s.mu.Unlock()
	if silent {
		<-r.Context().Done() // until the caller closes the channel
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type rowsAnswer struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"hasMore"`
	Ver     int64      `json:"ver"`
	NowMs   int64      `json:"nowMs"`
}

func (s *Store) noteReader(r *http.Request, table string) {
	if table != "servers" {
		return
	}
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		s.readers[s.names[c.LocalAddr().String()]] = time.Now()
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	table, from := q.Get("table"), q.Get("from")
	s.mu.Lock()
	s.noteReader(r, table)
	a := rowsAnswer{Ver: s.version, NowMs: time.Now().UnixMilli(), Rows: []storeRow{}}
	for name, row := range s.rows {
		if strings.HasPrefix(name, table+"/") && row.Key >= from {
			a.Rows = append(a.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	s.answer(w, r, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	table := q.Get("table")
	since, _ := strconv.ParseInt(q.Get("sinceRev"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		s.noteReader(r, table)
		a := rowsAnswer{Ver: s.version, NowMs: time.Now().UnixMilli(), Rows: []storeRow{}}
		for _, row := range s.log {
			if row.Table == table && row.Ver > since {
				a.Rows = append(a.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 || wait <= 0 {
			s.answer(w, r, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
