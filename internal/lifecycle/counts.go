package lifecycle

import "log/slog"

// Stats counts what became of requests since the start. Whoever has it read is in one of the ends,
// or open: Read = Served + Refused + Failed + Late + Misused + Gone + Withdrawn + those that are
// open.
type Stats struct {
	Read      int64 `json:"Read"`
	Served    int64 `json:"Served"`
	Rejected  int64 `json:"Refused"`
	Failed    int64 `json:"Failed"`
	Expired   int64 `json:"Late"`
	Abandoned int64 `json:"Gone"`      // nobody waited any more when they ended
	Withdrawn int64 `json:"Withdrawn"` // taken back by their callers, who are told that they are over
	Attempts  int64 `json:"Started"`   // attempts handed to whoever runs them
	Repeats   int64 `json:"Repeats"`   // of those read
	Conflicts int64 `json:"Misused"`
}

// attemptEnded counts the one final answer to a request.
func (s *Stats) ended(k Status) {
	switch k {
	case Served:
		s.Served++
	case Rejected:
		s.Rejected++
	case Expired:
		s.Expired++
	case Conflict:
		s.Conflicts++
	default:
		s.Failed++
	}
}

// Faulted is how many were answered, and neither served nor refused.
func (s Stats) Faulted() int64 { return s.Failed + s.Expired + s.Conflicts + s.Withdrawn }

func (s *Stats) add(o Stats) {
	s.Read += o.Read
	s.Served += o.Served
	s.Rejected += o.Rejected
	s.Failed += o.Failed
	s.Expired += o.Expired
	s.Abandoned += o.Abandoned
	s.Withdrawn += o.Withdrawn
	s.Attempts += o.Attempts
	s.Repeats += o.Repeats
	s.Conflicts += o.Conflicts
}

// LogValue implements slog.LogValuer.
func (s Stats) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("read", s.Read),
		slog.Int64("served", s.Served),
		slog.Int64("refused", s.Rejected),
		slog.Int64("failed", s.Failed),
		slog.Int64(
			"late",
			s.Expired,
		),
		slog.Int64("gone", s.Abandoned),
		slog.Int64("withdrawn", s.Withdrawn),
		slog.Int64("started", s.Attempts),
		slog.Int64("repeats", s.Repeats),
		slog.Int64("misused", s.Conflicts),
	)
}

// StatsByClass gives the counts of each class by its name, also of those that there are not any more.
func (c *Manager) StatsByClass() map[string]Stats {
	out := make(map[string]Stats, len(c.stats))
	for i := range c.stats {
		s := out[c.settings.Classes[i].Name]
		s.add(c.stats[i])
		out[c.settings.Classes[i].Name] = s
	}
	return out
}

// Stats gives the counts of all classes together.
func (c *Manager) Stats() (sum Stats) {
	for _, s := range c.StatsByClass() {
		sum.add(s)
	}
	return sum
}
