// Package engine is the stand-in for a model engine: an OpenAI-style server
// with resumable streams, a prefix cache of limited size, priorities, load
// reports, cache events and orders. It generates text that depends only on the
// messages, so that a client can detect a response to another request.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// Settings are the stand-in's start-up settings. Zero values take the defaults.
type Settings struct {
	Listen string // IP:port
	ID     string // worker ID, shown in stats
	// Models are the models loaded at the start. Default rota-8b-v3.
	Models []string
	// Slots is the maximum number of concurrently running requests. Default 16.
	Slots int
	// QueueLimit is the maximum number of requests that wait for a slot.
	// Default 64.
	QueueLimit int
	// FirstToken is the delay of the first token. Default 0.
	FirstToken time.Duration
	// Prefill is the delay for each prompt token that is not cached. Default 0.
	Prefill time.Duration
	// Token is the delay between tokens. Default 0.
	Token time.Duration
	// CacheTokens is the size of the prefix cache. Default 1,000,000 tokens.
	CacheTokens int
	// ResumeGrace is the time after which a running attempt without a connection
	// is cancelled. Default 5 s.
	ResumeGrace time.Duration
	// Retain is the time for which an ended attempt can be resumed. Default 1 min.
	Retain time.Duration
	// ChecksFencing makes the engine refuse orders with an outdated fencing
	// token.
	ChecksFencing bool
}

// Number of tokens generated without max_tokens, and the maximum.
const (
	defaultMaxTokens = 16
	maxTokensLimit   = 32768
)

func (s Settings) withDefaults() Settings {
	if len(s.Models) == 0 {
		s.Models = []string{"rota-8b-v3"}
	}
	setDefault(&s.Slots, 16)
	setDefault(&s.QueueLimit, 64)
	setDefault(&s.CacheTokens, 1_000_000)
	setDefault(&s.ResumeGrace, 5*time.Second)
	setDefault(&s.Retain, time.Minute)
	return s
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Run serves the stand-in until ctx ends. It then waits up to 30 s for streams in
// flight.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	e := New(s)
	defer e.Close()
	return standin.Serve(ctx, s.Listen, e.Handler(), out)
}

// Handler serves the engine's protocol and the stand-in's own paths.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.handleChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/attempts/{id}", e.cancelAttempt).Methods(http.MethodDelete)
	r.HandleFunc("/v1/models", e.listModels).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", e.handleLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/events", e.cacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/export", e.exportKV).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/import", e.importKV).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.handleOrder).Methods(http.MethodPost)
	r.HandleFunc("/standin/behavior", e.setBehavior).Methods(http.MethodPost)
	r.HandleFunc("/standin/stats", e.getStats).Methods(http.MethodGet)
	return r
}
