package ledger

import (
	"encoding/json"
	"maps"
	"slices"

	"ryepaddle/internal/wallclock"
)

// state is the stored form of an account, with the number of the last record that it counted.
type state struct {
	Format        int                 `json:"format"`
	Instance      string              `json:"instance"`
	Incarnation   string              `json:"life"`
	Period        wallclock.Micros    `json:"period_us"`
	Slice         wallclock.Micros    `json:"slice_us"`
	LastRecord    uint64              `json:"taken"`
	LastSeq       uint64              `json:"seq"`
	LastDigest    string              `json:"before,omitempty"`
	SealedThrough wallclock.UnixMicro `json:"through"`
	Newest        wallclock.UnixMicro `json:"newest"`
	SealedAt      wallclock.UnixMicro `json:"sealed"`
	Lines         []Line              `json:"lines,omitempty"`
	Keys          CountedKeys         `json:"keys,omitempty"`
	NewKeys       CountedKeys         `json:"listed,omitempty"`
	Corrections   []Correction        `json:"corrections,omitempty"`
	CorrectionIDs []string            `json:"ids,omitempty"`
	Unwritten     []*Statement        `json:"pending,omitempty"`
	Exported      uint64              `json:"exports"`
	Renaming      uint64              `json:"naming,omitempty"`
	Lost          uint64              `json:"lost,omitempty"`
	UnlistedUntil wallclock.UnixMicro `json:"bare_to,omitempty"`
	RingLost      uint64              `json:"ring_lost,omitempty"`
	RingStart     uint64              `json:"ring_from,omitempty"`
	UnlistedKeys  uint64              `json:"bare,omitempty"`
	Steps         uint64              `json:"steps,omitempty"`
	Ended         bool                `json:"over,omitempty"`
	SweptAt       wallclock.UnixMicro `json:"swept,omitempty"`
	Ahead         int                 `json:"ahead,omitempty"`
}

// Encode returns the contents of the account's file. lastRecord is the number of the last record that
// the account counted.
func (l *Ledger) Encode(lastRecord uint64) []byte {
	s := state{
		Format:        FormatVersion,
		Instance:      l.settings.Instance,
		Incarnation:   l.incarnation,
		Period:        l.settings.Period,
		Slice:         l.settings.Slice,
		LastRecord:    lastRecord,
		LastSeq:       l.lastSeq,
		LastDigest:    l.lastDigest,
		SealedThrough: l.sealedThrough,
		Newest:        l.newest,
		SealedAt:      l.sealedAt,
		Lines:         l.OpenLines(),
		NewKeys:       l.newKeys,
		Corrections:   l.corrections,
		CorrectionIDs: l.correctionIDs,
		Unwritten:     l.unwritten,
		Exported:      l.exported,
		Renaming:      l.renaming,
		Lost:          l.lost,
		UnlistedUntil: l.unlistedUntil,
		RingLost:      l.ringLost,
		RingStart:     l.ringStartedAfter,
		UnlistedKeys:  l.unlistedKeys,
		Steps:         l.steps,
		Ended:         l.ended,
		SweptAt:       l.sweptAt,
		Ahead:         l.consecutiveAhead,
	}
	for _, hash := range slices.Sorted(maps.Keys(l.keys)) {
		s.Keys = append(s.Keys, l.keys[hash])
	}
	return appendDigest(mustMarshal(s), stateMark)
}

// Inspect returns the account that a file holds, for any instance and any length of periods.
func Inspect(file []byte) (*Ledger, error) {
	s, err := decodeState(file)
	if err != nil {
		return nil, err
	}
	l, _, err := s.restore(Settings{Instance: s.Instance})
	return l, err
}

// Decode returns the account that a file holds, and the number of the last record that it counted. An
// account of another instance, or with other lengths of periods or slices, is an error of kind
// usage.format: its statements would overlap those that were written.
func Decode(settings Settings, file []byte) (l *Ledger, lastRecord uint64, err error) {
	s, err := decodeState(file)
	if err != nil {
		return nil, 0, err
	}
	return s.restore(settings)
}

func decodeState(file []byte) (*state, error) {
	body, err := checkDigest(file, stateMark)
	if err != nil {
		return nil, err
	}
	s := &state{}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, err
	}
	return s, nil
}

// check returns an error if an account with these settings cannot continue from the state.
func (s *state) check(settings Settings) error {
	switch {
	case s.Format < 1 || s.Format > FormatVersion:
		return kindFormat.New("format version %d; this program supports up to %d", s.Format, FormatVersion)
	case s.Instance != settings.Instance:
		return kindFormat.New("the account is of instance %s, but this instance is %s", s.Instance, settings.Instance)
	case settings.Period != 0 && (s.Period != settings.Period || s.Slice != settings.Slice):
		return kindFormat.New(
			"the account has periods of %d s in slices of %d s, but the settings say %d s and %d s: "+
				"end the account, and begin a new one in another folder",
			s.Period/second,
			s.Slice/second,
			settings.Period/second,
			settings.Slice/second,
		)
	}
	return nil
}

// restore returns the account of the state, with the lengths of periods and slices of the state. It
// checks them against the settings only if these have a period.
func (s *state) restore(settings Settings) (*Ledger, uint64, error) {
	if err := s.check(settings); err != nil {
		return nil, 0, err
	}
	settings.Period = s.Period
	settings.Slice = s.Slice
	l := New(settings, s.Incarnation, 0)
	l.lastSeq = s.LastSeq
	l.lastDigest = s.LastDigest
	l.sealedThrough = s.SealedThrough
	l.sealedAt = s.SealedAt
	l.unwritten = s.Unwritten
	l.exported = s.Exported
	l.renaming = s.Renaming

	l.newest = s.Newest
	l.consecutiveAhead = s.Ahead
	l.steps = s.Steps
	l.ended = s.Ended
	l.lost = s.Lost
	l.ringLost = s.RingLost
	l.ringStartedAfter = s.RingStart

	l.newKeys = s.NewKeys
	l.unlistedKeys = s.UnlistedKeys
	l.unlistedUntil = s.UnlistedUntil
	l.sweptAt = s.SweptAt

	l.corrections = s.Corrections
	for _, line := range s.Lines {
		l.lines[line.key()] = &line
	}
	for _, k := range s.Keys {
		l.keys[k.Hash] = k
	}
	for _, id := range s.CorrectionIDs {
		l.rememberCorrection(id)
	}
	return l, s.LastRecord, nil
}
