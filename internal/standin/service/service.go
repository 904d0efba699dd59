// Package service is the stand-in for a plain service whose calls must run at most
// once. It keeps a journal of the calls that took effect, so that a test can count
// how often each of them ran.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// Settings are the stand-in's start-up settings.
type Settings struct {
	Listen string        // IP:port
	ID     string        // worker ID, part of each response
	Delay  time.Duration // duration of each call and lookup
}

// Faults is the body of POST /faults, which replaces the current faults. The
// first three fields are the numbers of the next calls that have the fault, in the
// order of the fields; a call has at most one of these faults. GET and HEAD
// requests are not calls.
type Faults struct {
	Refuse    int   `json:"refuse"`     // calls refused with X-Outcome: not_run
	DieBefore int   `json:"die_before"` // connections closed before the effect
	DieAfter  int   `json:"die_after"`  // connections closed after the effect
	SlowMs    int64 `json:"slow_ms"`    // additional duration of each call and lookup
}

// Effect counts the runs of calls with the same method, path, Idempotency-Key and
// body.
type Effect struct {
	Method   string   `json:"method"`
	Path     string   `json:"path"`
	Key      string   `json:"key"`
	Body     string   `json:"body_sha256"` // hexadecimal SHA-256 of the body
	Runs     int      `json:"runs"`
	Attempts []string `json:"attempts"` // attempt ID of each run
	TimesNS  []int64  `json:"times_ns"` // wall-clock time of each run
	ID       int      `json:"id"`       // record ID of the first run
}

// Journal is the response to GET /standin/journal.
type Journal struct {
	Effects     []*Effect `json:"effects"`       // in the order of the first run
	Total       int       `json:"total"`         // runs of all effects
	Lookups     int       `json:"lookups"`       // GET and HEAD requests
	MaxInFlight int       `json:"max_in_flight"` // largest number of concurrent calls
}

// Answer is the response to a call that took effect, and to a lookup.
type Answer struct {
	Worker string          `json:"worker"`
	ID     int             `json:"id"`
	Key    string          `json:"key,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
}

type effectKey struct{ method, path, key, body string }

type record struct {
	path     string
	response Answer
}

// Service is a stand-in for a plain service.
type Service struct {
	settings Settings

	mu       sync.Mutex // leaf lock
	faults   Faults
	effects  map[effectKey]*Effect
	journal  Journal
	records  []record // by ID, from 1
	inFlight int
}

// Run serves the stand-in until ctx ends.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	return standin.Serve(ctx, s.Listen, New(s).Handler(), out)
}

// New returns a service with an empty journal.
func New(s Settings) *Service { return &Service{settings: s, effects: map[effectKey]*Effect{}} }

// Handler serves the service's protocol and the stand-in's own paths.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", s.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/standin/journal", s.getJournal).Methods(http.MethodGet)
	r.PathPrefix("/").Methods(http.MethodGet, http.MethodHead).HandlerFunc(s.lookup)
	r.PathPrefix("/").HandlerFunc(s.call)
	return r
}

// call executes a call, which is any request other than GET and HEAD.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	f := s.startCall()
	defer s.endCall()
	if f.Refuse > 0 {
		echoAttemptID(w, r)
		standin.Refuse(w, http.StatusServiceUnavailable, "the service accepts no calls now; retry later")
		return
	}
	standin.Sleep(r.Context(), s.settings.Delay+time.Duration(f.SlowMs)*time.Millisecond)
	if f.DieBefore > 0 {
		standin.Drop()
	}
	response := s.execute(r, body)
	if f.DieAfter > 0 {
		standin.Drop()
	}
	echoAttemptID(w, r)
	standin.WriteJSON(w, http.StatusCreated, response)
}

// startCall counts a call and returns the fault that applies to it.
func (s *Service) startCall() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.journal.MaxInFlight = max(s.journal.MaxInFlight, s.inFlight)
	f := Faults{SlowMs: s.faults.SlowMs}
	switch {
	case s.faults.Refuse > 0:
		s.faults.Refuse--
		f.Refuse = 1
	case s.faults.DieBefore > 0:
		s.faults.DieBefore--
		f.DieBefore = 1
	case s.faults.DieAfter > 0:
		s.faults.DieAfter--
		f.DieAfter = 1
	}
	return f
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// execute performs the effect of a call. The service does not detect a key that it
// has seen before, so that a second run is recorded in the journal.
func (s *Service) execute(r *http.Request, body []byte) Answer {
	sum := sha256.Sum256(body)
	key := effectKey{r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), hex.EncodeToString(sum[:])}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := len(s.records) + 1
	e := s.effects[key]
	if e == nil {
		e = &Effect{Method: key.method, Path: key.path, Key: key.key, Body: key.body, ID: id}
		s.effects[key] = e
		s.journal.Effects = append(s.journal.Effects, e)
	}
	e.Runs++
	e.Attempts = append(e.Attempts, r.Header.Get("X-Attempt-Id"))
	e.TimesNS = append(e.TimesNS, time.Now().UnixNano())
	s.journal.Total++
	a := Answer{Worker: s.settings.ID, ID: id, Key: key.key}
	if json.Valid(body) {
		a.Body = body
	}
	s.records = append(s.records, record{strings.TrimSuffix(r.URL.Path, "/"), a})
	return a
}

// lookup responds to GET <path>/<id> with one record and to GET <path> with the
// latest record of that path.
func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	delay := s.startLookup()
	standin.Sleep(r.Context(), s.settings.Delay+delay)
	a, ok := s.findRecord(strings.TrimSuffix(r.URL.Path, "/"))
	echoAttemptID(w, r)
	if !ok {
		http.Error(w, "no such record", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, a)
}

// startLookup counts a lookup and returns its additional duration.
func (s *Service) startLookup() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal.Lookups++
	return time.Duration(s.faults.SlowMs) * time.Millisecond
}

func (s *Service) findRecord(path string) (Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := strings.LastIndexByte(path, '/'); i >= 0 {
		id, err := strconv.Atoi(path[i+1:])
		if err == nil && id >= 1 && id <= len(s.records) && s.records[id-1].path == path[:i] {
			return s.records[id-1].response, true
		}
	}
	for i := len(s.records) - 1; i >= 0; i-- {
		if s.records[i].path == path {
			return s.records[i].response, true
		}
	}
	return Answer{}, false
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !standin.ReadJSON(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) getJournal(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Journal())
}

// Journal returns a copy of the journal.
func (s *Service) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.journal
	j.Effects = make([]*Effect, len(s.journal.Effects))
	for i, e := range s.journal.Effects {
		c := *e
		c.Attempts = slices.Clone(e.Attempts)
		c.TimesNS = slices.Clone(e.TimesNS)
		j.Effects[i] = &c
	}
	return j
}

func echoAttemptID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
}
