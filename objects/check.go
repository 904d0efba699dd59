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
// Errors: *Error with every problem.
func Check(s *Set) error {
	if problems := check(s); len(problems) > 0 {
		return &Error{Problems: problems}
	}
	return nil
}

// checker collects the problems of one set.
type checker struct {
	set      *Set
	problems []Problem
}

func check(s *Set) []Problem {
	c := &checker{set: s}
	checkKind(c, KindRank, rankFields, s.Ranks, c.rank)
	c.ranks()
	checkKind(c, KindModel, modelFields, s.Models, c.model)
	checkKind(c, KindCaller, callerFields, s.Callers, c.caller)
	c.keys()
	checkKind(c, KindUpstream, upstreamFields, s.Upstreams, c.upstream)
	return c.problems
}

func (c *checker) report(section, key, detail, allowed, remedy string) {
	c.problems = append(c.problems, Problem{section, key, detail, allowed, remedy})
}

// checkKind checks each object of a kind by its fields and by the function.
func checkKind[T any](c *checker, kind Kind, fields []field[T], all map[string]*T, each func(section string, o *T)) {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		section := string(kind) + "." + name
		if !validName(name) {
			c.report(section, "", fmt.Sprintf("%q is not a valid name", name), nameAllowed, "rename the object")
		}
		for _, f := range fields {
			if f.check == nil {
				continue
			}
			if detail := f.check(all[name]); detail != "" {
				c.report(section, f.key, detail, f.allowed, remedy(f))
			}
		}
		each(section, all[name])
	}
}

func (c *checker) rank(section string, r *Rank) {
	for _, other := range c.set.Ranks {
		if other.Name < r.Name && other.Priority == r.Priority {
			c.report(section, "priority", fmt.Sprintf("rank %s has priority %d too", other.Name, r.Priority), "0 to 9, each once", "give each rank its own priority")
		}
	}
}

// ranks checks the rules that concern all ranks together.
func (c *checker) ranks() {
	if len(c.set.Ranks) == 0 {
		c.report("rank", "", "the set has no rank", "at least one", "add a section [rank.name]")
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.set.Ranks)) {
		sum += c.set.Ranks[name].Floor
	}
	// 1e-9 absorbs the rounding of decimal fractions such as 0.1.
	if sum > 1+1e-9 {
		c.report("rank", "floor", fmt.Sprintf("the floors add up to %.3g", sum), "a sum of at most 1", "lower the floor of one or more ranks")
	}
}

func (c *checker) model(section string, m *Model) {
	if m.Fallback == "" {
		return
	}
	c.references(section, "fallback", "model", c.modelNames(), m.Fallback)
	seen := map[string]bool{m.Name: true}
	for next := c.set.Models[m.Fallback]; next != nil; next = c.set.Models[next.Fallback] {
		if seen[next.Name] {
			// Each member of the cycle reports it, a model that only leads
			// into the cycle does not.
			if next.Name == m.Name {
				c.report(section, "fallback", "the fallbacks form a cycle", "the name of a model whose fallbacks end", "remove the fallback of one model of the cycle")
			}
			return
		}
		seen[next.Name] = true
	}
}

func (c *checker) caller(section string, o *Caller) {
	c.references(section, "ranks", "rank", slices.Sorted(maps.Keys(c.set.Ranks)), o.Ranks...)
	if o.DefaultRank != "" && !slices.Contains(o.Ranks, o.DefaultRank) {
		c.report(section, "default_rank", fmt.Sprintf("%q is not one of the caller's ranks", o.DefaultRank), strings.Join(o.Ranks, ", "), "name one of them or extend ranks")
	}
	c.references(section, "models", "model", c.modelNames(), o.Models...)
	c.references(section, "services", "upstream of kind service", c.serviceNames(), o.Services...)
}

// keys reports callers with the same key: a request could not be attributed.
func (c *checker) keys() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.set.Callers)) {
		key := c.set.Callers[name].KeySHA256
		if first, taken := owner[key]; taken && key != "" {
			c.report("caller."+name, "key_sha256", fmt.Sprintf("caller %s has the same key", first), "a digest that no other caller has", "issue a key of its own to each caller")
			continue
		}
		owner[key] = name
	}
}

func (c *checker) upstream(section string, u *Upstream) {
	c.references(section, "models", "model", c.modelNames(), u.Models...)
	if u.Kind == UpstreamEngine && len(u.Models) == 0 {
		c.report(section, "models", "an engine upstream serves at least one model", "names of models", "list the models")
	}
	if u.Kind == UpstreamService && len(u.Models) > 0 {
		c.report(section, "models", "a service upstream serves no models", "no value", "remove the key or set kind = engine")
	}
	if u.Kind == UpstreamEngine && len(u.OnceMethods) > 0 {
		c.report(section, "once_methods", "an engine upstream has no once_methods", "no value", "remove the key or set kind = service")
	}
	c.workers(section, u)
}

func (c *checker) workers(section string, u *Upstream) {
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
	c.references(section, "draining", "worker of the upstream", ids, u.Draining...)
}

// references reports names that are not among the existing ones.
func (c *checker) references(section, key, what string, existing []string, names ...string) {
	for _, name := range names {
		if !slices.Contains(existing, name) {
			c.report(section, key, fmt.Sprintf("%q is not a %s", name, what), shortList(existing), "correct the name or add the object")
		}
	}
}

// shortList joins names for a message; an upstream may have a thousand.
func shortList(names []string) string {
	const most = 20
	if len(names) == 0 {
		return "none exists"
	}
	if len(names) > most {
		return strings.Join(names[:most], ", ") + fmt.Sprintf(" and %d more", len(names)-most)
	}
	return strings.Join(names, ", ")
}

func (c *checker) modelNames() []string { return slices.Sorted(maps.Keys(c.set.Models)) }

func (c *checker) serviceNames() []string {
	var names []string
	for name, u := range c.set.Upstreams {
		if u.Kind == UpstreamService {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func validBaseURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	a, err := netip.ParseAddrPort(u.Host)
	plain := u.User == nil && u.RawQuery == "" && u.Fragment == "" && (u.Path == "" || u.Path == "/")
	return err == nil && a.Port() != 0 && plain && !strings.ContainsAny(text, " #;")
}
