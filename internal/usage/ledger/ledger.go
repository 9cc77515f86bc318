package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// Settings are how an account is kept. Period and Slice stay as they are while there is one.
type Settings struct {
	Instance string `cbor:"Instance"`
	Period   int64  `cbor:"Period"`
	Slice    int64  `cbor:"Slice"` // divides the period
	// after a period's end until it is sealed: what was answered at its end may still be handed
	// over
	Grace    int64 `cbor:"Grace"`
	MaxKeys  int   `cbor:"Keys"`  // most keys that are remembered, and listed in a statement
	MaxLines int   `cbor:"Lines"` // most lines of the open periods; what goes beyond is counted for no school
}

// Bounds of what is remembered beside.
const (
	mostOpen    = 48     // periods that a clock may go ahead at once
	mostAhead   = 20     // uses in a row from beyond that
	mostIDs     = 10_000 // corrections whose repeats are known for such
	mostPending = 64     // statements that are sealed and cannot be written
	longestText = 200
)

// OtherSchool is the school of what had no room among the lines.
const OtherSchool = "(other)"

// Ledger is the account of one instance. It is used by one goroutine.
type Ledger struct {
	set  Settings
	life string // tells this account from another one of an instance of the same name

	seq      uint64 // of the last statement
	before   string // its digest
	through  int64  // up to here periods are sealed
	newest   int64  // time of the latest use
	sealed   int64  // when that was done last
	ahead    int    // uses in a row that came from a time that is not believed
	lines    map[lineName]*Line
	keys     map[uint64]CountedKey // that were counted as served, until they cannot come again
	listed   CountedKeys           // of them, since the last statement
	fixes    []Correction          // since the last statement
	ids      []string              // of corrections, oldest first
	known    map[string]bool
	pending  []*Statement // sealed, and not known to be written; oldest first
	exports  uint64       // seq of the last that is known to be written
	naming   uint64       // seq of one that is being given its name
	lost     uint64       // uses that were never counted, since the last statement
	ringLost uint64       // of the lost, those of the ring that began behind the use ringFrom
	ringFrom uint64
	swept    int64  // when keys were looked through last
	bareTo   int64  // up to here one whose key is not listed may be repeated
	bare     uint64 // keyed ones whose keys are not listed, since the last statement
	steps    uint64 // uses and corrections that were taken
	over     bool   // it was ended
}

type lineName struct {
	period        int64
	school, class string
}

// New begins an account. The life is a name that no other account of an instance of this name has.
func New(set Settings, life string, now int64) *Ledger {
	return &Ledger{
		set:     set,
		life:    life,
		through: set.PeriodStart(now),
		newest:  now,
		lines:   map[lineName]*Line{},
		keys:    map[uint64]CountedKey{},
		known:   map[string]bool{},
	}
}

// NewSuccessor begins an account in place of one that was ended: keys that it counted as served, and
// corrections that it took, are known on.
func NewSuccessor(old *Ledger, set Settings, life string, now int64) *Ledger {
	l := New(set, life, now)
	l.bareTo = old.bareTo
	for _, id := range old.ids {
		l.remember(id)
	}
	maps.Copy(l.keys, old.keys)
	return l
}

// Settings are how it is kept.
func (l *Ledger) Settings() Settings { return l.set }

// Ended tells whether it was ended.
func (l *Ledger) Ended() bool { return l.over }

// PeriodStart is when the period of a moment began.
func (s Settings) PeriodStart(at int64) int64 {
	p := at / s.Period * s.Period
	if p > at { // before 1970
		p -= s.Period
	}
	return p
}

// Add counts a use.
func (l *Ledger) Add(u Record) {
	l.steps++
	if u.Outcome == 0 || u.Outcome >= outcomeCount {
		l.lost++
		return
	}
	at := l.settle(u.AnsweredAt)
	if u.Key != 0 && u.Outcome == OutcomeServed {
		l.forget(at)
		// What repeats another one that was not counted, as the process was killed before it was
		// answered, is counted here. If keys had no room it may be one of those, and was.
		switch k, ok := l.keys[u.Key]; {
		case ok && at < k.ExpiresAt, u.KnownDuplicate && at < l.bareTo:
			u.Outcome, u.Work = OutcomeDuplicate, 0 // its result was kept, and it ran no second time
		case len(l.keys) >= l.set.MaxKeys:
			l.bare++
			l.bareTo = max(l.bareTo, u.KeyExpiresAt)
		default:
			k = CountedKey{
				Hash:      u.Key,
				ServedAt:  at,
				ExpiresAt: max(u.KeyExpiresAt, at),
				Work:      u.Work,
				School:    u.School,
				Class:     u.Class,
			}.rounded()
			l.keys[u.Key] = k
			l.listed = append(l.listed, k)
		}
	}
	// A use of a sealed period keeps the name of its period: its line is an amendment.
	line := l.line(lineName{l.set.PeriodStart(at), u.School, u.Class})
	n := line.of(u.Outcome)
	*n = sum(*n, 1)
	line.Work = sum(line.Work, max(u.Work, 0))
	if u.Outcome == OutcomeServed {
		line.inSlice(int((at-line.Period)/l.set.Slice), 1)
	}
}

// settle is the time that a use is counted at. One that claims to come long after all others,
// beyond the periods that may be open, is counted with the newest: a clock that was wrong for a
// moment must not open periods of another year. Where that goes on, it is what time it is: the
// account stood still.
func (l *Ledger) settle(at int64) int64 {
	if last := max(l.newest, l.through); at > last+mostOpen*l.set.Period {
		if l.ahead++; l.ahead < mostAhead {
			return last
		}
	}
	l.newest, l.ahead = max(l.newest, at), 0
	return at
}

// forget drops keys that cannot come again, once the table is full: each costs little to keep, and
// a sweep looks at all. It is made once a second at most: a full table that was swept for each use
// made one cost 350 us.
func (l *Ledger) forget(now int64) {
	if len(l.keys) < l.set.MaxKeys || now >= l.swept && now < l.swept+1_000_000 {
		return
	}
	l.swept = now
	maps.DeleteFunc(l.keys, func(_ uint64, k CountedKey) bool { return now >= k.ExpiresAt })
}

// line is the one of a name. Where there is no room for another it is that of the others, and in
// the end one that stands already.
func (l *Ledger) line(n lineName) *Line {
	if line := l.lines[n]; line != nil {
		return line
	}
	if len(l.lines) >= l.set.MaxLines && n.school != OtherSchool {
		return l.line(lineName{n.period, OtherSchool, OtherSchool})
	}
	line := &Line{Period: n.period, School: n.school, Class: n.class}
	l.lines[n] = line
	return line
}

// AddLost counts uses that could not be handed over.
func (l *Ledger) AddLost(n uint64) { l.lost += n }

// AddRingLost counts uses that found no room in a ring. A ring tells of all it ever lost, also after a
// kill: what was counted before is not counted again. It reports how many that is.
func (l *Ledger) AddRingLost(r *Ring) (lost uint64) {
	before := uint64(0)
	if l.ringFrom == r.StartedAfter() {
		before = l.ringLost
	}
	if n := r.Lost(); n > before {
		lost = n - before
		l.lost += lost
		l.ringLost, l.ringFrom = n, r.StartedAfter()
	}
	return lost
}

// Incarnation tells the account from another one of an instance of the same name.
func (l *Ledger) Incarnation() string { return l.life }

// ErrTooManyCorrections is that of a correction for which there is no room before the next statement.
var ErrTooManyCorrections error = full.New("usage: too many corrections since the last statement")

// Correct takes a correction. One whose ID is known is taken already, and is no error; known tells
// of it.
func (l *Ledger) Correct(c Correction, now int64) (known bool, err error) {
	for _, f := range []struct {
		name, value string
		must        bool
	}{{"id", c.ID, true}, {"school", c.School, true}, {"class", c.Class, true}, {"why", c.Reason, true}, {"by", c.Author, false}} {
		if f.must && f.value == "" {
			return false, correction.New("usage: correction: field %s is missing", f.name)
		}
		if len(f.value) > longestText {
			return false, correction.New(
				"usage: correction: field %s has %d bytes; %d is the most",
				f.name,
				len(f.value),
				longestText,
			)
		}
	}
	if c.Count == (Count{}) {
		return false, correction.New("usage: correction: it changes nothing")
	}
	if c.Period != l.set.PeriodStart(c.Period) {
		return false, correction.New(
			"usage: correction: field period: none begins at %d; the one it is in at %d",
			c.Period,
			l.set.PeriodStart(c.Period),
		)
	}
	if c.Period > now {
		return false, correction.New("usage: correction: field period: %d has not begun", c.Period)
	}
	if l.known[c.ID] {
		return true, nil
	}
	if len(l.fixes) >= mostIDs {
		return false, ErrTooManyCorrections
	}
	l.steps++
	l.fixes = append(l.fixes, c)
	l.remember(c.ID)
	return false, nil
}

func (l *Ledger) remember(id string) {
	if l.ids, l.known[id] = append(l.ids, id), true; len(l.ids) > mostIDs {
		delete(l.known, l.ids[0])
		l.ids = slices.Clone(l.ids[1:])
	}
}

// SealDue tells whether a period has ended that is not sealed. One in which nothing was used is sealed
// too: it is known then that nothing was. While statements cannot be written no more are sealed
// than are kept; what is counted goes on into the next one.
func (l *Ledger) SealDue(now int64) bool {
	if len(l.pending) >= mostPending || l.over {
		return false
	}
	return l.ended(now) > l.through ||
		len(l.lines)+len(l.fixes) > 0 && l.isBack(now) && (now < l.sealed || now >= l.sealed+l.set.Period)
}

// isBack tells whether the clock is long before what has been sealed: it was wrong then, or is now.
// Until it is there again a statement a period settles none, and amends.
func (l *Ledger) isBack(now int64) bool { return now+l.set.Period < l.through }

// ended is the end of the last period that can be sealed.
func (l *Ledger) ended(now int64) int64 { return l.set.PeriodStart(now - l.set.Grace) }

// Seal settles the periods that have ended, in one statement. It reports nil where none is due.
func (l *Ledger) Seal(now int64) *Statement {
	if !l.SealDue(now) {
		return nil
	}
	s := l.seal(max(l.ended(now), l.through), false)
	l.sealed = now
	maps.DeleteFunc(l.keys, func(_ uint64, k CountedKey) bool { return now >= k.ExpiresAt })
	return s
}

// Outcome ends the account with a statement of all that it holds, periods that are open as well; nil:
// there is nothing that was not told. Of one account several may be written, by whoever knew it up
// to some use; all are beginnings of one history.
func (l *Ledger) Finish() *Statement {
	if l.over {
		return nil
	}
	l.over = true
	if len(l.lines)+len(l.fixes) == 0 && l.lost == 0 {
		return nil
	}
	to := l.through
	for n := range l.lines {
		to = max(to, n.period+l.set.Period)
	}
	return l.seal(to, true)
}

// seal puts what there is of periods before a moment into a statement.
func (l *Ledger) seal(to int64, last bool) *Statement {
	s := &Statement{
		Format:         FormatVersion,
		Instance:       l.set.Instance,
		Incarnation:    l.life,
		Seq:            l.seq + 1,
		From:           l.through,
		To:             to,
		Period:         l.set.Period,
		Slice:          l.set.Slice,
		PreviousDigest: l.before,
		Corrections:    l.fixes,
		Keys:           l.listed,
		Lost:           l.lost,
		UnlistedKeys:   l.bare,
	}
	if s.Final = last; last {
		s.Format, s.Steps = finalFormatVersion, l.steps
	}
	for n, line := range l.lines {
		if n.period < to {
			s.Lines = append(s.Lines, *line)
			delete(l.lines, n)
		}
	}
	slices.SortFunc(s.Lines, byName)
	slices.SortFunc(
		s.Keys,
		func(a, b CountedKey) int {
			return cmp.Or(cmp.Compare(a.ServedAt, b.ServedAt), cmp.Compare(a.Hash, b.Hash))
		},
	)
	l.seq, l.before, l.through = s.Seq, s.Digest(), to
	l.listed, l.fixes, l.lost, l.bare = nil, nil, 0, 0
	l.pending = append(l.pending, s)
	return s
}

// NextStatement is the statement that is to be written now; nil: none. naming tells that it was being given
// its name when that was kept last: if what it is to be named from is not there any more it has its
// name, or had it and was taken away by who it is for.
func (l *Ledger) NextStatement() (s *Statement, naming bool) {
	if len(l.pending) == 0 {
		return nil, false
	}
	s = l.pending[0]
	return s, l.naming == s.Seq
}

// MarkRenaming notes that a statement is on the disk whole, and is about to be given its name; nil: that
// none is. It has to be kept before that is done.
func (l *Ledger) MarkRenaming(s *Statement) {
	if l.naming = 0; s != nil {
		l.naming = s.Seq
	}
}

// MarkExported notes that a statement has its name.
func (l *Ledger) MarkExported(s *Statement) {
	if len(l.pending) > 0 && l.pending[0].Seq == s.Seq {
		l.pending, l.exports, l.naming = l.pending[1:], s.Seq, 0
	}
}

// OpenLines is what has been counted and is in no statement.
func (l *Ledger) OpenLines() []Line {
	out := make([]Line, 0, len(l.lines))
	for _, line := range l.lines {
		out = append(out, line.clone())
	}
	slices.SortFunc(out, byName)
	return out
}

// Summary is where an account stands.
type Summary struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"life"`
	SealedThrough int64  `json:"through"` // up to here it is sealed
	Statements    uint64 `json:"statements"`
	Exported      uint64 `json:"exported"`
	Keys          int    `json:"keys"`
	Lost          uint64 `json:"lost,omitempty"`
	Lines         []Line `json:"open,omitempty"`
	Corrections   int    `json:"corrections,omitempty"`
}

// Summary is where the account stands.
func (l *Ledger) Summary() Summary {
	return Summary{
		l.set.Instance,
		l.life,
		l.through,
		l.seq,
		l.exports,
		len(l.keys),
		l.lost,
		l.OpenLines(),
		len(l.fixes),
	}
}
