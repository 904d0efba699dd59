package objects

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Op states whether a change adds, removes or changes something.
type Op string

// Operations of a Change.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// Change is one difference between two sets. A change without a key is the
// addition or removal of an object. With a repeated key, such as worker or
// destination, each added, removed or changed line is a change of its own.
type Change struct {
	Op      Op     `json:"op"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

func (c Change) String() string {
	if c.Key == "" {
		return fmt.Sprintf("%s [%s]", c.Op, c.Section)
	}
	return fmt.Sprintf("%s [%s] %s: %q -> %q", c.Op, c.Section, c.Key, c.Old, c.New)
}

// Diff lists the changes from a to b. Objects and keys are in the order in which
// Format writes them.
func Diff(a, b *Set) []Change {
	changes := diffKind(nil, KindRank, rankFields, a.Ranks, b.Ranks)
	changes = diffKind(changes, KindModel, modelFields, a.Models, b.Models)
	changes = diffKind(changes, KindCaller, callerFields, a.Callers, b.Callers)
	changes = diffKind(changes, KindUpstream, upstreamFields, a.Upstreams, b.Upstreams)
	return diffKind(changes, KindRoute, routeFields, a.Routes, b.Routes)
}

func diffKind[T any](changes []Change, kind Kind, fields []field[T], a, b map[string]*T) []Change {
	names := slices.Collect(maps.Keys(a))
	names = slices.AppendSeq(names, maps.Keys(b))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		section := string(kind) + "." + name
		oldObject, newObject := a[name], b[name]
		switch {
		case oldObject == nil:
			changes = append(changes, Change{Op: OpAdded, Section: section})
		case newObject == nil:
			changes = append(changes, Change{Op: OpRemoved, Section: section})
		default:
			for _, f := range fields {
				changes = diffField(changes, section, f, oldObject, newObject)
			}
		}
	}
	return changes
}

func diffField[T any](changes []Change, section string, f field[T], a, b *T) []Change {
	oldLines, newLines := f.get(a), f.get(b)
	if f.repeated {
		return diffLines(changes, section, f.key, oldLines, newLines)
	}
	from, to := strings.Join(oldLines, ""), strings.Join(newLines, "")
	if from != to {
		changes = append(changes, Change{OpChanged, section, f.key, from, to})
	}
	return changes
}

// diffLines compares the lines of a repeated key. Lines with the same first
// word, such as the ID of a worker, are versions of the same entry.
func diffLines(changes []Change, section, key string, oldLines, newLines []string) []Change {
	from, to := byFirstWord(oldLines), byFirstWord(newLines)
	words := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(words)
	for _, word := range slices.Compact(words) {
		c := Change{Op: OpChanged, Section: section, Key: key, Old: from[word], New: to[word]}
		if c.Old == c.New {
			continue
		}
		if c.Old == "" {
			c.Op = OpAdded
		}
		if c.New == "" {
			c.Op = OpRemoved
		}
		changes = append(changes, c)
	}
	return changes
}

func byFirstWord(lines []string) map[string]string {
	m := make(map[string]string, len(lines))
	for _, line := range lines {
		word, _, _ := strings.Cut(line, " ")
		m[word] = line
	}
	return m
}
