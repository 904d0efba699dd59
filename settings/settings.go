// Package settings reads the settings of a process from an INI file, the
// environment and flags, and reports all problems at once. It does not handle
// the configuration that is published at run time: see package objects.
//
// A section is a struct with tagged fields:
//
//	type Settings struct {
//		// Listen is the address of the caller API. Default 127.0.0.1:8080.
//		Listen string `ini:"listen" default:"127.0.0.1:8080" check:"hostport"`
//		// Drain is the delay before listeners close. 0s to 5m, default 3s.
//		Drain time.Duration `ini:"drain" default:"3s" min:"0s" max:"5m"`
//	}
//
// Supported field types: string, bool, int, int64, float64, time.Duration and
// []string (comma separated). Tags: ini (key), default, min and max (numbers and
// durations), check (hostport, url), oneof (space separated), required:"true",
// secret:"true" (the value is never printed).
package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// EnvPrefix is the prefix of environment variables that override settings:
// AUBURNLEAD_<SECTION>_<KEY> in upper case, with "-" and "." replaced by "_".
const EnvPrefix = "AUBURNLEAD_"

// Validator is implemented by sections with rules that involve several fields.
// File and Section of the returned problems are filled in by Bind.
type Validator interface {
	Validate() []Problem
}

// Problem describes one invalid setting and how to correct it.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Detail  string `json:"detail"`
	Allowed string `json:"allowed,omitempty"`
	Remedy  string `json:"remedy"`
}

func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: [%s]", p.File, p.Section)
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Detail)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	fmt.Fprintf(&b, "; %s", p.Remedy)
	return b.String()
}

// Error lists every problem found in the settings.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings: %d problems; correct them and start again", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Source is a settings file together with its overrides.
type Source struct {
	name      string
	file      *ini.File
	overrides map[string]string // from --set flags, "section.key" to value
	env       func(string) (string, bool)
}

// Open reads a settings file. With an empty path, the source has only overrides,
// environment variables and defaults. Each override has the form
// section.key=value.
func Open(path string, overrides []string) (*Source, error) {
	if path == "" {
		return Parse("(no file)", nil, overrides)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w; name an existing file with --settings", err)
	}
	return Parse(path, data, overrides)
}

// Parse parses the content of a settings file. The name appears in problems.
// Errors: *Error.
func Parse(name string, data []byte, overrides []string) (*Source, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false, SpaceBeforeInlineComment: true}, append([]byte{}, data...))
	if err != nil {
		return nil, &Error{Problems: []Problem{{File: name, Section: "", Detail: err.Error(), Remedy: "write each line as [section], key = value or a comment"}}}
	}
	s := &Source{name: name, file: f, overrides: map[string]string{}, env: os.LookupEnv}
	for _, o := range overrides {
		key, value, ok := strings.Cut(o, "=")
		if !ok || !strings.Contains(key, ".") {
			return nil, &Error{Problems: []Problem{{File: "--set", Section: key, Detail: "not of the form section.key=value", Remedy: "write for example --set caller.listen=127.0.0.1:8080"}}}
		}
		s.overrides[key] = value
	}
	return s, nil
}

// Bind fills the struct pointer of each section from the source. Sections and
// keys without a struct or field are problems. Errors: *Error with every
// problem.
func (s *Source) Bind(sections map[string]any) error {
	var problems []Problem
	used := map[string]bool{}
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		problems = append(problems, s.bindSection(name, sections[name], used)...)
	}
	problems = append(problems, s.unknownKeys(sections, used)...)
	if len(problems) > 0 {
		return &Error{Problems: problems}
	}
	return nil
}

func (s *Source) bindSection(section string, target any, used map[string]bool) []Problem {
	var problems []Problem
	v := reflect.ValueOf(target).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := field.Tag.Get("ini")
		if key == "" {
			continue
		}
		used[section+"."+key] = true
		if err := setField(v.Field(i), field.Tag, s.lookup(section, key, field.Tag)); err != nil {
			problems = append(problems, s.newProblem(section, key, field.Tag, err))
		}
	}
	if len(problems) > 0 {
		return problems
	}
	if validator, ok := target.(Validator); ok {
		for _, p := range validator.Validate() {
			p.File, p.Section = s.name, section
			problems = append(problems, p)
		}
	}
	return problems
}

// lookup returns the text of a key: the override, the environment variable, the
// value in the file or the default, in this order of precedence. An empty value in
// the file counts as no value, since templates leave a value empty that they do not
// have.
func (s *Source) lookup(section, key string, tag reflect.StructTag) string {
	if v, ok := s.overrides[section+"."+key]; ok {
		return v
	}
	env := EnvPrefix + strings.ToUpper(strings.NewReplacer("-", "_", ".", "_").Replace(section+"_"+key))
	if v, ok := s.env(env); ok {
		return v
	}
	if sec, err := s.file.GetSection(section); err == nil && sec.HasKey(key) && sec.Key(key).Value() != "" {
		return sec.Key(key).Value()
	}
	return tag.Get("default")
}

func (s *Source) newProblem(section, key string, tag reflect.StructTag, err error) Problem {
	p := Problem{File: s.name, Section: section, Key: key, Detail: err.Error(), Allowed: allowedValues(tag), Remedy: "correct the value"}
	if d := tag.Get("default"); d != "" {
		p.Remedy = fmt.Sprintf("correct the value or remove the key to use the default %s", d)
	}
	var missing *missingError
	if errors.As(err, &missing) {
		p.Remedy = "set the key"
	}
	return p
}

// unknownKeys reports sections, keys and overrides that no struct field uses.
func (s *Source) unknownKeys(sections map[string]any, used map[string]bool) []Problem {
	var problems []Problem
	for _, sec := range s.file.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if _, ok := sections[sec.Name()]; !ok {
			problems = append(problems, Problem{File: s.name, Section: sec.Name(), Detail: "unknown section", Allowed: strings.Join(sortedKeys(sections), ", "), Remedy: "remove it or correct its name"})
			continue
		}
		for _, k := range sec.Keys() {
			if !used[sec.Name()+"."+k.Name()] {
				problems = append(problems, Problem{File: s.name, Section: sec.Name(), Key: k.Name(), Detail: "unknown key", Allowed: knownKeys(sec.Name(), used), Remedy: "remove it or correct its name"})
			}
		}
	}
	overrides := sortedKeys(s.overrides)
	for _, o := range overrides {
		if !used[o] {
			problems = append(problems, Problem{File: "--set", Section: o, Detail: "unknown key", Remedy: "remove the override or correct its name"})
		}
	}
	return problems
}

func knownKeys(section string, used map[string]bool) string {
	var keys []string
	for k := range used {
		if rest, ok := strings.CutPrefix(k, section+"."); ok {
			keys = append(keys, rest)
		}
	}
	sort.Strings(keys)
	return strings.Join(keys, ", ")
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
