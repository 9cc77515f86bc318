package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// BillingTerms are what a bill is made by.
type BillingTerms struct {
	// Quotas are what schools may use, in requests a second over all instances; a school that is
	// not in it has no share, and nothing of what it uses is above.
	Quotas map[string]float64
	// Instances are those of which statements are expected; empty: of those that there is any of.
	Instances []string
}

// Bill is what statements come to together.
type Bill struct {
	Periods             []BillPeriod `json:"periods"`
	Lines               []BillLine   `json:"lines"`
	Schools             []BillSchool `json:"schools"`
	Problems            []Problem    `json:"problems,omitempty"`
	Statements          int          `json:"statements"`       // that it is made of
	DuplicateStatements int          `json:"copies,omitempty"` // of those, that were there more than once
	// hand-ins that two instances counted, and are counted once here
	DeduplicatedRuns int    `json:"twice,omitempty"`
	Lost             uint64 `json:"lost,omitempty"` // uses that are known to be in no statement
}

// BillPeriod tells whether all instances have told of a period.
type BillPeriod struct {
	Period           int64    `json:"period"`
	MissingInstances []string `json:"missing,omitempty"` // instances that have not
}

// BillLine is what a school used of a class in a period.
type BillLine struct {
	Period int64  `json:"period"`
	School string `json:"school"`
	Class  string `json:"class"`
	Count
	Changed bool `json:"changed,omitempty"` // by an amendment or a correction
}

// BillSchool is what a school used in a period, beside its share.
type BillSchool struct {
	Period     int64   `json:"period"`
	School     string  `json:"school"`
	Served     int64   `json:"served"`
	AboveQuota float64 `json:"above"` // of them, beyond its share of the slice that they were served in
	Work       int64   `json:"work_us"`
}

// Problem is what keeps a bill from being the whole truth.
type Problem struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"life,omitempty"`
	Description string `json:"what"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s (account %s): %s", p.Instance, cmp.Or(p.Incarnation, "none"), p.Description)
}

type account struct{ instance, life string }

// Reconcile puts statements together: each is counted once however often it is there, in any order.
// What does not fit is a problem of the bill and no error: the rest is still worth knowing.
// Statements of different periods cannot be put together.
func Reconcile(list []*Statement, terms BillingTerms) (*Bill, error) {
	r := &reconciler{
		bill:   &Bill{Periods: []BillPeriod{}, Lines: []BillLine{}, Schools: []BillSchool{}},
		lines:  map[lineName]*BillLine{},
		slices: map[schoolName][]int64{},
		fixes:  map[string]bool{},
	}
	byAccount := map[account]map[uint64]*Statement{}
	spoiled := map[account]map[uint64]bool{}
	for _, s := range list {
		if r.period == 0 {
			r.period, r.slice = s.Period, s.Slice
		}
		if s.Period != r.period || s.Slice != r.slice {
			return nil, apart.New(
				"usage: %s has periods of %d s in slices of %d s, others of %d and %d",
				s.FileName(),
				s.Period/1e6,
				s.Slice/1e6,
				r.period/1e6,
				r.slice/1e6,
			)
		}
		a := account{s.Instance, s.Incarnation}
		if byAccount[a] == nil {
			byAccount[a], spoiled[a] = map[uint64]*Statement{}, map[uint64]bool{}
		}
		switch was := byAccount[a][s.Seq]; {
		case was == nil:
			byAccount[a][s.Seq] = s
		case was.Digest() == s.Digest():
			r.bill.DuplicateStatements++
		case was.Final || s.Final: // heirs ended it, as far as each knew it
			if r.bill.DuplicateStatements++; s.supersedes(was) {
				byAccount[a][s.Seq] = s
			}
		default:
			spoiled[a][s.Seq] = true
		}
	}
	accounts := slices.SortedFunc(maps.Keys(byAccount), func(a, b account) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.life, b.life))
	})
	for _, a := range accounts {
		r.chain(a, byAccount[a], spoiled[a])
	}
	r.once()
	r.shares(terms.Quotas)
	r.covered(terms.Instances)
	r.close()
	return r.bill, nil
}

type schoolName struct {
	period int64
	school string
}

type told struct {
	instance string
	from, to int64
}

type reconciler struct {
	bill          *Bill
	period, slice int64
	lines         map[lineName]*BillLine
	slices        map[schoolName][]int64
	fixes         map[string]bool
	keys          []CountedKey
	told          []told
}

func (r *reconciler) problem(a account, format string, args ...any) {
	r.bill.Problems = append(r.bill.Problems, Problem{a.instance, a.life, fmt.Sprintf(format, args...)})
}

// chain takes the statements of an account, and tells which are missing and which do not follow the
// one before.
func (r *reconciler) chain(a account, bySeq map[uint64]*Statement, spoiled map[uint64]bool) {
	var before *Statement
	next := uint64(1)
	for _, seq := range slices.Sorted(maps.Keys(bySeq)) {
		s := bySeq[seq]
		switch {
		case seq == next+1:
			r.problem(a, "statement %d is missing", next)
		case seq > next:
			r.problem(a, "statements %d to %d are missing", next, seq-1)
		}
		next = seq + 1
		if spoiled[seq] { // neither is believed
			r.problem(a, "there are two statements %d, which differ; neither is counted", seq)
			before = nil
			continue
		}
		if before != nil && before.Seq == seq-1 && (s.PreviousDigest != before.Digest() || s.From != before.To) {
			r.problem(
				a,
				"statement %d does not follow the statement %d that is here; both are counted",
				seq,
				seq-1,
			)
		}
		before = s
		r.take(a, s)
	}
}

func (r *reconciler) take(a account, s *Statement) {
	r.bill.Statements++
	if r.bill.Lost += s.Lost; s.Lost > 0 {
		r.problem(a, "statement %d says that %d uses were lost", s.Seq, s.Lost)
	}
	if s.UnlistedKeys > 0 {
		r.problem(
			a,
			"statement %d does not list the keys of %d uses; other instances may have counted them too",
			s.Seq,
			s.UnlistedKeys,
		)
	}
	for _, n := range s.Lines {
		b := r.line(lineName{n.Period, n.School, n.Class})
		b.Add(n.Count)
		b.Changed = b.Changed || n.Period < s.From
		for i, served := range n.Slices {
			r.inSlice(schoolName{n.Period, n.School}, i, served)
		}
	}
	for _, c := range s.Corrections {
		if r.fixes[c.ID] { // given to two instances it is still one
			continue
		}
		r.fixes[c.ID] = true
		b := r.line(lineName{c.Period, c.School, c.Class})
		b.Add(c.Count)
		b.Changed = true
	}
	r.keys = append(r.keys, s.Keys...)
	r.told = append(r.told, told{s.Instance, s.From, s.To})
}

func (r *reconciler) line(n lineName) *BillLine {
	if r.lines[n] == nil {
		r.lines[n] = &BillLine{Period: n.period, School: n.school, Class: n.class}
	}
	return r.lines[n]
}

func (r *reconciler) inSlice(n schoolName, i int, by int64) {
	s := r.slices[n]
	if i >= len(s) {
		s = append(s, make([]int64, i+1-len(s))...)
	}
	s[i] += by
	r.slices[n] = s
}

// once counts a hand-in once that two instances ran: the first stands, as long as the key does.
func (r *reconciler) once() {
	slices.SortFunc(r.keys, func(a, b CountedKey) int {
		return cmp.Or(cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.ServedAt, b.ServedAt), cmp.Compare(a.Work, b.Work))
	})
	var first CountedKey
	for i, k := range r.keys {
		if i == 0 || k.Hash != first.Hash || k.School != first.School || k.Class != first.Class ||
			k.ServedAt >= first.ExpiresAt {
			first = k
			continue
		}
		r.bill.DeduplicatedRuns++
		period := k.ServedAt - ((k.ServedAt%r.period)+r.period)%r.period
		b := r.line(lineName{period, k.School, k.Class})
		b.Add(Count{Served: -1, Duplicates: 1, Work: -k.Work})
		r.inSlice(schoolName{period, k.School}, int((k.ServedAt-period)/r.slice), -1)
	}
}

// shares compares what schools used with their shares, slice by slice.
func (r *reconciler) shares(shares map[string]float64) {
	sums := map[schoolName]*BillSchool{}
	for n, b := range r.lines {
		name := schoolName{n.period, n.school}
		if sums[name] == nil {
			sums[name] = &BillSchool{Period: n.period, School: n.school}
		}
		sums[name].Served = sum(sums[name].Served, b.Served)
		sums[name].Work = sum(sums[name].Work, b.Work)
	}
	for name, s := range sums {
		if rate, ok := shares[name.school]; ok {
			for _, served := range r.slices[name] {
				s.AboveQuota += max(float64(served)-rate*float64(r.slice)/1e6, 0)
			}
			// a correction may have taken some of it back
			s.AboveQuota = min(s.AboveQuota, float64(max(s.Served, 0)))
		}
		r.bill.Schools = append(r.bill.Schools, *s)
	}
	slices.SortFunc(r.bill.Schools, func(a, b BillSchool) int {
		return cmp.Or(cmp.Compare(a.Period, b.Period), cmp.Compare(a.School, b.School))
	})
}

// covered says of which periods all instances have told.
func (r *reconciler) covered(instances []string) {
	seen := map[string]bool{}
	periods := map[int64]bool{}
	for _, t := range r.told {
		seen[t.instance] = true
	}
	for _, name := range instances {
		if !seen[name] {
			r.problem(account{instance: name}, "there is no statement of it")
		}
		seen[name] = true
	}
	for n := range r.lines {
		periods[n.period] = true
	}
	names := slices.Sorted(maps.Keys(seen))
	for _, p := range slices.Sorted(maps.Keys(periods)) {
		b := BillPeriod{Period: p}
		for _, name := range names {
			if !slices.ContainsFunc(
				r.told,
				func(t told) bool { return t.instance == name && t.from <= p && p < t.to },
			) {
				b.MissingInstances = append(b.MissingInstances, name)
			}
		}
		r.bill.Periods = append(r.bill.Periods, b)
	}
}

func (r *reconciler) close() {
	for n, b := range r.lines {
		if b.isBelow() {
			r.bill.Problems = append(
				r.bill.Problems,
				Problem{
					Instance: "bill",
					Description: fmt.Sprintf(
						"%s, %s, period %d: a sum is below nought",
						n.school,
						n.class,
						n.period,
					),
				},
			)
		}
		r.bill.Lines = append(r.bill.Lines, *b)
	}
	slices.SortFunc(r.bill.Lines, func(a, b BillLine) int {
		return cmp.Or(
			cmp.Compare(a.Period, b.Period),
			cmp.Compare(a.School, b.School),
			cmp.Compare(a.Class, b.Class),
		)
	})
	slices.SortFunc(r.bill.Problems, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Description, b.Description),
		)
	})
}
