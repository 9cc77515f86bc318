package lifecycle

import "log/slog"

// Stats counts what became of requests since the start. Whoever has it read is in one of the ends,
// or open: Read = Served + Refused + Failed + Late + Misused + Gone + Withdrawn + those that are
// open.
type Stats struct {
	Read      int64 `json:"Read"`
	Served    int64 `json:"Served"`
	Refused   int64 `json:"Refused"`
	Failed    int64 `json:"Failed"`
	Late      int64 `json:"Late"`
	Gone      int64 `json:"Gone"`      // nobody waited any more when they ended
	Withdrawn int64 `json:"Withdrawn"` // taken back by their callers, who are told that they are over
	Started   int64 `json:"Started"`   // attempts handed to whoever runs them
	Repeats   int64 `json:"Repeats"`   // of those read
	Misused   int64 `json:"Misused"`
}

// ended counts the one final answer to a request.
func (s *Stats) ended(k Kind) {
	switch k {
	case Served:
		s.Served++
	case Refused:
		s.Refused++
	case Late:
		s.Late++
	case Misused:
		s.Misused++
	default:
		s.Failed++
	}
}

// Faulted is how many were answered, and neither served nor refused.
func (s Stats) Faulted() int64 { return s.Failed + s.Late + s.Misused + s.Withdrawn }

func (s *Stats) add(o Stats) {
	s.Read += o.Read
	s.Served += o.Served
	s.Refused += o.Refused
	s.Failed += o.Failed
	s.Late += o.Late
	s.Gone += o.Gone
	s.Withdrawn += o.Withdrawn
	s.Started += o.Started
	s.Repeats += o.Repeats
	s.Misused += o.Misused
}

// LogValue implements slog.LogValuer.
func (s Stats) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("read", s.Read),
		slog.Int64("served", s.Served),
		slog.Int64("refused", s.Refused),
		slog.Int64("failed", s.Failed),
		slog.Int64(
			"late",
			s.Late,
		),
		slog.Int64("gone", s.Gone),
		slog.Int64("withdrawn", s.Withdrawn),
		slog.Int64("started", s.Started),
		slog.Int64("repeats", s.Repeats),
		slog.Int64("misused", s.Misused),
	)
}

// ByClass gives the counts of each class by its name, also of those that there are not any more.
func (c *Core) ByClass() map[string]Stats {
	out := make(map[string]Stats, len(c.counts))
	for i := range c.counts {
		s := out[c.set.Classes[i].Name]
		s.add(c.counts[i])
		out[c.set.Classes[i].Name] = s
	}
	return out
}

// Stats gives the counts of all classes together.
func (c *Core) Stats() (sum Stats) {
	for _, s := range c.ByClass() {
		sum.add(s)
	}
	return sum
}
