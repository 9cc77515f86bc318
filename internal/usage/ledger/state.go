package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// state is an account as it is kept: all that New does not make, and up to which use it was handed
// over.
type state struct {
	Format   int          `json:"format"`
	Instance string       `json:"instance"`
	Life     string       `json:"life"`
	PeriodUs int64        `json:"period_us"`
	SliceUs  int64        `json:"slice_us"`
	Taken    uint64       `json:"taken"`
	Seq      uint64       `json:"seq"`
	Before   string       `json:"before,omitempty"`
	Through  int64        `json:"through"`
	Newest   int64        `json:"newest"`
	Sealed   int64        `json:"sealed"`
	Lines    []Line       `json:"lines,omitempty"`
	Keys     CountedKeys  `json:"keys,omitempty"`
	Listed   CountedKeys  `json:"listed,omitempty"`
	Fixes    []Correction `json:"corrections,omitempty"`
	IDs      []string     `json:"ids,omitempty"`
	Pending  []*Statement `json:"pending,omitempty"`
	Exports  uint64       `json:"exports"`
	Naming   uint64       `json:"naming,omitempty"`
	Lost     uint64       `json:"lost,omitempty"`
	BareTo   int64        `json:"bare_to,omitempty"`
	RingLost uint64       `json:"ring_lost,omitempty"`
	RingFrom uint64       `json:"ring_from,omitempty"`
	Bare     uint64       `json:"bare,omitempty"`
	Steps    uint64       `json:"steps,omitempty"`
	Over     bool         `json:"over,omitempty"`
	Swept    int64        `json:"swept,omitempty"`
	Ahead    int          `json:"ahead,omitempty"`
}

// Encode is the account as a file. Taken is the number of the last use in it.
func (l *Ledger) Encode(taken uint64) []byte {
	s := state{
		Format:   FormatVersion,
		Instance: l.set.Instance,
		Life:     l.life,
		PeriodUs: l.set.Period,
		SliceUs:  l.set.Slice,
		Taken:    taken,
		Seq:      l.seq,
		Before:   l.before,
		Through:  l.through,
		Newest:   l.newest,
		Sealed:   l.sealed,
		Lines:    l.OpenLines(),
		Listed:   l.listed,
		Fixes:    l.fixes,
		IDs:      l.ids,
		Pending:  l.pending,
		Exports:  l.exports,
		Naming:   l.naming,
		Lost:     l.lost,
		Bare:     l.bare,
		RingLost: l.ringLost,
		RingFrom: l.ringFrom,
		BareTo:   l.bareTo,
		Steps:    l.steps,
		Over:     l.over,
		Swept:    l.swept,
		Ahead:    l.ahead,
	}
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.Keys = append(s.Keys, l.keys[key])
	}
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // there is nothing in it that cannot be written
	}
	sum := sha256.Sum256(b)
	return fmt.Appendf(b, "\n%s%s\n", stateMark, hex.EncodeToString(sum[:]))
}

// Inspect is the account of a file, to be looked at.
func Inspect(b []byte) (*Ledger, error) {
	body, err := sealed(b, stateMark)
	if err != nil {
		return nil, err
	}
	var s state
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, err
	}
	l, _, err := Decode(Settings{Instance: s.Instance}, b)
	return l, err
}

// Decode is the account of a file, and the number of the last use in it. An account of other
// periods is not gone on with: its statements would lie across those that were written.
func Decode(set Settings, b []byte) (*Ledger, uint64, error) {
	body, err := sealed(b, stateMark)
	if err != nil {
		return nil, 0, err
	}
	var s state
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, 0, err
	}
	switch {
	case s.Format < 1 || s.Format > FormatVersion:
		return nil, 0, format.New("format %d; this program knows up to %d", s.Format, FormatVersion)
	case s.Instance != set.Instance:
		return nil, 0, format.New("it is the account of %s, and this is %s", s.Instance, set.Instance)
	case set.Period != 0 && (s.PeriodUs != set.Period || s.SliceUs != set.Slice):
		return nil, 0, format.New(
			"it has periods of %d s in slices of %d s, and the settings say %d and %d: end it, and begin another folder",
			s.PeriodUs/1e6,
			s.SliceUs/1e6,
			set.Period/1e6,
			set.Slice/1e6,
		)
	}
	set.Period, set.Slice = s.PeriodUs, s.SliceUs
	l := New(set, s.Life, 0)
	l.seq, l.before, l.through, l.newest, l.fixes, l.pending = s.Seq, s.Before, s.Through, s.Newest, s.Fixes, s.Pending
	l.sealed, l.exports, l.naming, l.lost, l.bare, l.ringLost = s.Sealed, s.Exports, s.Naming, s.Lost, s.Bare, s.RingLost
	for _, n := range s.Lines {
		l.lines[lineName{n.Period, n.School, n.Class}] = &n
	}
	l.listed, l.bareTo, l.ringFrom = s.Listed, s.BareTo, s.RingFrom
	l.steps, l.over, l.swept, l.ahead = s.Steps, s.Over, s.Swept, s.Ahead
	for _, k := range s.Keys {
		l.keys[k.Hash] = k
	}
	for _, id := range s.IDs {
		l.remember(id)
	}
	return l, s.Taken, nil
}
