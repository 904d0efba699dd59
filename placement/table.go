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

// Table holds the workers of an upstream, grouped by failure domain. It is
// immutable; a change of the worker list builds a new one.
type Table struct {
	nodes        []Node // sorted by domain, then ID
	hashes       []uint64
	domains      []string
	domainStarts []int    // index of each domain's first node, followed by len(nodes)
	domainHashes []uint64 // hashes of the domain names
}

// NewTable builds a table. Duplicate nodes are dropped, and the order of the
// nodes does not matter.
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
			t.domainStarts = append(t.domainStarts, i)
			t.domainHashes = append(t.domainHashes, Hash("domain", node.Domain))
		}
	}
	t.domainStarts = append(t.domainStarts, len(t.nodes))
	return t
}

// Len returns the number of workers.
func (t *Table) Len() int { return len(t.nodes) }

// Node returns the worker at an index that Choose returned.
func (t *Table) Node(index int) Node { return t.nodes[index] }

// Domains returns the failure domains in the order of their indexes. The
// caller must not modify the slice.
func (t *Table) Domains() []string { return t.domains }

// DomainIndex returns the index of a failure domain, -1 if it has no worker.
func (t *Table) DomainIndex(name string) int {
	index, found := slices.BinarySearch(t.domains, name)
	if !found {
		return -1
	}
	return index
}

// DomainSize returns the number of workers in a failure domain.
func (t *Table) DomainSize(domain int) int {
	return t.domainStarts[domain+1] - t.domainStarts[domain]
}

// Choose writes the indexes of the best workers for key within one failure
// domain into dst, best first, and returns the filled part of dst. A negative
// domain gives an empty result.
func (t *Table) Choose(dst []int, key uint64, domain int) []int {
	if domain < 0 {
		return dst[:0]
	}
	start := t.domainStarts[domain]
	chosen := Choose(dst, key, t.hashes[start:t.domainStarts[domain+1]])
	for i := range chosen {
		chosen[i] += start
	}
	return chosen
}

// DomainOrder writes the indexes of the failure domains into dst, in the order
// in which a router of the local domain tries them, and returns the filled
// part. The local domain comes first unless it is negative; the others follow
// by rendezvous score for key, so that the overflow of one domain spreads over
// all others and a chat that overflows again reaches the prompt cache of the
// same domain. len(dst) limits the number of domains.
func (t *Table) DomainOrder(dst []int, key uint64, local int) []int {
	if local < 0 || len(dst) == 0 {
		return Choose(dst, key, t.domainHashes)
	}
	dst[0] = local
	count := 1
	for domain := range t.domains {
		if domain == local {
			continue
		}
		score := Score(key, t.domainHashes[domain])
		if count < len(dst) {
			count++
		} else if count == 1 || Score(key, t.domainHashes[dst[count-1]]) >= score {
			continue
		}
		insert(dst[1:count], domain, score, key, t.domainHashes)
	}
	return dst[:count]
}
