package ledger

import (
	"cmp"
	"fmt"

	"ryepaddle/internal/wallclock"
)

// BillingTerms are the parameters of a bill.
type BillingTerms struct {
	// Quotas are the requests a second that schools may have served, over all instances. A school
	// without one has no limit.
	Quotas map[string]float64
	// Instances are those of which statements are expected, beside those that have any.
	Instances []string
}

// Bill is the reconciliation of statements.
type Bill struct {
	Periods             []BillPeriod `json:"periods"`
	Lines               []BillLine   `json:"lines"`
	Schools             []BillSchool `json:"schools"`
	Problems            []Problem    `json:"problems,omitempty"`
	Statements          int          `json:"statements"`       // that it was made from
	DuplicateStatements int          `json:"copies,omitempty"` // that were given more than once
	// DeduplicatedRuns are the requests with a key that two instances counted; they are counted once.
	DeduplicatedRuns int    `json:"twice,omitempty"`
	Lost             uint64 `json:"lost,omitempty"` // records that are known to be in no statement
}

// BillPeriod says which instances have no statement of a period.
type BillPeriod struct {
	Period           wallclock.UnixMicro `json:"period"` // its start
	MissingInstances []string            `json:"missing,omitempty"`
}

// BillLine is what a school used of a class in a period.
type BillLine struct {
	Period wallclock.UnixMicro `json:"period"` // its start
	School string              `json:"school"`
	Class  string              `json:"class"`
	Count
	Changed bool `json:"changed,omitempty"` // by an amendment or a correction
}

func (l BillLine) key() lineKey { return lineKey{l.Period, l.School, l.Class} }

// BillSchool compares what a school used in a period with its quota.
type BillSchool struct {
	Period     wallclock.UnixMicro `json:"period"` // its start
	School     string              `json:"school"`
	Served     int64               `json:"served"`
	AboveQuota float64             `json:"above"` // served requests beyond the quota of their slice
	Work       wallclock.Micros    `json:"work_us"`
}

// Problem is something by which a bill may be incomplete or wrong.
type Problem struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"life,omitempty"` // of the account
	Description string `json:"what"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s (account %s): %s", p.Instance, cmp.Or(p.Incarnation, "none"), p.Description)
}
