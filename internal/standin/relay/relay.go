// Package relay is a TCP relay between two processes under test. On request it
// cuts, holds or delays the connections that pass through it, so that a
// network partition or a slow link can be set up without privileges.
package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// Mode is what the relay does with connections.
type Mode string

// Modes of the relay.
const (
	ModePass  Mode = "pass"  // forward at once
	ModeCut   Mode = "cut"   // close open connections and every new one
	ModeHold  Mode = "hold"  // keep connections open and forward nothing
	ModeDelay Mode = "delay" // forward each read after DelayMs
)

// bufferBytes bounds one read of a connection.
const bufferBytes = 32 << 10

// Settings are the relay's start-up settings.
type Settings struct {
	Listen  string // IP:port for the relayed connections
	Control string // IP:port of POST /relay
	Target  string // IP:port that connections are forwarded to
}

// Behavior is the body of POST /relay; it replaces the mode in force. An empty
// target keeps the one in force.
type Behavior struct {
	Mode    Mode   `json:"mode"`
	DelayMs int64  `json:"delay_ms"`
	Target  string `json:"target,omitempty"`
}

// Relay forwards connections.
type Relay struct {
	mu      sync.Mutex // leaf lock
	order   Behavior
	changed chan struct{} // closed and replaced with each order
	open    map[net.Conn]struct{}
}

// Run serves the relay until ctx ends. It prints one JSON line
// {"listen":"ip:port","control":"ip:port"}.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	data, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("relay: %w; choose a free address or port 0", err)
	}
	defer data.Close()
	control, err := net.Listen("tcp", s.Control)
	if err != nil {
		return fmt.Errorf("relay: %w; choose a free control address or port 0", err)
	}
	defer control.Close()
	r := New(s.Target)
	go r.Serve(ctx, data)
	srv := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(control) }()
	defer srv.Close()
	err = json.NewEncoder(out).Encode(struct {
		Listen  string `json:"listen"`
		Control string `json:"control"`
	}{data.Addr().String(), control.Addr().String()})
	if err != nil {
		return fmt.Errorf("relay: print the addresses: %w", err)
	}
	<-ctx.Done()
	return nil
}

// New returns a relay that passes connections on to the target.
func New(target string) *Relay {
	return &Relay{order: Behavior{Mode: ModePass, Target: target}, changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
}

// Handler serves POST /relay.
func (r *Relay) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/relay", func(w http.ResponseWriter, q *http.Request) {
		var o Behavior
		if !standin.ReadJSON(w, q, &o) {
			return
		}
		if err := r.Set(o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	return m
}

// Set replaces the mode. ModeCut closes the open connections.
func (r *Relay) Set(o Behavior) error {
	switch o.Mode {
	case ModePass, ModeCut, ModeHold, ModeDelay:
	default:
		return fmt.Errorf("relay: mode %q is not known; use pass, cut, hold or delay", o.Mode)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Target == "" {
		o.Target = r.order.Target
	}
	r.order = o
	close(r.changed)
	r.changed = make(chan struct{})
	if o.Mode == ModeCut {
		for c := range r.open {
			_ = c.Close()
		}
	}
	return nil
}

// Serve forwards the listener's connections until ctx ends.
func (r *Relay) Serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.forward(ctx, c)
	}
}

func (r *Relay) state() (Behavior, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.order, r.changed
}

// track registers a connection, so that a cut closes it. It reports false when
// the relay is cut.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order.Mode == ModeCut {
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
	_ = c.Close()
}

func (r *Relay) forward(ctx context.Context, c net.Conn) {
	defer r.drop(c)
	if !r.track(c) {
		return
	}
	o, _ := r.state()
	t, err := (&net.Dialer{}).DialContext(ctx, "tcp", o.Target)
	if err != nil {
		return
	}
	defer r.drop(t)
	if !r.track(t) {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close(); _ = t.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { r.pipe(ctx, t, c) })
	wg.Go(func() { r.pipe(ctx, c, t) })
	wg.Wait()
}

// pipe copies one direction and closes both connections at its end.
func (r *Relay) pipe(ctx context.Context, to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.wait(ctx) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait holds or delays one read and reports false when it must not be forwarded.
func (r *Relay) wait(ctx context.Context) bool {
	for {
		o, changed := r.state()
		switch o.Mode {
		case ModeCut:
			return false
		case ModeHold:
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return false
			}
		case ModeDelay:
			return standin.Sleep(ctx, time.Duration(o.DelayMs)*time.Millisecond)
		}
		return true
	}
}
