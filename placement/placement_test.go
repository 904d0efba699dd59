package placement

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/auburnlead/auburnlead/internal/proof" // sets the seed
)

// drawIDs draws unique node IDs.
func drawIDs(t *rapid.T, minCount int) []string {
	n := rapid.IntRange(minCount, 40).Draw(t, "nodes")
	first := rapid.IntRange(0, 1000).Draw(t, "first")
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%d", first+i)
	}
	return ids
}

// ranked returns the IDs that Choose picks for a key, best first.
func ranked(key uint64, ids []string, count int) []string {
	hashes := make([]uint64, len(ids))
	for i, id := range ids {
		hashes[i] = Hash(id)
	}
	result := []string{}
	for _, index := range Choose(make([]int, count), key, hashes) {
		result = append(result, ids[index])
	}
	return result
}

// Guards against the removal of a worker moving chats of other workers, or
// moving its own chats to any worker but their second choice.
func TestRemovalMovesOnlyTheNodesKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := drawIDs(t, 3)
		removed := rapid.IntRange(0, len(ids)-1).Draw(t, "removed")
		rest := slices.Delete(slices.Clone(ids), removed, removed+1)
		for range 20 {
			key := rapid.Uint64().Draw(t, "key")
			before := ranked(key, ids, len(ids))
			after := ranked(key, rest, len(rest))
			expected := slices.DeleteFunc(before, func(id string) bool { return id == ids[removed] })
			if !slices.Equal(after, expected) {
				t.Fatalf("ranking without %s is %v, want %v", ids[removed], after, expected)
			}
		}
	})
}

// Guards against a new worker causing chats to move between existing workers.
func TestAdditionMovesKeysOnlyToTheNewNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := drawIDs(t, 2)
		more := append(slices.Clone(ids), "joined")
		for range 20 {
			key := rapid.Uint64().Draw(t, "key")
			before, after := ranked(key, ids, 1)[0], ranked(key, more, 1)[0]
			if after != before && after != "joined" {
				t.Fatalf("key moved from %s to %s", before, after)
			}
		}
	})
}

// Guards against routers that disagree because they list workers in different
// orders, and against a short choice that differs from the start of the full
// ranking.
func TestChoiceDoesNotDependOnOrderOrLength(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := drawIDs(t, 1)
		key := rapid.Uint64().Draw(t, "key")
		shuffled := rapid.Permutation(ids).Draw(t, "shuffled")
		count := rapid.IntRange(0, len(ids)+2).Draw(t, "count")
		full := ranked(key, ids, len(ids))
		if got := ranked(key, shuffled, count); !slices.Equal(got, full[:min(count, len(ids))]) {
			t.Fatalf("choice of %d is %v, full ranking %v", count, got, full)
		}
	})
}

// Guards against a biased hash, which would overload a worker through placement
// alone.
func TestKeysSpreadEvenly(t *testing.T) {
	Convey("With 61 workers and 61,000 chats, each worker is the first choice of 1,000 chats, within six standard deviations", t, func() {
		hashes := make([]uint64, 61)
		for i := range hashes {
			hashes[i] = Hash(fmt.Sprintf("e%d", i))
		}
		counts := make([]int, len(hashes))
		dst := make([]int, 2)
		for chat := range 61000 {
			counts[Choose(dst, Hash("workspace", fmt.Sprint(chat)), hashes)[0]]++
		}
		So(slices.Min(counts), ShouldBeGreaterThan, 1000-6*32)
		So(slices.Max(counts), ShouldBeLessThan, 1000+6*32)
	})
}

// Guards against a choice outside the failure domain and a domain order that
// repeats or omits a domain.
func TestTable(t *testing.T) {
	var nodes []Node
	for i := range 30 {
		nodes = append(nodes, Node{ID: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", i%5)})
	}
	table := NewTable(append(nodes, nodes[0])) // the duplicate is dropped
	Convey("A table groups workers by failure domain", t, func() {
		So(table.Len(), ShouldEqual, 30)
		So(table.DomainIndex("d9"), ShouldEqual, -1)
		So(table.Choose(make([]int, 2), 1, -1), ShouldBeEmpty)
		So(table.DomainSize(table.DomainIndex("d3")), ShouldEqual, 6)
		for key := range uint64(200) {
			for _, index := range table.Choose(make([]int, 3), Hash("k", fmt.Sprint(key)), 2) {
				So(table.Node(index).Domain, ShouldEqual, "d2")
			}
			order := table.DomainOrder(make([]int, 9), key, 3)
			So(order[0], ShouldEqual, 3)
			short := table.DomainOrder(make([]int, 3), key, 3)
			So(short, ShouldResemble, order[:3])
			all := slices.Sorted(slices.Values(order))
			So(all, ShouldResemble, []int{0, 1, 2, 3, 4})
		}
	})
}

// Guards against allocations per choice, of which the target is zero.
func TestChooseDoesNotAllocate(t *testing.T) {
	Convey("Choosing among 1,100 workers allocates nothing", t, func() {
		hashes := make([]uint64, 1100)
		for i := range hashes {
			hashes[i] = Hash(fmt.Sprint(i))
		}
		dst := make([]int, 3)
		So(testing.AllocsPerRun(100, func() {
			Choose(dst, Hash("workspace", "chat"), hashes)
		}), ShouldEqual, 0)
	})
}

func BenchmarkChoose1100(b *testing.B) {
	hashes := make([]uint64, 1100)
	for i := range hashes {
		hashes[i] = Hash(fmt.Sprint(i))
	}
	dst := make([]int, 3)
	b.ReportAllocs()
	for i := range b.N {
		Choose(dst, uint64(i)*prime3, hashes)
	}
}
