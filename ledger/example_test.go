package ledger_test

import (
	"context"
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/ledger"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// Two routers receive the same booking. It runs once; the second router gets
// the stored answer.
func Example() {
	p := storetest.New(storetest.Options{Now: time.Now})
	options := ledger.Options{Now: time.Now, After: time.After}
	first := ledger.New(p, p.Objects(), options)
	second := ledger.New(p, p.Objects(), options)
	ctx := context.Background()
	defer first.Close(ctx)
	defer second.Close(ctx)

	claim := ledger.Claim{Caller: "panchayat-clerks", Service: "rota-desk", Key: "2027-05-03/tissington", Digest: "9f2c", Attempt: "r1-1", Router: "r1"}
	d, err := first.Claim(ctx, claim)
	fmt.Println(d.State, err)
	err = first.Finish(ctx, claim, ledger.Result{Outcome: ledger.OutcomeRan, Answer: []byte(`{"turn":7}`)})
	fmt.Println("recorded", err)

	claim.Attempt, claim.Router = "r2-1", "r2"
	d, err = second.Claim(ctx, claim)
	fmt.Println(d.State, string(d.Answer), err)
	// Output:
	// claimed <nil>
	// recorded <nil>
	// replay {"turn":7} <nil>
}
