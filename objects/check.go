package objects

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strings"
)

// Check verifies the ranges of all values and the references between objects.
// Errors: *ValidationError with every problem.
func Check(s *Set) error {
	return newValidationError("", check(s))
}

// newValidationError returns nil if there are no problems. It lists at most
// maxProblems of them and states how many more there are.
func newValidationError(name string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	if excess := len(problems) - maxProblems; excess > 0 {
		problems = append(problems[:maxProblems:maxProblems], Problem{Detail: fmt.Sprintf("%d more problems", excess), Remedy: "correct the ones above first"})
	}
	return &ValidationError{Name: name, Problems: problems}
}

// maxProblems limits the problems in one error, so that the report on a large
// file that is not an object set stays readable.
const maxProblems = 1000

// checker collects the problems of one set. No check takes quadratic time, since
// the text of a set can have up to MaxBytes.
type checker struct {
	set      *Set
	ranks    []string // sorted names
	models   []string
	services []string
	inCycle  map[string]bool // names of models in a cycle of fallbacks
	problems []Problem
}

func check(s *Set) []Problem {
	missing := missingObjects(nil, KindRank, s.Ranks)
	missing = missingObjects(missing, KindModel, s.Models)
	missing = missingObjects(missing, KindCaller, s.Callers)
	missing = missingObjects(missing, KindUpstream, s.Upstreams)
	if missing = missingObjects(missing, KindRoute, s.Routes); len(missing) > 0 {
		return missing
	}
	c := &checker{set: s, ranks: slices.Sorted(maps.Keys(s.Ranks)), models: slices.Sorted(maps.Keys(s.Models)), inCycle: modelsInCycles(s.Models)}
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		if s.Upstreams[name].Kind == UpstreamService {
			c.services = append(c.services, name)
		}
	}
	checkKind(c, KindRank, rankFields, s.Ranks, func(string, *Rank) {})
	c.checkRankSet()
	checkKind(c, KindModel, modelFields, s.Models, c.checkModel)
	checkKind(c, KindCaller, callerFields, s.Callers, c.checkCaller)
	c.checkCallerKeys()
	checkKind(c, KindUpstream, upstreamFields, s.Upstreams, c.checkUpstream)
	checkKind(c, KindRoute, routeFields, s.Routes, c.checkRoute)
	c.checkRoutePrefixes()
	return c.problems
}

// missingObjects reports names whose object is nil. A set decoded from JSON can
// contain such names.
func missingObjects[T any](problems []Problem, kind Kind, all map[string]*T) []Problem {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if all[name] == nil {
			problems = append(problems, Problem{Section: string(kind) + "." + name, Detail: "the object is missing", Remedy: "remove the name or add the object"})
		}
	}
	return problems
}

func (c *checker) report(section, key, detail, allowed, remedy string) {
	c.problems = append(c.problems, Problem{section, key, detail, allowed, remedy})
}

// checkKind checks the name and the fields of each object of a kind and calls
// checkObject for the other checks.
func checkKind[T any](c *checker, kind Kind, fields []field[T], all map[string]*T, checkObject func(section string, o *T)) {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		section := string(kind) + "." + name
		if !validName(name) {
			c.report(section, "", fmt.Sprintf("%q is not a valid name", name), nameAllowed, "rename the object")
		}
		if named := objectName(all[name]); named != name {
			c.report(section, "", fmt.Sprintf("the object's name is %q", named), "the key of the object in the set", "make the name and the key equal")
		}
		for _, f := range fields {
			if f.check == nil {
				continue
			}
			if detail := f.check(all[name]); detail != "" {
				c.report(section, f.key, detail, f.allowed, remedyFor(f))
			}
		}
		checkObject(section, all[name])
	}
}

// checkRankSet checks the rules that apply to all ranks together.
func (c *checker) checkRankSet() {
	if len(c.ranks) == 0 {
		c.report("rank", "", "the set has no rank", "at least one", "add a section [rank.name]")
	}
	sum := 0.0
	first := map[int]string{}
	for _, name := range c.ranks {
		r := c.set.Ranks[name]
		sum += r.Floor
		if other, taken := first[r.Priority]; taken {
			c.report("rank."+name, "priority", fmt.Sprintf("rank %s has priority %d too", other, r.Priority), "0 to 9, each once", "give each rank its own priority")
			continue
		}
		first[r.Priority] = name
	}
	// 1e-9 absorbs the rounding of decimal fractions such as 0.1.
	if sum > 1+1e-9 {
		c.report("rank", "floor", fmt.Sprintf("the floors add up to %.3g", sum), "a sum of at most 1", "lower the floor of one or more ranks")
	}
}

// objectName returns the Name field of an object.
func objectName(object any) string {
	switch o := object.(type) {
	case *Rank:
		return o.Name
	case *Route:
		return o.Name
	case *Model:
		return o.Name
	case *Caller:
		return o.Name
	case *Upstream:
		return o.Name
	}
	return ""
}

func (c *checker) checkModel(section string, m *Model) {
	if m.Fallback != "" {
		c.checkReferences(section, "fallback", "a model", c.models, m.Fallback)
	}
	if c.inCycle[m.Name] {
		c.report(section, "fallback", "the fallbacks form a cycle", "the name of a model whose chain of fallbacks ends", "remove the fallback of one model of the cycle")
	}
}

// modelsInCycles returns the models that are part of a cycle of fallbacks, but
// not those that only lead into a cycle. Each model is visited at most three
// times.
func modelsInCycles(models map[string]*Model) map[string]bool {
	inCycle := map[string]bool{}
	reachedFrom := map[string]string{} // model -> start of the walk that reached it first
	for start := range models {
		m := models[start]
		for m != nil {
			if _, reached := reachedFrom[m.Name]; reached {
				break
			}
			reachedFrom[m.Name] = start
			m = models[m.Fallback]
		}
		// If the walk ended at a model that it had reached before, the walk from
		// that model on is a cycle.
		for m != nil && reachedFrom[m.Name] == start && !inCycle[m.Name] {
			inCycle[m.Name] = true
			m = models[m.Fallback]
		}
	}
	return inCycle
}

func (c *checker) checkCaller(section string, o *Caller) {
	c.checkReferences(section, "ranks", "a rank", c.ranks, o.Ranks...)
	if o.DefaultRank != "" && !slices.Contains(o.Ranks, o.DefaultRank) {
		c.report(section, "default_rank", fmt.Sprintf("%q is not one of the caller's ranks", o.DefaultRank), strings.Join(o.Ranks, ", "), "name one of them or extend ranks")
	}
	c.checkReferences(section, "models", "a model", c.models, o.Models...)
	c.checkReferences(section, "services", "an upstream of kind service", c.services, o.Services...)
}

// checkCallerKeys reports callers with the same key, since a request with that
// key could not be attributed to one of them.
func (c *checker) checkCallerKeys() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.set.Callers)) {
		for i, key := range c.set.Callers[name].Keys() {
			field := "key_sha256"
			if i > 0 {
				field = "more_key_sha256"
			}
			if first, taken := owner[key]; taken && key != "" {
				c.report("caller."+name, field, fmt.Sprintf("caller %s has the same key", first), "a digest that no other caller has", "issue a different key to each caller")
				continue
			}
			owner[key] = name
		}
	}
}

func (c *checker) checkUpstream(section string, u *Upstream) {
	c.checkReferences(section, "models", "a model", c.models, u.Models...)
	if u.Kind == UpstreamEngine && len(u.Models) == 0 {
		c.report(section, "models", "an engine upstream must serve at least one model", "names of models", "list the models")
	}
	if u.Kind == UpstreamService && len(u.Models) > 0 {
		c.report(section, "models", "a service upstream serves no models", "no value", "remove the key or set kind = engine")
	}
	if u.Kind == UpstreamEngine && len(u.OnceMethods) > 0 {
		c.report(section, "once_methods", "an engine upstream must not have once_methods", "no value", "remove the key or set kind = service")
	}
	if u.ManageModels && (u.Kind != UpstreamEngine || !u.ReportsLoad) {
		c.report(section, "manage_models", "the models of workers that report no load cannot be managed", "true for engines with reports_load = true", "set reports_load = true or remove the key")
	}
	c.checkWorkers(section, u)
}

func (c *checker) checkWorkers(section string, u *Upstream) {
	if len(u.Workers) == 0 {
		c.report(section, "worker", "the upstream has no worker", "at least one", "add a line worker = ID domain URL")
	}
	ids := make([]string, 0, len(u.Workers))
	known := map[string]bool{}
	urls := map[string]string{}
	for _, w := range u.Workers {
		if !validName(w.ID) || !validName(w.FailureDomain) {
			c.report(section, "worker", fmt.Sprintf("worker %q in failure domain %q has an invalid name", w.ID, w.FailureDomain), nameAllowed, "correct the ID or the failure domain")
		}
		if known[w.ID] {
			c.report(section, "worker", fmt.Sprintf("worker %s appears twice", w.ID), "each ID once in an upstream", "remove or rename one of them")
		}
		if !validBaseURL(w.URL) {
			c.report(section, "worker", fmt.Sprintf("%q of worker %s is not a base URL with an IP address", w.URL, w.ID), "http://IP:port or https://IP:port", "correct the URL")
		}
		if first, taken := urls[w.URL]; taken {
			c.report(section, "worker", fmt.Sprintf("workers %s and %s have the same URL", first, w.ID), "each URL once in an upstream", "correct one of them")
		}
		ids = append(ids, w.ID)
		known[w.ID] = true
		urls[w.URL] = w.ID
	}
	c.checkReferences(section, "draining", "a worker of the upstream", slices.Sorted(slices.Values(ids)), u.Draining...)
}

// checkReferences reports names that are not in existing, which must be sorted.
// expected describes a valid name in the message.
func (c *checker) checkReferences(section, key, expected string, existing []string, names ...string) {
	for _, name := range names {
		if _, found := slices.BinarySearch(existing, name); !found {
			c.report(section, key, fmt.Sprintf("%q is not %s", name, expected), joinNames(existing), "correct the name or add the object")
		}
	}
}

// joinNames joins up to maxNames names for a message, since an upstream may have
// a thousand workers.
func joinNames(names []string) string {
	const maxNames = 20
	if len(names) == 0 {
		return "none exists"
	}
	if len(names) > maxNames {
		return strings.Join(names[:maxNames], ", ") + fmt.Sprintf(" and %d more", len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}

func validBaseURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	a, err := netip.ParseAddrPort(u.Host)
	hostOnly := u.User == nil && u.RawQuery == "" && u.Fragment == "" && (u.Path == "" || u.Path == "/")
	return err == nil && a.Port() != 0 && hostOnly && !strings.ContainsAny(text, " #;")
}
