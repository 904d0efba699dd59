package engine

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// LoadReport is the answer to GET /v1/load.
type LoadReport struct {
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	Limit        int      `json:"limit"`
	Leaving      bool     `json:"leaving"`
	Models       []string `json:"models"`
	Role         string   `json:"role"`
	FencingToken uint64   `json:"fencing_token"`
}

// Order is the body of POST /v1/orders. Order is load, unload or role.
type Order struct {
	Order        string `json:"order"`
	Model        string `json:"model,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken uint64 `json:"fencing_token"`
	// Refused is set in the stats for an order with an old token.
	Refused bool `json:"refused,omitempty"`
}

// Events is the answer to GET /v1/cache/events?after=N. Next is the value of
// after for the following request.
type Events struct {
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"` // events after N are missing
	Events []CacheEvent `json:"events"`
}

// KV is a part of the cache as it is exported and imported.
type KV struct {
	Prefixes []Prefix `json:"prefixes"`
}

// cancelAttempt answers when the attempt has given its slot back.
func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	a := e.cancelByID(mux.Vars(r)["id"])
	if a == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	for _, state, changed := e.progress(a); state == stateQueued || state == stateRunning; _, state, changed = e.progress(a) {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) cancelByID(id string) *attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[id]
	if a != nil {
		a.cancel()
	}
	return a
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	var list struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	list.Object = "list"
	for _, id := range e.LoadReport().Models {
		list.Data = append(list.Data, model{id, "model"})
	}
	standin.WriteJSON(w, http.StatusOK, list)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.LoadReport())
}

// LoadReport returns the load report.
func (e *Engine) LoadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LoadReport{e.running, len(e.queue), e.s.Slots, !e.leaving.IsZero(), slices.Clone(e.models), e.role, e.fencing}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events, gap := e.cache.since(after)
	next := e.cache.next - 1
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, Events{next, gap, events})
}

// exportKV returns the cached prefixes of the chat in the body.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var req Request
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	known := e.cache.known(prefixes(req.Model, req.Messages))
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, KV{known})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if !standin.ReadJSON(w, r, &kv) {
		return
	}
	e.mu.Lock()
	e.cache.store(kv.Prefixes)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// order carries out an order. 409 answers an old fencing token when the engine
// checks it, 400 an unknown order.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	if !slices.Contains([]string{"load", "unload", "role"}, o.Order) {
		http.Error(w, "order is not load, unload or role", http.StatusBadRequest)
		return
	}
	o = e.obey(o)
	status := http.StatusOK
	if o.Refused {
		status = http.StatusConflict
	}
	standin.WriteJSON(w, status, e.LoadReport())
}

func (e *Engine) obey(o Order) Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.Refused = e.s.ChecksFencing && o.FencingToken < e.fencing
	e.orders = append(e.orders, o)
	if o.Refused {
		return o
	}
	e.fencing = max(e.fencing, o.FencingToken)
	switch o.Order {
	case "load":
		if !slices.Contains(e.models, o.Model) {
			e.models = append(e.models, o.Model)
		}
	case "unload":
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	case "role":
		e.role = o.Role
	}
	return o
}

func (e *Engine) getStats(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.Stats())
}
