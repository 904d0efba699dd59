package capacity

import "context"

func (s *Slopes) Operations(ctx context.Context) error { return nil }
func (s *Slopes) Memory(ctx context.Context) error { return nil }
func (s *Slopes) ReadProcesses(string) error { return nil }
func (s *Slopes) Report() *Report { return &Report{Lines: s.Lines} }
