package capacity

import (
	"context"
	"fmt"
	"io"
)

// Plan says what to run.
type Plan struct {
	Windows   Windows
	Processes string // file by scripts/capacity, empty for none
	Only      string // one part, empty for all
	Progress  io.Writer
}

// Run measures and checks. Errors: a part could not run.
func Run(ctx context.Context, p Plan) (*Report, error) {
	s := &Slopes{}
	parts := []struct {
		name string
		run  func() error
	}{
		{"operations", func() error { return s.Operations(ctx) }},
		{"calls", func() error { return s.Calls(ctx, p.Windows) }},
		{"idle", func() error { return s.Idle(ctx, p.Windows) }},
		{"requests", func() error { return s.Requests(ctx, p.Windows) }},
		{"changes", func() error { return s.Changes(ctx, p.Windows) }},
		{"processes", func() error { return s.ReadProcesses(p.Processes) }},
	}
	for _, part := range parts {
		if p.Only != "" && p.Only != part.name {
			continue
		}
		fmt.Fprintln(p.Progress, "capacity: measuring", part.name)
		if err := part.run(); err != nil {
			return nil, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return s.Report(), nil
}
