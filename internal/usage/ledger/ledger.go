package ledger

import (
	"maps"
	"slices"

	"ryepaddle/internal/wallclock"
)

// Settings configure an account. Period and Slice are fixed for its lifetime.
type Settings struct {
	Instance string           `cbor:"Instance"`
	Period   wallclock.Micros `cbor:"Period"`
	Slice    wallclock.Micros `cbor:"Slice"` // divides the period
	// Grace is the time from a period's end until it is sealed: records of its end may still be on
	// their way.
	Grace    wallclock.Micros `cbor:"Grace"`
	MaxKeys  int              `cbor:"Keys"`  // keys that are remembered, and listed in a statement
	MaxLines int              `cbor:"Lines"` // of open periods; further ones are counted for OtherSchool
}

// Bounds of what an account remembers.
const (
	maxOpenPeriods   = 48 // that a clock may run ahead at once
	maxAheadRecords  = 20 // records in a row from beyond that
	maxUnwritten     = 64 // statements that are sealed and cannot be written
	keySweepInterval = second
)

// OtherSchool is the school of records for which there is no line left.
const OtherSchool = "(other)"

// Ledger is the account of one instance. It is used by one goroutine.
type Ledger struct {
	settings    Settings
	incarnation string // a name that no other account of the instance has

	// Statements.
	lastSeq       uint64
	lastDigest    string
	sealedThrough wallclock.UnixMicro // periods up to here are sealed
	sealedAt      wallclock.UnixMicro // when the last was sealed
	unwritten     []*Statement        // sealed, and not known to be written; oldest first
	exported      uint64              // number of the last that is known to be written
	renaming      uint64              // number of the one that is being renamed; 0: none

	// Open periods.
	newest           wallclock.UnixMicro // instant of the latest record
	consecutiveAhead int                 // latest records in a row that were beyond maxOpenPeriods
	lines            map[lineKey]*Line
	steps            uint64 // records and corrections that were taken
	ended            bool
	lost             uint64 // records that were never counted, since the last statement
	ringLost         uint64 // part of lost: those of the ring that began after record ringStartedAfter
	ringStartedAfter uint64

	// Idempotency keys.
	keys         map[uint64]CountedKey // counted as served, until they expire
	newKeys      CountedKeys           // those since the last statement
	unlistedKeys uint64                // records since the last statement whose keys are not listed
	// unlistedUntil is the instant up to which a request may repeat one whose key is not listed.
	unlistedUntil wallclock.UnixMicro
	sweptAt       wallclock.UnixMicro // when expired keys were dropped

	// Corrections.
	corrections      []Correction // since the last statement
	correctionIDs    []string     // oldest first
	knownCorrections map[string]bool
}

// New begins an account. No other account of an instance of this name may have its incarnation.
func New(settings Settings, incarnation string, now wallclock.UnixMicro) *Ledger {
	return &Ledger{
		settings:         settings,
		incarnation:      incarnation,
		sealedThrough:    settings.PeriodStart(now),
		newest:           now,
		lines:            map[lineKey]*Line{},
		keys:             map[uint64]CountedKey{},
		knownCorrections: map[string]bool{},
	}
}

// NewSuccessor begins an account in place of one that was ended. It knows the keys that the old one
// counted as served and the corrections that it took.
func NewSuccessor(old *Ledger, settings Settings, incarnation string, now wallclock.UnixMicro) *Ledger {
	l := New(settings, incarnation, now)
	l.unlistedUntil = old.unlistedUntil
	for _, id := range old.correctionIDs {
		l.rememberCorrection(id)
	}
	maps.Copy(l.keys, old.keys)
	return l
}

// Settings returns the settings of the account.
func (l *Ledger) Settings() Settings { return l.settings }

// Incarnation returns the name that no other account of the instance has.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Ended reports whether Finish was called.
func (l *Ledger) Ended() bool { return l.ended }

// PeriodStart returns when the period of an instant began.
func (s Settings) PeriodStart(at wallclock.UnixMicro) wallclock.UnixMicro {
	period := wallclock.UnixMicro(s.Period)
	start := at / period * period
	if start > at { // before 1970
		start -= period
	}
	return start
}

// Add counts a record.
func (l *Ledger) Add(r Record) {
	l.steps++
	if r.Outcome == 0 || r.Outcome >= outcomeCount {
		l.lost++
		return
	}
	at := l.plausibleTime(r.AnsweredAt)
	if r.Key != 0 && r.Outcome == OutcomeServed {
		l.countKey(&r, at)
	}
	// A record of a sealed period keeps its period: its line is an amendment.
	line := l.line(lineKey{l.settings.PeriodStart(at), r.School, r.Class})
	sum := line.counter(r.Outcome)
	*sum = addSaturating(*sum, 1)
	line.Work = addSaturating(line.Work, max(r.Work, 0))
	if r.Outcome == OutcomeServed {
		slice := int((at - line.Period) / wallclock.UnixMicro(l.settings.Slice))
		line.Slices = addToSlice(line.Slices, slice, 1)
	}
}

// countKey notes the key of a record that was served at an instant. If the key was counted before, the
// record becomes a duplicate: its result was cached, and it did not run a second time.
//
// A duplicate of a request that was not counted, as the process was killed before it answered, is
// counted here. While some keys are not listed, as the table was full, it may be a duplicate of one of
// those, and is counted as one.
func (l *Ledger) countKey(r *Record, at wallclock.UnixMicro) {
	l.sweepKeys(at)
	known, ok := l.keys[r.Key]
	switch {
	case ok && at < known.ExpiresAt, r.KnownDuplicate && at < l.unlistedUntil:
		r.Outcome = OutcomeDuplicate
		r.Work = 0
	case len(l.keys) >= l.settings.MaxKeys:
		l.unlistedKeys++
		l.unlistedUntil = max(l.unlistedUntil, r.KeyExpiresAt)
	default:
		key := CountedKey{
			Hash:      r.Key,
			ServedAt:  at,
			ExpiresAt: max(r.KeyExpiresAt, at),
			Work:      r.Work,
			School:    r.School,
			Class:     r.Class,
		}.rounded()
		l.keys[r.Key] = key
		l.newKeys = append(l.newKeys, key)
	}
}

// plausibleTime returns the instant at which a record is counted. One from beyond the periods that
// may be open is counted with the newest, as a clock that was wrong for a moment must not open
// periods of another year. After maxAheadRecords of them in a row the clock is taken to be right.
func (l *Ledger) plausibleTime(at wallclock.UnixMicro) wallclock.UnixMicro {
	last := max(l.newest, l.sealedThrough)
	if at > (maxOpenPeriods * l.settings.Period).After(last) {
		l.consecutiveAhead++
		if l.consecutiveAhead < maxAheadRecords {
			return last
		}
	}
	l.newest = max(l.newest, at)
	l.consecutiveAhead = 0
	return at
}

// sweepKeys drops expired keys once the table is full, at most once in keySweepInterval: a sweep
// looks at all keys.
func (l *Ledger) sweepKeys(now wallclock.UnixMicro) {
	sweptNow := now >= l.sweptAt && now < keySweepInterval.After(l.sweptAt)
	if len(l.keys) < l.settings.MaxKeys || sweptNow {
		return
	}
	l.sweptAt = now
	l.dropExpiredKeys(now)
}

func (l *Ledger) dropExpiredKeys(now wallclock.UnixMicro) {
	maps.DeleteFunc(l.keys, func(_ uint64, k CountedKey) bool { return now >= k.ExpiresAt })
}

// line returns the line of a key, which it adds if there is none. Beyond Settings.MaxLines it returns
// the line of OtherSchool, which each period may have in addition.
func (l *Ledger) line(k lineKey) *Line {
	if line := l.lines[k]; line != nil {
		return line
	}
	if len(l.lines) >= l.settings.MaxLines && k.school != OtherSchool {
		return l.line(lineKey{k.period, OtherSchool, OtherSchool})
	}
	line := &Line{Period: k.period, School: k.school, Class: k.class}
	l.lines[k] = line
	return line
}

// AddLost counts records that could not be delivered.
func (l *Ledger) AddLost(n uint64) { l.lost += n }

// AddRingLost counts the records that found no room in a ring since this was called last, and returns
// their number. A ring counts all that it ever lost, also over a kill of the process.
func (l *Ledger) AddRingLost(r *Ring) (lost uint64) {
	counted := uint64(0)
	if l.ringStartedAfter == r.StartedAfter() {
		counted = l.ringLost
	}
	total := r.Lost()
	if total > counted {
		lost = total - counted
		l.lost += lost
		l.ringLost = total
		l.ringStartedAfter = r.StartedAfter()
	}
	return lost
}

// OpenLines returns what has been counted and is in no statement.
func (l *Ledger) OpenLines() []Line {
	out := make([]Line, 0, len(l.lines))
	for _, line := range l.lines {
		out = append(out, line.clone())
	}
	slices.SortFunc(out, compareLines)
	return out
}

// Summary is the state of an account, for operators.
type Summary struct {
	Instance      string              `json:"instance"`
	Incarnation   string              `json:"life"`
	SealedThrough wallclock.UnixMicro `json:"through"`
	Statements    uint64              `json:"statements"`
	Exported      uint64              `json:"exported"`
	Keys          int                 `json:"keys"`
	Lost          uint64              `json:"lost,omitempty"`
	Lines         []Line              `json:"open,omitempty"`
	Corrections   int                 `json:"corrections,omitempty"`
}

// Summary returns the state of the account.
func (l *Ledger) Summary() Summary {
	return Summary{
		Instance:      l.settings.Instance,
		Incarnation:   l.incarnation,
		SealedThrough: l.sealedThrough,
		Statements:    l.lastSeq,
		Exported:      l.exported,
		Keys:          len(l.keys),
		Lost:          l.lost,
		Lines:         l.OpenLines(),
		Corrections:   len(l.corrections),
	}
}
