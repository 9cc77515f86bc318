package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"ryepaddle/internal/wallclock"
)

// Reconcile makes a bill of statements, which may be in any order and repeated. Missing, conflicting and
// incomplete statements are reported as problems of the bill, not as an error. Statements with different
// lengths of periods or slices are an error of kind usage.apart.
func Reconcile(list []*Statement, terms BillingTerms) (*Bill, error) {
	r := &reconciler{
		bill:          &Bill{Periods: []BillPeriod{}, Lines: []BillLine{}, Tenants: []BillTenant{}},
		accounts:      map[accountName]*accountStatements{},
		lines:         map[lineKey]*BillLine{},
		servedBySlice: map[tenantPeriod][]int64{},
		corrections:   map[string]bool{},
	}
	for _, s := range list {
		if err := r.collect(s); err != nil {
			return nil, err
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(r.accounts), compareAccounts) {
		r.addAccount(name, r.accounts[name])
	}
	r.deduplicateKeys()
	r.applyQuotas(terms.Quotas)
	r.checkCoverage(terms.Instances)
	r.finish()
	return r.bill, nil
}

// accountName identifies an account of an instance.
type accountName struct{ instance, incarnation string }

func compareAccounts(a, b accountName) int {
	return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.incarnation, b.incarnation))
}

// accountStatements are the statements of an account, by their numbers.
type accountStatements struct {
	bySeq       map[uint64]*Statement
	conflicting map[uint64]bool // numbers of which there are two statements that differ
}

// tenantPeriod identifies a period of a tenant.
type tenantPeriod struct {
	period wallclock.UnixMicro
	tenant string
}

// coverage says that an instance has settled the periods from one instant (inclusive) to another (exclusive).
type coverage struct {
	instance string
	from, to wallclock.UnixMicro
}

// reconciler holds the state of making one bill.
type reconciler struct {
	bill          *Bill
	period, slice wallclock.Micros // of all statements
	accounts      map[accountName]*accountStatements
	lines         map[lineKey]*BillLine
	servedBySlice map[tenantPeriod][]int64
	corrections   map[string]bool // IDs of the corrections that are counted
	keys          []CountedKey
	settled       []coverage
}

func (r *reconciler) addProblem(a accountName, format string, args ...any) {
	r.bill.Problems = append(r.bill.Problems, Problem{
		Instance:    a.instance,
		Incarnation: a.incarnation,
		Description: fmt.Sprintf(format, args...),
	})
}

// collect adds a statement to those of its account. Replicas may have made several final statements
// with one number; the one that supersedes the others is kept.
func (r *reconciler) collect(s *Statement) error {
	if r.period == 0 {
		r.period = s.Period
		r.slice = s.Slice
	}
	if s.Period != r.period || s.Slice != r.slice {
		return kindIncompatible.New(
			"usage: %s has periods of %d s in slices of %d s, but other statements have %d s and %d s",
			s.FileName(),
			s.Period/second,
			s.Slice/second,
			r.period/second,
			r.slice/second,
		)
	}
	name := accountName{s.Instance, s.Incarnation}
	account := r.accounts[name]
	if account == nil {
		account = &accountStatements{bySeq: map[uint64]*Statement{}, conflicting: map[uint64]bool{}}
		r.accounts[name] = account
	}
	other := account.bySeq[s.Seq]
	switch {
	case other == nil:
		account.bySeq[s.Seq] = s
	case other.Digest() == s.Digest():
		r.bill.DuplicateStatements++
	case other.Final || s.Final:
		r.bill.DuplicateStatements++
		if s.supersedes(other) {
			account.bySeq[s.Seq] = s
		}
	default:
		account.conflicting[s.Seq] = true
	}
	return nil
}

// addAccount counts the statements of an account, and reports statements that are missing, that differ
// from another one with the same number, or that do not follow the previous one.
func (r *reconciler) addAccount(name accountName, account *accountStatements) {
	var previous *Statement
	next := uint64(1)
	for _, seq := range slices.Sorted(maps.Keys(account.bySeq)) {
		s := account.bySeq[seq]
		switch {
		case seq == next+1:
			r.addProblem(name, "statement %d is missing", next)
		case seq > next:
			r.addProblem(name, "statements %d to %d are missing", next, seq-1)
		}
		next = seq + 1
		if account.conflicting[seq] {
			r.addProblem(name, "there are two statements %d, which differ; neither is counted", seq)
			previous = nil
			continue
		}
		if previous != nil && previous.Seq == seq-1 && !s.follows(previous) {
			r.addProblem(
				name,
				"statement %d does not follow the statement %d that is here; both are counted",
				seq,
				seq-1,
			)
		}
		previous = s
		r.addStatement(name, s)
	}
}

// follows reports whether a statement is the successor of another one.
func (s *Statement) follows(previous *Statement) bool {
	return s.PreviousDigest == previous.Digest() && s.From == previous.To
}

func (r *reconciler) addStatement(name accountName, s *Statement) {
	r.bill.Statements++
	r.bill.Lost += s.Lost
	if s.Lost > 0 {
		r.addProblem(name, "statement %d says that %d uses were lost", s.Seq, s.Lost)
	}
	if s.UnlistedKeys > 0 {
		r.addProblem(
			name,
			"statement %d does not list the keys of %d requests; other instances may have counted them too",
			s.Seq,
			s.UnlistedKeys,
		)
	}
	for _, l := range s.Lines {
		line := r.line(l.key())
		line.Add(l.Count)
		line.Changed = line.Changed || l.Period < s.From
		for i, served := range l.Slices {
			r.addServed(tenantPeriod{l.Period, l.Tenant}, i, served)
		}
	}
	for _, c := range s.Corrections {
		r.addCorrection(&c)
	}
	r.keys = append(r.keys, s.Keys...)
	r.settled = append(r.settled, coverage{s.Instance, s.From, s.To})
}

// addCorrection counts a correction. A correction that two instances applied is counted once.
func (r *reconciler) addCorrection(c *Correction) {
	if r.corrections[c.ID] {
		return
	}
	r.corrections[c.ID] = true
	line := r.line(lineKey{c.Period, c.Tenant, c.Class})
	line.Add(c.Count)
	line.Changed = true
}

func (r *reconciler) line(k lineKey) *BillLine {
	if r.lines[k] == nil {
		r.lines[k] = &BillLine{Period: k.period, Tenant: k.tenant, Class: k.class}
	}
	return r.lines[k]
}

// addServed adds served requests to a slice of a tenant's period.
func (r *reconciler) addServed(p tenantPeriod, slice int, served int64) {
	r.servedBySlice[p] = addToSlice(r.servedBySlice[p], slice, served)
}

// deduplicateKeys bills a request with an idempotency key once if several instances ran it: the earliest
// run counts as served, and later runs before its key expires become duplicates.
func (r *reconciler) deduplicateKeys() {
	slices.SortFunc(r.keys, func(a, b CountedKey) int {
		return cmp.Or(
			cmp.Compare(a.Hash, b.Hash),
			cmp.Compare(a.ServedAt, b.ServedAt),
			cmp.Compare(a.Work, b.Work),
		)
	})
	var first CountedKey
	for i, k := range r.keys {
		if i == 0 || !k.duplicates(&first) {
			first = k
			continue
		}
		r.bill.DeduplicatedRuns++
		period := Settings{Period: r.period}.PeriodStart(k.ServedAt)
		line := r.line(lineKey{period, k.Tenant, k.Class})
		line.Add(Count{Served: -1, Duplicates: 1, Work: -k.Work})
		slice := int((k.ServedAt - period) / wallclock.UnixMicro(r.slice))
		r.addServed(tenantPeriod{period, k.Tenant}, slice, -1)
	}
}

// duplicates reports whether the key is that of an earlier run, first, and was served before the key of
// that run expired.
func (k *CountedKey) duplicates(first *CountedKey) bool {
	return k.Hash == first.Hash && k.Tenant == first.Tenant && k.Class == first.Class &&
		k.ServedAt < first.ExpiresAt
}

// applyQuotas compares what tenants used with their quotas, slice by slice.
func (r *reconciler) applyQuotas(quotas map[string]float64) {
	tenants := map[tenantPeriod]*BillTenant{}
	for k, line := range r.lines {
		name := tenantPeriod{k.period, k.tenant}
		if tenants[name] == nil {
			tenants[name] = &BillTenant{Period: k.period, Tenant: k.tenant}
		}
		s := tenants[name]
		s.Served = addSaturating(s.Served, line.Served)
		s.Work = addSaturating(s.Work, line.Work)
	}
	for name, s := range tenants {
		if rate, ok := quotas[name.tenant]; ok {
			s.AboveQuota = r.aboveQuota(r.servedBySlice[name], rate)
			// A correction may have reduced the number of served requests.
			s.AboveQuota = min(s.AboveQuota, float64(max(s.Served, 0)))
		}
		r.bill.Tenants = append(r.bill.Tenants, *s)
	}
	slices.SortFunc(r.bill.Tenants, func(a, b BillTenant) int {
		return cmp.Or(cmp.Compare(a.Period, b.Period), cmp.Compare(a.Tenant, b.Tenant))
	})
}

// aboveQuota returns how many served requests exceed a rate in requests per second, summed over the
// slices.
func (r *reconciler) aboveQuota(servedBySlice []int64, rate float64) (above float64) {
	for _, served := range servedBySlice {
		above += max(float64(served)-rate*float64(r.slice)/float64(second), 0)
	}
	return above
}

// checkCoverage lists the periods of the bill with the instances that have not settled them. expected
// are instances that should have statements, in addition to those that do.
func (r *reconciler) checkCoverage(expected []string) {
	instances := map[string]bool{}
	for _, c := range r.settled {
		instances[c.instance] = true
	}
	for _, name := range expected {
		if !instances[name] {
			r.addProblem(accountName{instance: name}, "there is no statement of it")
		}
		instances[name] = true
	}
	periods := map[wallclock.UnixMicro]bool{}
	for k := range r.lines {
		periods[k.period] = true
	}
	names := slices.Sorted(maps.Keys(instances))
	for _, period := range slices.Sorted(maps.Keys(periods)) {
		p := BillPeriod{Period: period}
		for _, name := range names {
			if !r.hasSettled(name, period) {
				p.MissingInstances = append(p.MissingInstances, name)
			}
		}
		r.bill.Periods = append(r.bill.Periods, p)
	}
}

func (r *reconciler) hasSettled(instance string, period wallclock.UnixMicro) bool {
	return slices.ContainsFunc(r.settled, func(c coverage) bool {
		return c.instance == instance && c.from <= period && period < c.to
	})
}

// finish puts the lines into the bill, and sorts it.
func (r *reconciler) finish() {
	for k, line := range r.lines {
		if line.hasNegative() {
			r.addProblem(
				accountName{instance: "bill"},
				"%s, %s, period %d: a sum is below nought",
				k.tenant,
				k.class,
				k.period,
			)
		}
		r.bill.Lines = append(r.bill.Lines, *line)
	}
	slices.SortFunc(r.bill.Lines, func(a, b BillLine) int { return compareLineKeys(a.key(), b.key()) })
	slices.SortFunc(r.bill.Problems, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Description, b.Description),
		)
	})
}
