// Package platform is the stand-in for the platform: it serves a
// storetest.Platform over the HTTP protocol of plugins/platform. POST /faults sets
// the faults that it injects.
package platform

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/auburnlead/auburnlead/internal/standin"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// maxScanRows is the maximum number of rows in the reply to a scan.
const maxScanRows = 1000

// Settings are the stand-in's start-up settings.
type Settings struct {
	Listen string // IP:port
	Seed   uint64 // seed of the random generator that faults are drawn from
}

// Faults is the body of POST /faults, which replaces the current faults. They are
// described at storetest.Faults. Fields that end in Ms are durations in
// milliseconds; lost_replies, dropped_requests, late_writes and duplicate_writes
// are probabilities from 0 to 1.
type Faults struct {
	Outage          bool    `json:"outage"`
	DelayMs         int64   `json:"delay_ms"`
	LostReplies     float64 `json:"lost_replies"`
	DroppedRequests float64 `json:"dropped_requests"`
	LateWrites      float64 `json:"late_writes"`
	DuplicateWrites float64 `json:"duplicate_writes"`
	LateByMs        int64   `json:"late_by_ms"`
	VMLagMs         int64   `json:"vm_lag_ms"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Messages of the protocol.
type (
	// GetRequest is the body of POST /table/get.
	GetRequest struct {
		Keys []string `json:"keys"`
	}
	// ScanRequest is the body of POST /table/scan.
	ScanRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	// RowsReply is the reply to get and scan.
	RowsReply struct {
		Rows []store.Row `json:"rows"`
	}
	// CommitRequest is the body of POST /table/commit.
	CommitRequest struct {
		Ops []store.Op `json:"ops"`
	}
	// ConflictReply is the body of a reply with status 409 to a commit.
	ConflictReply struct {
		Current []store.Row `json:"current"`
	}
)

// Run serves the stand-in until ctx ends.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	return standin.Serve(ctx, s.Listen, Handler(New(s)), out)
}

// New returns an empty platform.
func New(s Settings) *storetest.Platform {
	return storetest.New(storetest.Options{
		Seed:  s.Seed,
		Now:   time.Now,
		After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) },
	})
}

type server struct{ platform *storetest.Platform }

// Handler serves a platform over HTTP.
func Handler(p *storetest.Platform) http.Handler {
	s := &server{p}
	r := mux.NewRouter()
	r.HandleFunc("/table/get", s.get).Methods(http.MethodPost)
	r.HandleFunc("/table/scan", s.scan).Methods(http.MethodPost)
	r.HandleFunc("/table/commit", s.commit).Methods(http.MethodPost)
	r.HandleFunc("/objects/{name}", s.putObject).Methods(http.MethodPut)
	r.HandleFunc("/objects/{name}", s.getObject).Methods(http.MethodGet)
	r.HandleFunc("/vms", s.listVMs).Methods(http.MethodGet)
	r.HandleFunc("/vms/{id}", s.putVM).Methods(http.MethodPut)
	r.HandleFunc("/vms/{id}", s.deleteVM).Methods(http.MethodDelete)
	r.HandleFunc("/faults", s.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/stats", s.stats).Methods(http.MethodGet)
	return r
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	var req GetRequest
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	rows, err := s.platform.Get(r.Context(), req.Keys...)
	if err != nil {
		writeError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, RowsReply{rows})
}

func (s *server) scan(w http.ResponseWriter, r *http.Request) {
	var req ScanRequest
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	rows, err := s.platform.Scan(r.Context(), req.Prefix, req.After, min(max(req.Limit, 1), maxScanRows))
	if err != nil {
		writeError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, RowsReply{rows})
}

func (s *server) commit(w http.ResponseWriter, r *http.Request) {
	var req CommitRequest
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	result, err := s.platform.Commit(r.Context(), req.Ops)
	if err != nil {
		writeError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, result)
}

func (s *server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err := s.platform.Objects().Put(r.Context(), mux.Vars(r)["name"], body); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := s.platform.Objects().Get(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (s *server) listVMs(w http.ResponseWriter, r *http.Request) {
	list, err := s.platform.List(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	// In a large fleet, this list makes up most of the bytes that a router reads
	// from the platform: 105 bytes per VM without compression.
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		standin.WriteJSON(w, http.StatusOK, list)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = json.NewEncoder(z).Encode(list), z.Close() // fails if the connection is closed
}

func (s *server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm store.VM
	if !standin.ReadJSON(w, r, &vm) {
		return
	}
	vm.ID = mux.Vars(r)["id"]
	if vm.State == "" {
		vm.State = store.VMLive
	}
	s.platform.PutVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) deleteVM(w http.ResponseWriter, r *http.Request) {
	s.platform.DeleteVM(mux.Vars(r)["id"])
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !standin.ReadJSON(w, r, &f) {
		return
	}
	s.platform.SetFaults(f.toStoreFaults())
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) stats(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.platform.Stats())
}

func (f Faults) toStoreFaults() storetest.Faults {
	delay := time.Duration(f.DelayMs) * time.Millisecond
	faults := storetest.Faults{
		Outage:          f.Outage,
		LostReplies:     f.LostReplies,
		DroppedRequests: f.DroppedRequests,
		LateWrites:      f.LateWrites,
		DuplicateWrites: f.DuplicateWrites,
		LateBy:          time.Duration(f.LateByMs) * time.Millisecond,
		VMLag:           time.Duration(f.VMLagMs) * time.Millisecond,
		ReadsPerSecond:  f.ReadsPerSecond,
		WritesPerSecond: f.WritesPerSecond,
	}
	if delay > 0 {
		faults.Delay = func(ctx context.Context, c storetest.Call) {
			if c.Stage == storetest.BeforeEffect {
				standin.Sleep(ctx, delay)
			}
		}
	}
	return faults
}

// writeError replies with an error, or closes the connection if the injected fault
// leaves the request without a reply.
func writeError(w http.ResponseWriter, err error) {
	var conflict *store.ConflictError
	var missing *store.NotFoundError
	switch {
	case errors.Is(err, storetest.ErrLost):
		standin.Drop()
	case errors.As(err, &conflict):
		standin.WriteJSON(w, http.StatusConflict, ConflictReply{conflict.Current})
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		standin.Refuse(w, http.StatusServiceUnavailable, err.Error())
	}
}
