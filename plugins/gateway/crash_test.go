package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
)

// Guards against lost answers whose log lines cannot be related to the prompts that
// the worker was working on.
func TestLostAnswerNamesPromptParts(t *testing.T) {
	inBubble(t, "The line of a failed attempt has all shared parts of the prompt", engines(1), func(h *harness) {
		var lines strings.Builder
		h.decisions.lines = boundedlog.New(log.New(&lines), 100)
		h.setHandlers(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		h.call("POST", "/chat/once/x", testPrompt, "10 11 12")
		So(lines.String(), ShouldContainSubstring, `shared_parts=a,b `)
	})
}

// Guards against workers that count as crashed because they break off single answers
// or leave as planned.
func TestLostAnswersOfLiveWorkers(t *testing.T) {
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testSeal, "s")
		_ = http.NewResponseController(w).Flush() // the caller may have disconnected
		panic(http.ErrAbortHandler)
	}
	inBubble(t, "Workers that break off answers and go on quarantine nothing", engines(6), func(h *harness) {
		h.setHandlers(cut)
		for i := range 30 {
			resp, _ := h.call("POST", "/chat/once/x", testPrompt, fmt.Sprintf("10 11 %d", i+100))
			So(resp.Code, ShouldEqual, http.StatusBadGateway)
			sleep(time.Second)
		}
		So(h.requestCount(), ShouldEqual, 30)
	})
	inBubble(t, "A worker that drains and ends within its requests quarantines nothing", engines(6), func(h *harness) {
		list := testList{engines(6)}
		for i := range 4 {
			w := h.workers[fmt.Sprintf("engine-%d", i)]
			list.workers[i].Draining = true
			h.crashes.handleLostAnswer(h.fleet.Worker(w.ID), []uint64{10})
			h.network.setListener(w.Address, nil)
			h.applyWorkers(list.Workers())
			sleep(time.Second)
		}
		_, quarantined, _ := h.crashes.tracker.Find(time.Now(), []uint64{10})
		So(quarantined, ShouldBeFalse)
	})
}

// Guards against prompts that are suspected because a worker crashed long after their
// answers had begun.
func TestCrashAfterLongAnswers(t *testing.T) {
	inBubble(t, "An answer that has gone on for a while leaves no evidence, one that has just begun does", engines(2), func(h *harness) {
		crashAfter := func(events int) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(testSeal, "s")
				streamEvents(w, events)
				h.network.setListener(h.workers[r.Header.Get(testWorker)].Address, nil)
				panic(http.ErrAbortHandler)
			}
		}
		for i, n := range []int{10, 1} {
			h.setHandlers(crashAfter(n))
			h.call("POST", "/chat/once/x", testPrompt, fmt.Sprintf("1%d 12", i))
			sleep(time.Second)
			So(h.crashes.tracker.IsSuspected([]uint64{uint64(10 + i)}), ShouldEqual, n == 1)
		}
	})
}

// streamEvents writes events with a pause of 100 ms after each.
func streamEvents(w http.ResponseWriter, n int) {
	for i := 1; i <= n; i++ {
		events(w, i, i)
		sleep(100 * time.Millisecond)
	}
}

// Guards against a crash that clears the prompt which caused it: an answer without a
// length and chunks ends like a complete one.
func TestCrashAtEndOfUnframedAnswer(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		inBubble(t, fmt.Sprintf("An answer without a length clears a suspected part only if its worker goes on (crash: %v)", crashes), engines(1), func(h *harness) {
			h.startRawWorker("engine-0:1", func(conn net.Conn, id string) bool {
				_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nid: 1\ndata: e1\n\n", testID, id, testSeal))
				if crashes {
					h.network.setListener("engine-0:1", nil)
				}
				return false
			})
			for i := range uint32(2) {
				h.crashes.tracker.RecordCrash(time.Now(), i, []uint64{10})
				sleep(time.Second)
			}
			h.call("POST", "/chat/once/x", testPrompt, "10 12")
			sleep(2 * settleTime)
			h.crashes.tracker.RecordCrash(time.Now(), 2, []uint64{10})
			sleep(time.Second)
			_, quarantined, _ := h.crashes.tracker.Find(time.Now(), []uint64{10})
			So(quarantined, ShouldEqual, crashes)
		})
	}
}

// Guards against messages with each round of gossip that nobody needs.
func TestSharePace(t *testing.T) {
	Convey("Each round is due after a change, one per second later, and each for a router that starts", t, func() {
		var p sharePace
		changedAt := time.Unix(1_000_000, 0)
		due := func(from time.Duration) (n int) {
			for round := range 8 {
				if p.isDue(changedAt.Add(from+time.Duration(round)*250*time.Millisecond), changedAt, false) {
					n++
				}
			}
			return n
		}
		So(due(0), ShouldEqual, 8)
		So(due(10*time.Second), ShouldEqual, 2)
		So(p.isDue(changedAt.Add(12*time.Second), changedAt, true), ShouldBeTrue)
	})
}

// Guards against a refusal that does not say when the request can be served, and
// against a request that ran and is called not run because its prompt part is
// quarantined meanwhile.
func TestQuarantinedRequest(t *testing.T) {
	inBubble(t, "A request with a quarantined part is refused until the quarantine ends, others are served", engines(3), func(h *harness) {
		h.setHandlers(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testSeal, "s")
			events(w, 1, 2)
		})
		for i := range uint32(3) {
			h.crashes.tracker.RecordCrash(time.Now(), i, []uint64{11})
			sleep(time.Second)
		}
		resp, _ := h.call("POST", "/chat/x", testPrompt, "10 11 12")
		So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Body.String(), ShouldContainSubstring, "not_run")
		wait, err := strconv.ParseFloat(resp.Header().Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(wait, ShouldBeBetween, 590, 602)
		So(h.requestCount(), ShouldEqual, 0)
		for _, prompt := range []string{"10 12", "10 12 11", "11", ""} {
			resp, _ = h.call("POST", "/chat/x", testPrompt, prompt)
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
		sleep(time.Duration(wait * float64(time.Second)))
		resp, _ = h.call("POST", "/chat/x", testPrompt, "10 11 12")
		So(resp.Code, ShouldEqual, http.StatusOK)
	})
	inBubble(t, "A request that crashed a worker is not sent again under quarantine, and its outcome is unknown", engines(3), func(h *harness) {
		for i := range uint32(2) {
			h.crashes.tracker.RecordCrash(time.Now(), i, []uint64{11})
			sleep(time.Second)
		}
		h.setHandlers(func(http.ResponseWriter, *http.Request) {
			h.crashes.tracker.RecordCrash(time.Now(), 3, []uint64{11})
			sleep(time.Second)
			panic(http.ErrAbortHandler)
		})
		resp, _ := h.call("POST", "/chat/x", testPrompt, "10 11 12")
		So(resp.Code, ShouldEqual, http.StatusBadGateway)
		So(h.requestCount(), ShouldEqual, 1)
	})
}

// Guards against a stream that broke off before its first event and reaches the caller
// as a complete success, because it has neither a length nor chunks.
func TestStreamCutBeforeFirstEvent(t *testing.T) {
	head := func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n", testID, id, testSeal))
	}
	inBubble(t, "A stream without a length, chunks and events is not complete", engines(1), func(h *harness) {
		h.startRawWorker("engine-0:1", func(conn net.Conn, id string) bool {
			head(conn, id)
			return false
		})
		resp, _ := h.call("POST", "/chat/once/x", testPrompt, "10 11 12")
		So(resp.Code, ShouldEqual, http.StatusBadGateway)
	})
	inBubble(t, "One that ends between two events is complete, and so is one of which two workers say that no event is left", engines(2), func(h *harness) {
		asked := 0
		for _, w := range h.workers {
			h.startRawWorker(w.Address, func(conn net.Conn, id string) bool {
				head(conn, id)
				if id == "resumed" {
					asked++
					return false
				}
				_, _ = io.WriteString(conn, "id: 1\ndata: e1\n\n")
				return false
			})
		}
		resp, aborted := h.call("POST", "/chat/once/x", testPrompt, "10 11 12")
		So(aborted, ShouldBeFalse)
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(resp.Body.String(), ShouldEqual, "id: 1\ndata: e1\n\n")
		resp, aborted = h.call("POST", "/chat/x", testID, "resumed", testLastEventID, "1")
		So(aborted, ShouldBeFalse)
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(asked, ShouldEqual, 2)
	})
}
