package ledger

import (
	"cmp"
	"fmt"

	"ryepaddle/internal/wallclock"
)

// BillingTerms are the parameters of a bill.
type BillingTerms struct {
	// Quotas holds the served requests per second that each tenant may have over all instances. A
	// tenant without a quota has no limit.
	Quotas map[string]float64
	// Instances lists instances that are expected to have statements, in addition to those that do.
	Instances []string
}

// Bill is the result of reconciling statements.
type Bill struct {
	Periods             []BillPeriod `json:"periods"`
	Lines               []BillLine   `json:"lines"`
	Tenants             []BillTenant `json:"schools"`
	Problems            []Problem    `json:"problems,omitempty"`
	Statements          int          `json:"statements"`       // number of statements that it counts
	DuplicateStatements int          `json:"copies,omitempty"` // number of statements that were repeated or superseded
	// DeduplicatedRuns is the number of runs that repeated, on another instance, a request with the
	// same idempotency key. They are billed as duplicates.
	DeduplicatedRuns int    `json:"twice,omitempty"`
	Lost             uint64 `json:"lost,omitempty"` // records that are known to be in no statement
}

// BillPeriod lists the instances that have no statement of a period.
type BillPeriod struct {
	Period           wallclock.UnixMicro `json:"period"` // its start
	MissingInstances []string            `json:"missing,omitempty"`
}

// BillLine holds what a tenant used of a class in a period.
type BillLine struct {
	Period wallclock.UnixMicro `json:"period"` // its start
	Tenant string              `json:"school"`
	Class  string              `json:"class"`
	Count
	Changed bool `json:"changed,omitempty"` // by an amendment or a correction
}

func (l BillLine) key() lineKey { return lineKey{l.Period, l.Tenant, l.Class} }

// BillTenant compares what a tenant used in a period with its quota.
type BillTenant struct {
	Period     wallclock.UnixMicro `json:"period"` // its start
	Tenant     string              `json:"school"`
	Served     int64               `json:"served"`
	AboveQuota float64             `json:"above"` // served requests beyond the quota of their slice
	Work       wallclock.Micros    `json:"work_us"`
}

// Problem describes why a bill may be incomplete or wrong.
type Problem struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"life,omitempty"` // of the account
	Description string `json:"what"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s (account %s): %s", p.Instance, cmp.Or(p.Incarnation, "none"), p.Description)
}
