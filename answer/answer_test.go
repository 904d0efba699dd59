package answer

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/auburnlead/auburnlead/internal/proof"
)

// Guards against frames of other requests, duplicate frames and missing frames
// in the response to a caller.
func TestChecker(t *testing.T) {
	Convey("A checker delivers the frames of its attempt, each once and in order", t, func() {
		for _, c := range []struct {
			desc     string
			frames   string // id or id=data, separated by spaces
			expected string // data delivered, ! for the end marker
			drops    Drops
			gap      uint64 // sequence number received after a gap, 0 for no gap
		}{
			{"frames in order", "a/1 a/2 a/3=[DONE]", "a/1 a/2 !", Drops{}, 0},
			{"frames after the end marker", "a/1=[DONE] a/2 a/3", "!", Drops{AfterEnd: 2}, 0},
			{"frame of another attempt", "a/1 b/2 a/2", "a/1 a/2", Drops{OtherAttempt: 1}, 0},
			{"end marker of another attempt", "a/1 b/2=[DONE] a/2", "a/1 a/2", Drops{OtherAttempt: 1}, 0},
			{"duplicate frames", "a/1 a/1 a/2 a/1", "a/1 a/2", Drops{Duplicate: 2}, 0},
			{"duplicate end marker", "a/1=[DONE] a/1=[DONE]", "!", Drops{Duplicate: 1}, 0},
			{"invalid IDs", "a/1 = a a/ /2 a/02 a/+2 a/2x a/99999999999999999999 a/2", "a/1 a/2", Drops{InvalidID: 8}, 0},
			{"gap", "a/1 a/3", "a/1", Drops{}, 3},
			{"gap at the start", "a/2", "", Drops{}, 2},
			{"attempt ID with a slash", "x/a/1 a/1", "a/1", Drops{OtherAttempt: 1}, 0},
		} {
			Convey(c.desc, func() {
				checker := NewChecker("a")
				var got []string
				var incomplete *IncompleteError
				for f := range strings.FieldsSeq(c.frames) {
					id, data, hasData := strings.Cut(f, "=")
					if !hasData {
						data = id
					}
					verdict, err := checker.Check([]byte(id), []byte(data))
					errors.As(err, &incomplete)
					got = append(got, map[Verdict][]string{Deliver: {data}, End: {"!"}}[verdict]...)
				}
				So(strings.Join(got, " "), ShouldEqual, c.expected)
				So(checker.Drops(), ShouldEqual, c.drops)
				So(incomplete != nil, ShouldEqual, c.gap > 0)
				if incomplete != nil {
					So(incomplete.Got, ShouldEqual, c.gap)
					So(incomplete.LastEventID(), ShouldEqual, checker.LastEventID())
				}
			})
		}
		Convey("a connection that ends without the end marker is an error that names the last valid frame", func() {
			checker := NewChecker("a")
			_, _ = checker.Check([]byte("a/1"), nil)
			var incomplete *IncompleteError
			So(errors.As(checker.Finish(io.ErrUnexpectedEOF), &incomplete), ShouldBeTrue)
			So(incomplete.LastEventID(), ShouldEqual, "a/1")
			So(errors.Is(incomplete, io.ErrUnexpectedEOF), ShouldBeTrue)
			_, _ = checker.Check([]byte("a/2"), []byte("[DONE]"))
			So(checker.Finish(nil), ShouldBeNil)
		})
	})
}

// Guards against combinations of faults that corrupt a response: whatever
// frames arrive, the delivered ones must be a prefix of the attempt's own
// sequence.
func TestCheckerProperty(t *testing.T) {
	p := proof.Begin(t, proof.Claim{Guarantee: "R2", Kind: "property (rapid)", Faults: "frames of other attempts, missing, duplicate, reordered and forged frames, dropped connections"})
	rapid.Check(t, func(t *rapid.T) {
		p.History(0)
		checker := NewChecker("a")
		next, ended := uint64(1), false
		for range rapid.IntRange(0, 60).Draw(t, "frames") {
			attempt := rapid.SampledFrom([]string{"a", "a", "a", "b", "a/a", ""}).Draw(t, "attempt")
			sequence := uint64(max(int64(next)+rapid.Int64Range(-3, 2).Draw(t, "offset"), 0))
			data := rapid.SampledFrom([]string{"x", "x", "x", "x", "[DONE]"}).Draw(t, "data")
			p.Operations++
			verdict, err := checker.Check([]byte(attempt+"/"+strconv.FormatUint(sequence, 10)), []byte(data))
			expected := attempt == "a" && !ended && sequence == next
			if (verdict != Drop) != expected || (verdict == End) != (expected && data == "[DONE]") {
				t.Fatalf("frame %s/%d %q after %d: verdict %d", attempt, sequence, data, next-1, verdict)
			}
			if gap := attempt == "a" && !ended && sequence > next; (err != nil) != gap {
				t.Fatalf("frame %s/%d after %d: error %v", attempt, sequence, next-1, err)
			}
			if expected {
				next++
				ended = data == "[DONE]"
			}
		}
		if (checker.Finish(nil) == nil) != ended {
			t.Fatal("Finish has the wrong result")
		}
	})
}

var testLimits = Limits{LineBytes: 6000, EventBytes: 5900}

func readAll(stream io.Reader) (events []string, err error) {
	r := NewReader(stream, testLimits)
	defer r.Release()
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(e.ID)+"|"+string(e.Name)+"|"+string(e.Data))
	}
}

// Guards against streams that are split wrongly, and against unbounded memory
// for a line or an event.
func TestReader(t *testing.T) {
	Convey("A reader splits a stream into events", t, func() {
		long := strings.Repeat("x", 5000)
		for _, c := range []struct {
			desc, stream string
			expected     []string
			err          error
		}{
			{"fields", "id: a/1\nevent: e\ndata: x\n\n", []string{"a/1|e|x"}, io.EOF},
			{"no space, CRLF, comments", ":c\r\nid:a/1\r\ndata:x\r\nretry: 5\r\n\r\n", []string{"a/1||x"}, io.EOF},
			{"several data lines", "data: x\ndata:\ndata:  y\n\n", []string{"||x\n\n y"}, io.EOF},
			{"no data", "id: a/1\n\ndata: x\n\n", []string{"||x"}, io.EOF},
			{"byte order mark", "\xef\xbb\xbfdata: x\n\n", []string{"||x"}, io.EOF},
			{"truncated event", "data: x\n\ndata: y\n", []string{"||x"}, io.EOF},
			{"longer than the buffer", "data: " + long + "\n\ndata: y\n\n", []string{"||" + long, "||y"}, io.EOF},
			{"carriage return inside a line", "data: x\rdata: [DONE]\n\n", nil, errLoneCR},
			{"line too long", "data: " + long + long, nil, &LimitError{"line", 6000}},
			{"event too long", "data: " + long + "\ndata: " + long + "\n\n", nil, &LimitError{"event", 5900}},
		} {
			Convey(c.desc, func() {
				events, err := readAll(strings.NewReader(c.stream))
				So(events, ShouldResemble, c.expected)
				So(err, ShouldResemble, c.err)
				slow, err := readAll(iotest.OneByteReader(strings.NewReader(c.stream)))
				So(slow, ShouldResemble, c.expected)
				So(err, ShouldResemble, c.err)
			})
		}
	})
}

// Guards against crashes, events beyond the limits and results that depend on
// how the network splits a stream.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: a/1\ndata: x\n\n"))
	f.Add([]byte("\xef\xbb\xbf:\r\ndata\ndata:x\n\nid:\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, err := readAll(bytes.NewReader(stream))
		split, splitErr := readAll(iotest.OneByteReader(bytes.NewReader(stream)))
		if strings.Join(whole, "\x00") != strings.Join(split, "\x00") || (err == io.EOF) != (splitErr == io.EOF) {
			t.Fatalf("whole %q %v, split %q %v", whole, err, split, splitErr)
		}
		for _, e := range whole {
			// The ID and the name of an event are at most one line each.
			if len(e) > testLimits.EventBytes+2*testLimits.LineBytes || strings.ContainsRune(e, '\r') {
				t.Fatalf("event %q exceeds a limit or contains a carriage return", e)
			}
		}
	})
}

// Guards against assembled responses that differ from their chunks.
func TestAssembler(t *testing.T) {
	Convey("An assembler builds a chat.completion", t, func() {
		a := NewAssembler(1000)
		for _, c := range []string{
			`{"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":1,"delta":{"role":"assistant","content":"B"}},{"index":0,"delta":{"role":"assistant","content":"A"}}]}`,
			`{"id":"c1","choices":[{"index":0,"delta":{"content":"a\n","tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"x\""}}]}}]}`,
			`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
			`{"id":"c1","choices":[{"index":1,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3}}`,
		} {
			So(a.Add([]byte(c)), ShouldBeNil)
		}
		body, err := a.JSON()
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, `{"id":"c1","object":"chat.completion","created":7,"model":"m","choices":[`+
			`{"index":0,"message":{"role":"assistant","content":"Aa\n","tool_calls":[{"id":"t","type":"function","function":{"name":"f","arguments":"{\"x\":1}"}}]},"logprobs":null,"finish_reason":"tool_calls"},`+
			`{"index":1,"message":{"role":"assistant","content":"B"},"logprobs":null,"finish_reason":"stop"}],"usage":{"prompt_tokens":3}}`)
	})
	Convey("It refuses malformed and oversized chunks", t, func() {
		for _, bad := range []string{`{`, `{"choices":[{"index":-1}]}`, `{"choices":[{"index":128}]}`, `{"choices":[{"delta":{"tool_calls":[{"index":1}]}}]}`} {
			So(NewAssembler(1000).Add([]byte(bad)), ShouldNotBeNil)
		}
		var limit *LimitError
		So(errors.As(NewAssembler(10).Add([]byte(`{"choices":[]}`)), &limit), ShouldBeTrue)
	})
}

// repeatReader is an endless stream of one event.
type repeatReader struct {
	event  []byte
	offset int
}

func (r *repeatReader) Read(b []byte) (int, error) {
	n := copy(b, r.event[r.offset:])
	r.offset = (r.offset + n) % len(r.event)
	return n, nil
}

// BenchmarkFrame measures reading and checking one frame of usual size.
func BenchmarkFrame(b *testing.B) {
	event := []byte("id: attempt-1/1\ndata: {\"id\":\"chatcmpl-attempt-1\",\"object\":\"chat.completion.chunk\",\"created\":1700000000,\"model\":\"rota-8b-v3\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" well\"},\"finish_reason\":null}]}\n\n")
	r := NewReader(&repeatReader{event: event}, testLimits)
	defer r.Release()
	checker := NewChecker("attempt-1")
	b.SetBytes(int64(len(event)))
	b.ReportAllocs()
	for b.Loop() {
		e, err := r.Next()
		if err != nil {
			b.Fatal(err)
		}
		checker.last = 0 // every frame has sequence number 1
		if verdict, _ := checker.Check(e.ID, e.Data); verdict != Deliver {
			b.Fatal("frame dropped")
		}
	}
}

// Guards against an allocation per frame, whose cost would grow with the number
// of open streams.
func TestFrameAllocatesNothing(t *testing.T) {
	r := NewReader(&repeatReader{event: []byte("id: a/1\ndata: {\"choices\":[]}\n\n")}, testLimits)
	defer r.Release()
	checker := NewChecker("a")
	n := testing.AllocsPerRun(1000, func() {
		e, _ := r.Next()
		_, _ = checker.Check(e.ID, e.Data)
	})
	if n > 0 {
		t.Fatalf("%v allocations per frame, expected none", n)
	}
}
