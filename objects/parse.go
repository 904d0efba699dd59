package objects

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes limits the text of a set to 4 MiB. A set for a fleet of the target
// size (1,100 workers) has about 110 KB.
const MaxBytes = 4 << 20

// Problem describes one error in a set and its remedy.
type Problem struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Detail  string `json:"detail"`
	Allowed string `json:"allowed,omitempty"`
	Remedy  string `json:"remedy"`
}

func (p Problem) String() string {
	var b strings.Builder
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Detail)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	fmt.Fprintf(&b, "; %s", p.Remedy)
	return strings.TrimPrefix(b.String(), ": ")
}

// ValidationError lists every problem found in a set.
type ValidationError struct {
	Name     string // name of the file; may be empty
	Problems []Problem
}

func (e *ValidationError) Error() string {
	lines := []string{fmt.Sprintf("objects: %d problems in the set; correct them and submit it again", len(e.Problems))}
	for _, p := range e.Problems {
		line := "  " + p.String()
		if e.Name != "" {
			line = "  " + e.Name + ": " + p.String()
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		Ranks:     map[string]*Rank{},
		Models:    map[string]*Model{},
		Callers:   map[string]*Caller{},
		Upstreams: map[string]*Upstream{},
		Routes:    map[string]*Route{},
	}
}

// Parse reads a set in INI format. The name appears in error messages. Parse
// checks the syntax of each value; Check checks ranges and references. Errors:
// *ValidationError with every problem.
func Parse(name string, data []byte) (*Set, error) {
	s, problems := parse(data)
	if err := newValidationError(name, problems); err != nil {
		return nil, err
	}
	return s, nil
}

// Load parses and checks a set. Errors: *ValidationError with every problem
// that Parse and Check find.
func Load(name string, data []byte) (*Set, error) {
	s, problems := parse(data)
	malformed := map[[2]string]bool{}
	for _, p := range problems {
		malformed[[2]string{p.Section, p.Key}] = true
	}
	if s != nil {
		for _, p := range check(s) {
			// A malformed value has been reported already.
			if !malformed[[2]string{p.Section, p.Key}] {
				problems = append(problems, p)
			}
		}
	}
	if err := newValidationError(name, problems); err != nil {
		return nil, err
	}
	return s, nil
}

// parse returns what could be parsed, together with the problems. The set is
// nil if the text is too long or is not INI.
func parse(data []byte) (*Set, []Problem) {
	if len(data) > MaxBytes {
		return nil, []Problem{{Detail: fmt.Sprintf("the set has %d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", MaxBytes), Remedy: "remove objects that are not used"}}
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		IgnoreContinuation:         true,
		PreserveSurroundedQuote:    true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, slices.Clone(data))
	if err != nil {
		return nil, []Problem{{Detail: err.Error(), Remedy: "write each line as [kind.name], key = value or a comment"}}
	}
	s := NewSet()
	var problems []Problem
	seen := map[string]bool{}
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if seen[sec.Name()] {
			problems = append(problems, Problem{Section: sec.Name(), Detail: "the section appears twice", Remedy: "merge the two sections or rename one"})
			continue
		}
		seen[sec.Name()] = true
		problems = append(problems, s.parseSection(sec)...)
	}
	for _, u := range s.Upstreams {
		slices.SortStableFunc(u.Workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
		slices.Sort(u.Draining)
	}
	return s, problems
}

func (s *Set) parseSection(sec *ini.Section) []Problem {
	kind, name, ok := strings.Cut(sec.Name(), ".")
	if !ok || !validName(name) {
		return []Problem{{Section: sec.Name(), Detail: "the section's name is not of the form kind.name", Allowed: "a kind, a dot and " + nameAllowed, Remedy: "correct the section's name"}}
	}
	switch Kind(kind) {
	case KindRank:
		s.Ranks[name] = &Rank{Name: name}
		return parseFields(sec, rankFields, s.Ranks[name])
	case KindModel:
		s.Models[name] = &Model{Name: name}
		return parseFields(sec, modelFields, s.Models[name])
	case KindCaller:
		s.Callers[name] = &Caller{Name: name}
		return parseFields(sec, callerFields, s.Callers[name])
	case KindUpstream:
		s.Upstreams[name] = &Upstream{Name: name}
		return parseFields(sec, upstreamFields, s.Upstreams[name])
	case KindRoute:
		s.Routes[name] = &Route{Name: name}
		return parseFields(sec, routeFields, s.Routes[name])
	}
	return []Problem{{Section: sec.Name(), Detail: fmt.Sprintf("unknown kind %q", kind), Allowed: "rank, model, caller, upstream, route", Remedy: "correct the kind or remove the section"}}
}

func parseFields[T any](sec *ini.Section, fields []field[T], o *T) []Problem {
	var problems []Problem
	known := make([]string, len(fields))
	for i, f := range fields {
		known[i] = f.key
		problems = append(problems, parseField(sec, f, o)...)
	}
	for _, k := range sec.Keys() {
		if !slices.Contains(known, k.Name()) {
			problems = append(problems, Problem{Section: sec.Name(), Key: k.Name(), Detail: "unknown key", Allowed: strings.Join(known, ", "), Remedy: "remove it or correct its name"})
		}
	}
	return problems
}

func parseField[T any](sec *ini.Section, f field[T], o *T) []Problem {
	var problems []Problem
	report := func(detail, remedy string) {
		problems = append(problems, Problem{Section: sec.Name(), Key: f.key, Detail: detail, Allowed: f.allowed, Remedy: remedy})
	}
	var values []string
	// HasKey would also find a key of the parent section.
	for _, k := range sec.Keys() {
		if k.Name() == f.key {
			values = k.ValueWithShadows()
		}
	}
	values = slices.DeleteFunc(slices.Clone(values), func(v string) bool { return v == "" })
	if len(values) > 1 && !f.repeated {
		report(fmt.Sprintf("the key appears %d times", len(values)), "keep one of the lines")
		values = values[:1]
	}
	if len(values) == 0 && f.required {
		report("no value given", "set the key")
	}
	if len(values) == 0 && f.defaultValue != "" {
		values = []string{f.defaultValue}
	}
	for _, v := range values {
		if err := f.set(o, v); err != nil {
			report(err.Error(), remedyFor(f))
		}
	}
	return problems
}

func remedyFor[T any](f field[T]) string {
	if f.defaultValue == "" {
		return "correct the value"
	}
	return "correct the value or remove the key to use the default " + f.defaultValue
}
