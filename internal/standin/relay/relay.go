// Package relay is a TCP relay between two processes under test. On request it
// closes connections, or holds back or delays their data. This simulates
// a network partition or a slow link without privileges.
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

// Mode determines how the relay handles connections.
type Mode string

// Modes of the relay.
const (
	ModePass  Mode = "pass"  // forward immediately
	ModeCut   Mode = "cut"   // close all open and new connections
	ModeHold  Mode = "hold"  // keep connections open but forward nothing until the mode changes
	ModeDelay Mode = "delay" // forward each read after DelayMs
)

// bufferBytes is the maximum number of bytes read at once.
const bufferBytes = 32 << 10

// Settings are the relay's start-up settings.
type Settings struct {
	Listen  string // IP:port for connections to forward
	Control string // IP:port that serves POST /relay
	Target  string // IP:port that connections are forwarded to
}

// Behavior is the body of POST /relay, which replaces the current behavior. An
// empty target keeps the current one.
type Behavior struct {
	Mode    Mode   `json:"mode"`
	DelayMs int64  `json:"delay_ms"`
	Target  string `json:"target,omitempty"`
}

// Relay forwards connections.
type Relay struct {
	mu       sync.Mutex // leaf lock: no other lock is acquired while it is held
	behavior Behavior
	changed  chan struct{} // closed and replaced when behavior changes
	open     map[net.Conn]struct{}
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

// New returns a relay that forwards connections to the target.
func New(target string) *Relay {
	return &Relay{behavior: Behavior{Mode: ModePass, Target: target}, changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
}

// Handler serves POST /relay.
func (r *Relay) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/relay", func(w http.ResponseWriter, request *http.Request) {
		var b Behavior
		if !standin.ReadJSON(w, request, &b) {
			return
		}
		if err := r.Set(b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	return m
}

// Set replaces the behavior. ModeCut closes the open connections.
func (r *Relay) Set(b Behavior) error {
	switch b.Mode {
	case ModePass, ModeCut, ModeHold, ModeDelay:
	default:
		return fmt.Errorf("relay: unknown mode %q; use pass, cut, hold or delay", b.Mode)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Target == "" {
		b.Target = r.behavior.Target
	}
	r.behavior = b
	close(r.changed)
	r.changed = make(chan struct{})
	if b.Mode == ModeCut {
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

func (r *Relay) current() (Behavior, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.behavior, r.changed
}

// track registers a connection, so that a change to ModeCut closes it. It returns
// false if the mode is ModeCut already.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behavior.Mode == ModeCut {
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *Relay) closeConn(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
	_ = c.Close()
}

func (r *Relay) forward(ctx context.Context, c net.Conn) {
	defer r.closeConn(c)
	if !r.track(c) {
		return
	}
	b, _ := r.current()
	t, err := (&net.Dialer{}).DialContext(ctx, "tcp", b.Target)
	if err != nil {
		return
	}
	defer r.closeConn(t)
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

// pipe forwards one direction and closes both connections when it ends.
func (r *Relay) pipe(ctx context.Context, to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.waitToForward(ctx) {
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

// waitToForward waits until the data of one read may be forwarded. It returns
// false if the data must not be forwarded.
func (r *Relay) waitToForward(ctx context.Context) bool {
	for {
		b, changed := r.current()
		switch b.Mode {
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
			return standin.Sleep(ctx, time.Duration(b.DelayMs)*time.Millisecond)
		}
		return true
	}
}
