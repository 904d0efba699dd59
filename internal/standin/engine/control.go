package engine

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// LoadReport is the response to GET /v1/load.
type LoadReport struct {
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	Limit        int      `json:"limit"`
	Leaving      bool     `json:"leaving"`
	Models       []string `json:"models"`
	Role         string   `json:"role"`
	FencingToken uint64   `json:"fencing_token"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	Order        string `json:"order"` // load, unload or role
	Model        string `json:"model,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken uint64 `json:"fencing_token"`
	// Refused is set in the stats if the fencing token was outdated.
	Refused bool `json:"refused,omitempty"`
}

// Events is the response to GET /v1/cache/events?after=N. Next is the value of
// after for the next request.
type Events struct {
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"` // some events after N are missing
	Events []CacheEvent `json:"events"`
}

// KV is an exported part of the cache.
type KV struct {
	Prefixes []Prefix `json:"prefixes"`
}

// cancelAttempt cancels an attempt and responds when it has released its slot.
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

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.LoadReport())
}

// LoadReport returns the load report.
func (e *Engine) LoadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LoadReport{e.running, len(e.queue), e.settings.Slots, !e.leavingSince.IsZero(), slices.Clone(e.models), e.role, e.fencingToken}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events, gap := e.cache.eventsSince(after)
	next := e.cache.nextSeq - 1
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, Events{next, gap, events})
}

// exportKV responds with the cached prefixes of the chat in the body.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var req Request
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	cached := e.cache.cachedPrefixes(prefixes(req.Model, req.Messages))
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, KV{cached})
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

// handleOrder executes an order. It responds with 409 if the engine checks fencing
// tokens and the token is outdated, and with 400 if the order is unknown.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	if !slices.Contains([]string{"load", "unload", "role"}, o.Order) {
		http.Error(w, "order is not load, unload or role", http.StatusBadRequest)
		return
	}
	o = e.applyOrder(o)
	status := http.StatusOK
	if o.Refused {
		status = http.StatusConflict
	}
	standin.WriteJSON(w, status, e.LoadReport())
}

// applyOrder records an order and executes it unless it is refused.
func (e *Engine) applyOrder(o Order) Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.Refused = e.settings.ChecksFencing && o.FencingToken < e.fencingToken
	e.orders = append(e.orders, o)
	if o.Refused {
		return o
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
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
