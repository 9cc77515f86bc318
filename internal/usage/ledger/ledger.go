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
	Slice    wallclock.Micros `cbor:"Slice"` // divides Period; quotas are compared slice by slice
	// Grace is how long after its end a period is sealed, so that records of its last moments can
	// still arrive.
	Grace    wallclock.Micros `cbor:"Grace"`
	MaxKeys  int              `cbor:"Keys"`  // idempotency keys that are remembered and listed in a statement
	MaxLines int              `cbor:"Lines"` // lines of open periods; records beyond them are counted for OtherTenant
}

// Bounds of what an account remembers.
const (
	maxOpenPeriods   = 48     // periods by which a record may be ahead of the newest one
	maxAheadRecords  = 20     // consecutive records further ahead until their time is believed
	maxUnwritten     = 64     // sealed statements that are not written yet
	keySweepInterval = second // minimum time between two sweeps of expired keys
)

// OtherTenant is the tenant, and the class, of records beyond Settings.MaxLines, and the name that
// replaces names for which a ring has no room.
const OtherTenant = "(other)"

// Ledger is the account of one instance. It is used by one goroutine.
type Ledger struct {
	settings    Settings
	incarnation string // a name that no other account of the instance has

	// Statements.
	lastSeq       uint64
	lastDigest    string
	sealedThrough wallclock.UnixMicro // periods up to here are sealed
	sealedAt      wallclock.UnixMicro // when the last statement was sealed
	unwritten     []*Statement        // sealed, and not known to be written; oldest first
	exported      uint64              // number of the last statement that is known to be written
	renaming      uint64              // number of the statement whose file is being renamed; 0: none

	// Open periods.
	newest           wallclock.UnixMicro // latest instant at which a record was counted
	consecutiveAhead int                 // latest consecutive records more than maxOpenPeriods ahead
	lines            map[lineKey]*Line
	steps            uint64 // number of records and corrections that were received
	ended            bool
	lost             uint64 // records that were lost instead of counted, since the last statement
	ringLost         uint64 // records added to lost for the ring that began after ringStartedAfter
	ringStartedAfter uint64

	// Idempotency keys.
	keys         map[uint64]CountedKey // counted as served, until they expire
	newKeys      CountedKeys           // keys counted since the last statement
	unlistedKeys uint64                // records since the last statement whose keys are not listed
	// unlistedUntil is the latest expiry of a key that is not listed. Until then a known duplicate may
	// repeat the request of such a key.
	unlistedUntil wallclock.UnixMicro
	sweptAt       wallclock.UnixMicro // when expired keys were last dropped because the table was full

	// Corrections.
	corrections      []Correction // since the last statement
	correctionIDs    []string     // oldest first
	knownCorrections map[string]bool
}

// New returns a new account that begins with the period of now. Its incarnation must differ from that
// of every other account of the instance.
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

// NewSuccessor returns a new account that replaces one that was ended. It knows the keys that the old
// account counted as served, and the IDs of the corrections that it applied.
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

// PeriodStart returns the start of the period that contains an instant.
func (s Settings) PeriodStart(at wallclock.UnixMicro) wallclock.UnixMicro {
	period := wallclock.UnixMicro(s.Period)
	start := at / period * period
	if start > at { // before 1970
		start -= period
	}
	return start
}

// Add counts a record. A record without a valid outcome is counted as lost.
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
	line := l.line(lineKey{l.settings.PeriodStart(at), r.Tenant, r.Class})
	sum := line.counter(r.Outcome)
	*sum = addSaturating(*sum, 1)
	line.Work = addSaturating(line.Work, max(r.Work, 0))
	if r.Outcome == OutcomeServed {
		slice := int((at - line.Period) / wallclock.UnixMicro(l.settings.Slice))
		line.Slices = addToSlice(line.Slices, slice, 1)
	}
}

// countKey remembers the key of a record that was served at the instant at. If the key was counted
// before and has not expired, the record becomes a duplicate: it was answered with the cached result,
// and did not run a second time.
//
// A known duplicate whose key is not remembered counts as served: the process was killed before it
// answered the original request, which was not counted. Until unlistedUntil it counts as a duplicate
// instead, since the original may be a request whose key was left out while the table was full.
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
			Tenant:    r.Tenant,
			Class:     r.Class,
		}.rounded()
		l.keys[r.Key] = key
		l.newKeys = append(l.newKeys, key)
	}
}

// plausibleTime returns the instant at which a record is counted. A record that is more than
// maxOpenPeriods ahead of the newest one is counted at the instant of the newest, because a clock that
// was wrong for a moment must not open periods of another year. After maxAheadRecords such records in a
// row the clock is taken to be right.
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
// the line of OtherTenant, which each period may have in addition.
func (l *Ledger) line(k lineKey) *Line {
	if line := l.lines[k]; line != nil {
		return line
	}
	if len(l.lines) >= l.settings.MaxLines && k.tenant != OtherTenant {
		return l.line(lineKey{k.period, OtherTenant, OtherTenant})
	}
	line := &Line{Period: k.period, Tenant: k.tenant, Class: k.class}
	l.lines[k] = line
	return line
}

// AddLost counts n records as lost.
func (l *Ledger) AddLost(n uint64) { l.lost += n }

// AddRingLost counts as lost the records that found no room in a ring since the last call, and returns
// their number. A ring keeps a total of all its lost records, which survives a kill of the process.
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

// OpenLines returns copies of the lines that are in no statement yet, ordered by period, tenant and
// class.
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
