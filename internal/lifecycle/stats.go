package lifecycle

import "log/slog"

// Stats counts requests since the start of the process. Each request that was read either is counted
// once by how it ended, or is open: Read = Served + Rejected + Failed + Expired + Conflicts +
// Abandoned + Withdrawn + open requests.
type Stats struct {
	Read       int64 `json:"Read"`
	Served     int64 `json:"Served"`
	Rejected   int64 `json:"Refused"`
	Failed     int64 `json:"Failed"`
	Expired    int64 `json:"Late"`
	Abandoned  int64 `json:"Gone"`      // their callers disconnected
	Withdrawn  int64 `json:"Withdrawn"` // withdrawn by their callers
	Attempts   int64 `json:"Started"`   // attempts passed to runners
	Duplicates int64 `json:"Repeats"`   // requests read that duplicate another request
	Conflicts  int64 `json:"Misused"`
}

// countAnswer counts the final answer to a request.
func (s *Stats) countAnswer(status Status) {
	switch status {
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

// Faulted returns how many requests were answered and neither served nor rejected.
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
	s.Duplicates += o.Duplicates
	s.Conflicts += o.Conflicts
}

// LogValue implements slog.LogValuer. The attributes have the names that the operators' documentation uses.
func (s Stats) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("read", s.Read),
		slog.Int64("served", s.Served),
		slog.Int64("refused", s.Rejected),
		slog.Int64("failed", s.Failed),
		slog.Int64("late", s.Expired),
		slog.Int64("gone", s.Abandoned),
		slog.Int64("withdrawn", s.Withdrawn),
		slog.Int64("started", s.Attempts),
		slog.Int64("repeats", s.Duplicates),
		slog.Int64("misused", s.Conflicts),
	)
}

// StatsByClass returns the counts of each class by its name, including removed classes.
func (m *Manager) StatsByClass() map[string]Stats {
	byClass := make(map[string]Stats, len(m.stats))
	for i := range m.stats {
		name := m.settings.Classes[i].Name
		sum := byClass[name]
		sum.add(m.stats[i])
		byClass[name] = sum
	}
	return byClass
}

// Stats returns the counts of all classes together.
func (m *Manager) Stats() (sum Stats) {
	for _, stats := range m.StatsByClass() {
		sum.add(stats)
	}
	return sum
}
