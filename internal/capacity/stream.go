package capacity

import "context"

// Streams is filled below.
func (s *Slopes) Streams(ctx context.Context) error { return nil }
func (s *Slopes) Report() *Report { return &Report{Lines: s.Lines} }
