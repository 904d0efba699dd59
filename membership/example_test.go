package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/auburnlead/auburnlead/membership"
)

// Two routers of a failure domain learn of each other from the platform's VM
// list and exchange views.
func ExampleView() {
	now := time.Unix(0, 0)
	list := []membership.ListedVM{
		{Router: "r1", Domain: "bengal-west-a", Address: "10.0.0.1:7400"},
		{Router: "r2", Domain: "bengal-west-a", Address: "10.0.0.2:7400"},
	}
	view := func(vm membership.ListedVM) *membership.View {
		cfg := membership.Config{Rand: rand.New(rand.NewPCG(1, 1)), Size: func(e membership.Entry) int { return 32 + len(e.Address) }}
		v := membership.New(cfg, membership.Entry{Router: vm.Router, Domain: vm.Domain, Address: vm.Address, Incarnation: 1}, now)
		v.SetVMList(now, list)
		return v
	}
	r1, r2 := view(list[0]), view(list[1])
	fmt.Println(r1.State(now, "r2"))

	r1.Merge(now, "r2", r2.Introduction(now))
	fmt.Println(r1.State(now, "r2"), r1.Targets(now, 2))

	r2.Leave(now)
	r1.Merge(now, "r2", r2.LeaveNotice(now))
	fmt.Println(r1.State(now, "r2"))
	fmt.Println(r1.State(now.Add(time.Minute), "r2"))
	// Output:
	// suspect
	// live [{r2 10.0.0.2:7400}]
	// leaving
	// gone
}
