package engine

import (
	"fmt"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// Behavior is the body of POST /standin/behavior; it replaces the behaviour in
// force. Frame numbers count the frames of one connection from 1; 0 is off.
type Behavior struct {
	// Streams is the number of connections that misbehave; 0 for all until
	// the behaviour is replaced.
	Streams   int `json:"streams"`
	CutAfter  int `json:"cut_after"`  // close the connection after this frame
	HangAfter int `json:"hang_after"` // send nothing after this frame
	ForeignAt int `json:"foreign_at"` // send a frame of another attempt before this one
	DoubleAt  int `json:"double_at"`  // send this frame twice
	ReorderAt int `json:"reorder_at"` // send this frame after the next one
	// Refuse states not_run to new attempts.
	Refuse bool `json:"refuse"`
	// Leaving sets leaving in the load report. New attempts are still run and
	// counted in the stats.
	Leaving bool `json:"leaving"`
}

func (e *Engine) setBehavior(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	e.SetBehavior(b)
	w.WriteHeader(http.StatusNoContent)
}

// SetBehavior replaces the behaviour in force.
func (e *Engine) SetBehavior(b Behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = b
	switch {
	case !b.Leaving:
		e.leaving = time.Time{}
	case e.leaving.IsZero():
		e.leaving = time.Now()
	}
}

// takeBehavior returns the behaviour for one connection.
func (e *Engine) takeBehavior() Behavior {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.behavior
	if b.Streams == 1 {
		e.behavior = Behavior{Refuse: b.Refuse, Leaving: b.Leaving}
	}
	if b.Streams > 1 {
		e.behavior.Streams--
	}
	return b
}

// frameWriter writes the frames of one connection and makes it misbehave.
type frameWriter struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	done    <-chan struct{} // closed when the client is gone
	attempt string
	b       Behavior
	sent    int
	held    string // a frame that is sent after the next one
}

// frame writes one frame and reports false when the client is gone.
func (f *frameWriter) frame(seq int, data string) bool {
	f.sent++
	text := event(f.attempt, seq, data)
	if f.sent == f.b.ForeignAt {
		text = event("foreign-"+f.attempt, seq, `{"choices":[{"index":0,"delta":{"content":"foreign "}}]}`) + text
	}
	if f.sent == f.b.DoubleAt {
		text += text
	}
	if f.sent == f.b.ReorderAt && data != doneData {
		f.held = text
		return true
	}
	_, err := f.w.Write([]byte(text + f.held))
	f.held = ""
	if f.sent == f.b.CutAfter {
		_ = f.flush.Flush()
		standin.Drop()
	}
	if f.sent == f.b.HangAfter {
		_ = f.flush.Flush()
		<-f.done
		return false
	}
	return err == nil
}

func event(attempt string, seq int, data string) string {
	return fmt.Sprintf("id: %s/%d\ndata: %s\n\n", attempt, seq, data)
}
