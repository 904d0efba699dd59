package placement

import (
	"cmp"
	"slices"
)

// Node is one worker of an upstream.
type Node struct {
	ID     string
	Domain string // failure domain
}

// Table is the worker list of an upstream, grouped by failure domain. It is
// immutable; a change of the list builds a new one.
type Table struct {
	nodes   []Node // sorted by domain, then ID
	hashes  []uint64
	domains []string
	starts  []int // first node of each domain, with the length at the end
	keys    []uint64
}

// NewTable builds a table. Duplicate nodes are dropped. The order of the nodes
// does not matter.
func NewTable(nodes []Node) *Table {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.ID, b.ID))
	})
	t := &Table{nodes: slices.Compact(sorted)}
	for i, node := range t.nodes {
		t.hashes = append(t.hashes, Hash(node.ID))
		if i == 0 || node.Domain != t.nodes[i-1].Domain {
			t.domains = append(t.domains, node.Domain)
			t.starts = append(t.starts, i)
			t.keys = append(t.keys, Hash("domain", node.Domain))
		}
	}
	t.starts = append(t.starts, len(t.nodes))
	return t
}

// Len returns the number of workers.
func (t *Table) Len() int { return len(t.nodes) }

// Node returns the worker at an index that Choose returned.
func (t *Table) Node(index int) Node { return t.nodes[index] }

// Domains returns the failure domains in the order of their indexes. The
// caller must not modify the slice.
func (t *Table) Domains() []string { return t.domains }

// Domain returns the index of a failure domain, -1 when it has no worker.
func (t *Table) Domain(name string) int {
	index, found := slices.BinarySearch(t.domains, name)
	if !found {
		return -1
	}
	return index
}

// Size returns the number of workers in a failure domain.
func (t *Table) Size(domain int) int {
	return t.starts[domain+1] - t.starts[domain]
}

// Choose writes the best workers for key within one failure domain into dst,
// best first, and returns the filled part. A negative domain gives none.
func (t *Table) Choose(dst []int, key uint64, domain int) []int {
	if domain < 0 {
		return dst[:0]
	}
	start := t.starts[domain]
	chosen := Choose(dst, key, t.hashes[start:t.starts[domain+1]])
	for i := range chosen {
		chosen[i] += start
	}
	return chosen
}

// DomainOrder writes the failure domains in the order in which a router of
// the local domain tries them into dst and returns the filled part: local
// first unless it is negative, then the others by rendezvous for key, so that
// the overflow of one domain spreads over all others and a chat that overflows
// again meets the same cache. len(dst) bounds the number of domains.
func (t *Table) DomainOrder(dst []int, key uint64, local int) []int {
	if local < 0 || len(dst) == 0 {
		return Choose(dst, key, t.keys)
	}
	dst[0] = local
	filled := 1
	for domain := range t.domains {
		if domain == local {
			continue
		}
		score := Score(key, t.keys[domain])
		if filled < len(dst) {
			filled++
		} else if filled == 1 || Score(key, t.keys[dst[filled-1]]) >= score {
			continue
		}
		insert(dst[1:filled], domain, score, key, t.keys)
	}
	return dst[:filled]
}
