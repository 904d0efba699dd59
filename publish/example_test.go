package publish_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/publish"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// Two operators submit a set with the same base, then a reader fetches the
// newest revision.
func Example() {
	ctx := context.Background()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	platform := storetest.New(storetest.Options{Now: func() time.Time { return now }})

	set, err := objects.Load("set.ini", []byte("[rank.urgent]\npriority = 0\n"))
	if err != nil {
		fmt.Println(err)
		return
	}
	p := publish.Publisher{Table: platform, Objects: platform.Objects()}
	r, err := p.Submit(ctx, publish.Submission{Set: set, Base: 0, Token: "t1", Author: "asha", Now: now})
	fmt.Println("revision", r.Revision, err)

	_, err = p.Submit(ctx, publish.Submission{Set: set, Base: 0, Token: "t2", Author: "thandi", Now: now})
	var conflict *publish.ConflictError
	fmt.Println(errors.As(err, &conflict), conflict.Newest.Author)

	store := publish.NewLocalStore()
	newest, err := publish.Newest(ctx, platform)
	if err != nil {
		fmt.Println(err)
		return
	}
	active, err := store.Advance(ctx, newest.Revision, newest.Manifest, platform.Objects())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("active", active.Revision, len(active.Set.Ranks))
	// Output:
	// revision 1 <nil>
	// true asha
	// active 1 1
}
