package engine

import (
	"fmt"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// Behavior is the body of POST /standin/behavior, which replaces the current
// behavior. Frame numbers count the frames of one connection from 1; 0 disables a
// fault.
type Behavior struct {
	// Streams is the number of connections in which the faults are injected. With
	// 0, they are injected in all connections until the behavior is replaced.
	Streams   int `json:"streams"`
	CutAfter  int `json:"cut_after"`  // close the connection after this frame
	HangAfter int `json:"hang_after"` // send nothing after this frame
	ForeignAt int `json:"foreign_at"` // send a frame of another attempt before this one
	DoubleAt  int `json:"double_at"`  // send this frame twice
	ReorderAt int `json:"reorder_at"` // send this frame after the next one
	// Refuse refuses new attempts with the outcome not_run.
	Refuse bool `json:"refuse"`
	// Leaving sets leaving in the load report. New attempts are still run, and
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

// SetBehavior replaces the current behavior.
func (e *Engine) SetBehavior(b Behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = b
	switch {
	case !b.Leaving:
		e.leavingSince = time.Time{}
	case e.leavingSince.IsZero():
		e.leavingSince = time.Now()
	}
}

// takeBehavior returns the behavior for one connection and decrements Streams.
// After the last of the connections, no more faults are injected.
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

// frameWriter writes the frames of one connection and injects the faults.
type frameWriter struct {
	w          http.ResponseWriter
	flush      *http.ResponseController
	clientGone <-chan struct{} // closed when the client has disconnected
	attempt    string
	behavior   Behavior
	count      int    // frames of this connection so far
	delayed    string // frame to send after the next one
}

// writeFrame writes one frame. It returns false if the client has disconnected.
func (f *frameWriter) writeFrame(seq int, data string) bool {
	f.count++
	text := formatEvent(f.attempt, seq, data)
	if f.count == f.behavior.ForeignAt {
		text = formatEvent("foreign-"+f.attempt, seq, `{"choices":[{"index":0,"delta":{"content":"foreign "}}]}`) + text
	}
	if f.count == f.behavior.DoubleAt {
		text += text
	}
	if f.count == f.behavior.ReorderAt && data != endMarker {
		f.delayed = text
		return true
	}
	_, err := f.w.Write([]byte(text + f.delayed))
	f.delayed = ""
	if f.count == f.behavior.CutAfter {
		_ = f.flush.Flush()
		standin.Drop()
	}
	if f.count == f.behavior.HangAfter {
		_ = f.flush.Flush()
		<-f.clientGone
		return false
	}
	return err == nil
}

func formatEvent(attempt string, seq int, data string) string {
	return fmt.Sprintf("id: %s/%d\ndata: %s\n\n", attempt, seq, data)
}
