package objects

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/auburnlead/auburnlead/internal/proof" // sets the seed of rapid
)

const validSet = `
; a comment
[rank.urgent]
priority = 0
floor = 0.3
[rank.bulk]
priority = 1   ; another comment
[model.m2]
weights = rota-8b/v2
[model.m3]
weights = rota-8b/v3
fallback = m2
[caller.clerks]
key_sha256 = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
ranks = urgent, bulk
default_rank = bulk
models = m3
services = desk
[upstream.pool]
kind = engine
models = m3, m2
worker = e2 west-a http://127.0.0.1:9002
worker = e1 west-a http://127.0.0.1:9001
draining = e2
[upstream.desk]
kind = service
once_methods = POST
worker = d1 west-b http://[::1]:9101
`

// Guards against defaults that differ from the documented ones and against
// repeated worker lines that overwrite one another.
func TestLoad(t *testing.T) {
	Convey("A set is parsed with defaults and with every worker line", t, func() {
		s, err := Load("set.ini", []byte(validSet))
		So(err, ShouldBeNil)
		So(s.Ranks["urgent"], ShouldResemble, &Rank{"urgent", 0, 0.3, time.Second, 2 * time.Minute, 200})
		So(s.Ranks["bulk"].Priority, ShouldEqual, 1)
		So(s.Models["m3"], ShouldResemble, &Model{"m3", "rota-8b/v3", 8192, "m2"})
		So(s.Upstreams["pool"].Workers, ShouldResemble, []Worker{{"e1", "west-a", "http://127.0.0.1:9001"}, {"e2", "west-a", "http://127.0.0.1:9002"}})
		So(s.Upstreams["pool"].LoadBound, ShouldEqual, 1.25)
		So(s.Upstreams["pool"].IsDraining("e2"), ShouldBeTrue)
	})
}

// Guards against invalid sets that pass the check, and against a problem that
// hides another one.
func TestProblems(t *testing.T) {
	tests := []struct {
		desc, old, new string
		expected       string // section, key and beginning of the detail
	}{
		{"malformed number", "priority = 0", "priority = x", "rank.urgent priority: \"x\" is not a whole number"},
		{"number out of range", "priority = 0", "priority = 10", "rank.urgent priority: 10 is outside"},
		{"duplicate priority", "priority = 1", "priority = 0", "rank.urgent priority: rank bulk has priority 0 too"},
		{"missing key", "priority = 0", "", "rank.urgent priority: no value given"},
		{"floors above 1", "floor = 0.3", "floor = 0.9\n[rank.third]\npriority = 2\nfloor = 0.2", "rank floor: the floors add up to 1.1"},
		{"floor not a number", "floor = 0.3", "floor = nan", "rank.urgent floor: \"nan\" is not a number"},
		{"unknown key", "floor = 0.3", "flor = 0.3", "rank.urgent flor: unknown key"},
		{"unknown kind", "[model.m2]", "[modle.m2]", "modle.m2 : unknown kind"},
		{"key twice", "floor = 0.3", "floor = 0.3\nfloor = 0.4", "rank.urgent floor: the key appears 2 times"},
		{"section twice", "[rank.bulk]", "[rank.urgent]\npriority = 4\n[rank.bulk]", "rank.urgent : the section appears twice"},
		{"fallback cycle", "weights = rota-8b/v2", "weights = rota-8b/v2\nfallback = m3", "model.m2 fallback: the fallbacks form a cycle"},
		{"fallback on itself", "weights = rota-8b/v2", "weights = rota-8b/v2\nfallback = m2", "model.m2 fallback: the fallbacks form a cycle"},
		{"unknown fallback", "fallback = m2", "fallback = m9", "model.m3 fallback: \"m9\" is not a model"},
		{"unknown rank", "ranks = urgent, bulk", "ranks = urgent, slow", "caller.clerks ranks: \"slow\" is not a rank"},
		{"default rank not allowed", "default_rank = bulk", "default_rank = slow", "caller.clerks default_rank: \"slow\" is not one"},
		{"engine as service", "services = desk", "services = pool", "caller.clerks services: \"pool\" is not an upstream of kind service"},
		{"bad key digest", "key_sha256 = 0011", "key_sha256 = ZZ11", "caller.clerks key_sha256: \"ZZ11"},
		{"duplicate worker", "worker = e2 ", "worker = e1 ", "upstream.pool worker: worker e1 appears twice"},
		{"host name in URL", "http://127.0.0.1:9001", "http://engine-1:9001", "upstream.pool worker: \"http://engine-1:9001\""},
		{"worker line too short", "worker = e1 west-a http://127.0.0.1:9001", "worker = e1", "upstream.pool worker: \"e1\" does not have three parts"},
		{"unknown worker draining", "draining = e2", "draining = e7", "upstream.pool draining: \"e7\" is not a worker"},
		{"load bound", "draining = e2", "load_bound = 1", "upstream.pool load_bound: 1 is outside"},
		{"managed without load reports", "draining = e2", "manage_models = true", "upstream.pool manage_models: the models of workers that report no load"},
		{"method", "once_methods = POST", "once_methods = GET", "upstream.desk once_methods: \"GET\" is not allowed"},
	}
	for _, test := range tests {
		Convey(test.desc, t, func() {
			text := strings.Replace(validSet, test.old, test.new, 1)
			So(text, ShouldNotEqual, validSet)
			So(strings.Join(problemsOf(text), "\n"), ShouldContainSubstring, test.expected)
		})
	}
	Convey("All problems are reported at once, each with a remedy", t, func() {
		text := validSet
		for _, test := range tests[:1] {
			text = strings.Replace(text, test.old, test.new, 1)
		}
		text = strings.NewReplacer("fallback = m2", "fallback = m9", "draining = e2", "draining = e7", "floor = 0.3", "flor = 1").Replace(text)
		So(len(problemsOf(text)), ShouldEqual, 4)
	})
	Convey("The number of reported problems is limited", t, func() {
		var b strings.Builder
		for i := range 3000 {
			fmt.Fprintf(&b, "[rank.r%d]\npriority = 3\n", i)
		}
		list := problemsOf(b.String())
		So(len(list), ShouldEqual, maxProblems+1)
		So(list[maxProblems], ShouldContainSubstring, "1999 more problems")
	})
	Convey("Callers with the same key are rejected", t, func() {
		s, err := Load("", []byte(validSet))
		So(err, ShouldBeNil)
		duplicate := *s.Callers["clerks"]
		duplicate.Name = "others"
		s.Callers["others"] = &duplicate
		So(Check(s).Error(), ShouldContainSubstring, "caller clerks has the same key")
	})
}

func problemsOf(text string) []string {
	_, err := Load("", []byte(text))
	var e *ValidationError
	if !errors.As(err, &e) {
		return nil
	}
	var list []string
	for _, p := range e.Problems {
		if p.Remedy == "" {
			list = append(list, "NO REMEDY")
		}
		list = append(list, fmt.Sprintf("%s %s: %s", p.Section, p.Key, p.Detail))
	}
	return list
}

// drawSet draws a random valid set.
func drawSet(t *rapid.T) *Set {
	s := NewSet()
	name := rapid.StringMatching(`[a-zA-Z0-9][a-zA-Z0-9._-]{0,6}`)
	ranks := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID[string]).Draw(t, "ranks")
	for i, n := range ranks {
		s.Ranks[n] = &Rank{
			Name: n, Priority: i, Floor: rapid.Float64Range(0, 0.25).Draw(t, "floor"),
			TargetWait:  time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "wait")),
			MaxDuration: time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Hour)).Draw(t, "duration")),
			QueueLimit:  rapid.IntRange(1, 100000).Draw(t, "queue"),
		}
	}
	models := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID[string]).Draw(t, "models")
	for i, n := range models {
		s.Models[n] = &Model{Name: n, Weights: rapid.StringMatching(`[a-z0-9/:@+._-]{1,20}`).Draw(t, "weights"), ContextTokens: rapid.IntRange(1, 1e7).Draw(t, "context")}
		if i > 0 && rapid.Bool().Draw(t, "falls back") {
			s.Models[n].Fallback = models[i-1]
		}
	}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID[string]).Draw(t, "callers") {
		s.Callers[n] = &Caller{
			Name: n, KeySHA256: fmt.Sprintf("%064x", len(s.Callers)), Ranks: ranks, DefaultRank: rapid.SampledFrom(ranks).Draw(t, "default"),
			Models: models, Weight: rapid.Float64Range(0.001, 1000).Draw(t, "weight"), Diagnostics: rapid.Bool().Draw(t, "diagnostics"),
		}
	}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID[string]).Draw(t, "upstreams") {
		u := &Upstream{Name: n, Kind: UpstreamService, LoadBound: rapid.Float64Range(1.05, 100).Draw(t, "bound"), MaxInFlight: rapid.IntRange(1, 4096).Draw(t, "limit")}
		if rapid.Bool().Draw(t, "engine") {
			u.Kind, u.Models = UpstreamEngine, models
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
			u.Workers = append(u.Workers, Worker{fmt.Sprintf("w%02d", i), "a", fmt.Sprintf("http://10.0.0.%d:80", i)})
		}
		if rapid.Bool().Draw(t, "drains") {
			u.Draining = []string{u.Workers[0].ID}
		}
		s.Upstreams[n] = u
	}
	return s
}

// Guards against a formatted or encoded set that parses to a different one: get
// followed by apply must change nothing.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSet(t)
		if err := Check(s); err != nil {
			t.Fatal(err)
		}
		text := Format(s)
		back, err := Load("", text)
		if err != nil || !reflect.DeepEqual(s, back) || len(Diff(s, back)) > 0 {
			t.Fatalf("%v\n%s\n%s", err, text, Format(back))
		}
		body, _ := Encode(s)
		again, err := Decode(body)
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("%v\n%s", err, body)
		}
	})
}

// Guards against a diff that misses a difference: sets differ if and only if
// their diff is not empty.
func TestDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawSet(t), drawSet(t)
		if reflect.DeepEqual(a, b) != (len(Diff(a, b)) == 0) {
			t.Fatalf("diff %v of\n%s\n%s", Diff(a, b), Format(a), Format(b))
		}
	})
	a, _ := Load("", []byte(validSet))
	b, _ := Load("", []byte(strings.NewReplacer("priority = 1", "priority = 2", "draining = e2", "", "e1 west-a", "e1 west-b").Replace(validSet)))
	got := fmt.Sprint(Diff(a, b))
	want := `[changed [rank.bulk] priority: "1" -> "2" changed [upstream.pool] worker: "e1 west-a http://127.0.0.1:9001" -> "e1 west-b http://127.0.0.1:9001" changed [upstream.pool] draining: "e2" -> ""]`
	if got != want {
		t.Fatalf("got %s", got)
	}
}

// Guards against input that crashes the parser, and against valid sets that
// change when they are formatted and parsed again.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSet))
	f.Add([]byte("[rank.a]\npriority=0\n[caller.x]\nranks = \"a\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Load("fuzz.ini", text)
		if err != nil {
			return
		}
		back, err := Load("", Format(s))
		if err != nil || !reflect.DeepEqual(s, back) {
			t.Fatalf("%v\n%s", err, Format(s))
		}
	})
}
