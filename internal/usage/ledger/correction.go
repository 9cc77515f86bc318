package ledger

import (
	"slices"

	"ryepaddle/internal/wallclock"
)

// Bounds of corrections.
const (
	maxCorrectionIDs = 10_000 // remembered IDs, by which repeats are recognized, and the most pending corrections
	maxTextBytes     = 200    // of each text of a correction, and of a name in a ring
)

// Correction is an operator's change to the account, for any period that has begun.
type Correction struct {
	ID     string              `json:"id"` // a second correction with the same ID is ignored
	Period wallclock.UnixMicro `json:"period"`
	Tenant string              `json:"school"`
	Class  string              `json:"class"`
	Count
	Reason string `json:"why"`
	Author string `json:"by,omitempty"`
}

// Correct applies a correction. known reports that a correction with its ID was applied before, which is
// not an error. The error is of kind usage.correction, or ErrTooManyCorrections.
func (l *Ledger) Correct(c Correction, now wallclock.UnixMicro) (known bool, err error) {
	if err := l.validate(&c, now); err != nil {
		return false, err
	}
	if l.knownCorrections[c.ID] {
		return true, nil
	}
	if len(l.corrections) >= maxCorrectionIDs {
		return false, ErrTooManyCorrections
	}
	l.steps++
	l.corrections = append(l.corrections, c)
	l.rememberCorrection(c.ID)
	return false, nil
}

// validate returns an error that names the wrong field if a correction is invalid.
func (l *Ledger) validate(c *Correction, now wallclock.UnixMicro) error {
	for _, f := range []struct {
		name, value string
		required    bool
	}{
		{"id", c.ID, true},
		{"school", c.Tenant, true},
		{"class", c.Class, true},
		{"why", c.Reason, true},
		{"by", c.Author, false},
	} {
		if f.required && f.value == "" {
			return kindCorrection.New("usage: correction: field %s is missing", f.name)
		}
		if len(f.value) > maxTextBytes {
			return kindCorrection.New(
				"usage: correction: field %s has %d bytes, more than the maximum of %d",
				f.name,
				len(f.value),
				maxTextBytes,
			)
		}
	}
	if c.Count == (Count{}) {
		return kindCorrection.New("usage: correction: it changes nothing")
	}
	if start := l.settings.PeriodStart(c.Period); c.Period != start {
		return kindCorrection.New(
			"usage: correction: field period: %d is not the start of a period; its period starts at %d",
			c.Period,
			start,
		)
	}
	if c.Period > now {
		return kindCorrection.New("usage: correction: field period: %d has not begun", c.Period)
	}
	return nil
}

// rememberCorrection remembers the ID of a correction, and forgets the oldest beyond maxCorrectionIDs.
func (l *Ledger) rememberCorrection(id string) {
	l.correctionIDs = append(l.correctionIDs, id)
	l.knownCorrections[id] = true
	if len(l.correctionIDs) > maxCorrectionIDs {
		delete(l.knownCorrections, l.correctionIDs[0])
		l.correctionIDs = slices.Clone(l.correctionIDs[1:])
	}
}
