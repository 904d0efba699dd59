package placement_test

import (
	"fmt"

	"github.com/auburnlead/auburnlead/placement"
)

// A router places a chat on two workers of its own failure domain.
func Example() {
	table := placement.NewTable([]placement.Node{
		{ID: "e1", Domain: "bengal-west-a"},
		{ID: "e2", Domain: "bengal-west-a"},
		{ID: "e3", Domain: "bengal-west-a"},
		{ID: "e4", Domain: "bengal-west-b"},
	})
	key := placement.Hash("ward-7", "chat-1042")
	local := table.DomainIndex("bengal-west-a")
	for _, index := range table.Choose(make([]int, 2), key, local) {
		fmt.Println(table.Node(index).Domain)
	}
	order := table.DomainOrder(make([]int, 2), key, local)
	fmt.Println("then", table.Domains()[order[1]])
	// Output:
	// bengal-west-a
	// bengal-west-a
	// then bengal-west-b
}
