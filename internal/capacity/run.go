package capacity

import (
	"context"
	"fmt"
	"io"
)

// RunConfig selects what to measure.
type RunConfig struct {
	Times     MeasureTimes
	Processes string    // file written by scripts/capacity, empty for none
	Only      string    // name of the only part to run, empty for all parts
	Progress  io.Writer // receives a line for each part
}

// Run runs the measurements and checks the limits. Errors: a measurement failed.
func Run(ctx context.Context, c RunConfig) (*Report, error) {
	m := &Measurements{}
	parts := []struct {
		name string
		run  func() error
	}{
		{"operations", func() error { return m.Operations(ctx) }},
		{"calls", func() error { return m.Calls(ctx, c.Times) }},
		{"idle", func() error { return m.Idle(ctx, c.Times) }},
		{"requests", func() error { return m.Requests(ctx, c.Times) }},
		{"changes", func() error { return m.Changes(ctx, c.Times) }},
		{"processes", func() error { return m.ReadProcesses(c.Processes) }},
	}
	for _, part := range parts {
		if c.Only != "" && c.Only != part.name {
			continue
		}
		fmt.Fprintln(c.Progress, "capacity: measuring", part.name)
		if err := part.run(); err != nil {
			return nil, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return m.Report(), nil
}
