package answer_test

import (
	"fmt"
	"strings"

	"github.com/auburnlead/auburnlead/answer"
)

// A client reads an engine's stream and keeps only the frames of its own
// attempt.
func Example() {
	stream := "id: a1/1\ndata: Well\n\n" +
		"id: b7/2\ndata: not ours\n\n" +
		"id: a1/2\ndata: 3\n\n" +
		"id: a1/3\ndata: [DONE]\n\n"
	reader := answer.NewReader(strings.NewReader(stream), answer.Limits{LineBytes: 1 << 16, EventBytes: 1 << 16})
	defer reader.Release()
	checker := answer.NewChecker("a1")
	for {
		event, err := reader.Next()
		if err != nil {
			fmt.Println(checker.Finish(err))
			return
		}
		verdict, err := checker.Check(event.ID, event.Data)
		if err != nil {
			fmt.Println(err) // resume with Last-Event-ID: checker.LastEventID()
			return
		}
		if verdict == answer.End {
			break
		}
		if verdict == answer.Deliver {
			fmt.Println(string(event.Data))
		}
	}
	fmt.Println("frames of other attempts:", checker.Drops()[answer.OtherAttempt])
	// Output:
	// Well
	// 3
	// frames of other attempts: 1
}
