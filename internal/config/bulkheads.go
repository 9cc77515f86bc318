package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/balancer/bulkhead"
)

// Bulkheads divide the concurrency of a group of servers among classes, tenants and callers.
type Bulkheads struct {
	// Mode is the algorithm that finds the limit of the group, one of bulkhead.LimitAlgorithms; default
	// bulkhead.GradientLimit.
	Mode string `yaml:"way"`
	// First is the limit at the start, in requests; default 16.
	First float64 `yaml:"first"`
	// Minimum is the lower bound of the limit, in requests; default 4.
	Minimum float64 `yaml:"least"`
	// Maximum is the upper bound of the limit, in requests; default 1000.
	Maximum float64 `yaml:"most"`
	// ReclaimMs is the time in ms within which a borrowed slot is given back; default 500.
	ReclaimMs int64 `yaml:"call_back_ms"`
	// QueueLength is the most requests that wait in one bulkhead; default 200.
	QueueLength int        `yaml:"line"`
	List        []Bulkhead `yaml:"list"`
}

// Bulkhead is one part of a group's concurrency. A request belongs to the first bulkhead of the
// list that takes its class, tenant and caller.
type Bulkhead struct {
	Name    string   `yaml:"name"`
	Classes []string `yaml:"classes"` // empty: all
	Tenants []string `yaml:"tenants"` // empty: all
	Callers []string `yaml:"callers"` // callers' numbers or ranges of them, such as 7 or 10-19; empty: all
	// Floor is the share of the limit that the bulkhead can always reclaim; default 0.
	Floor float64 `yaml:"floor"`
	// Ceiling is the largest share of the limit that the bulkhead may use; default 1.
	Ceiling *float64 `yaml:"ceiling"`
	// Weight divides the remaining slots among the bulkheads, in proportion; default 1. With 0 a
	// bulkhead gets only slots that no other one needs.
	Weight *float64 `yaml:"weight"`
	// Reserve keeps the floor from being lent to other bulkheads.
	Reserve bool `yaml:"reserve"`
}

// Defaults of a group's bulkheads.
const (
	defaultInitialLimit = 16   // requests
	defaultMinLimit     = 4    // requests
	defaultMaxLimit     = 1000 // requests
	defaultReclaimMs    = 500
	defaultQueueLength  = 200 // requests
	// deadlineMargin is how long before its deadline a request has to end; one that would end later is
	// dropped while it waits.
	deadlineMargin = 30 * time.Millisecond
)

// BulkheadsOf returns the configuration of a group's bulkheads, or nil if it has none.
func (o *Operator) BulkheadsOf(group string, p *Platform) *bulkhead.Config {
	set, ok := o.Bulkheads[group]
	if !ok {
		return nil
	}
	c := &bulkhead.Config{
		LimitAlgorithm: cmp.Or(bulkhead.LimitAlgorithm(set.Mode), bulkhead.GradientLimit),
		InitialLimit:   cmp.Or(set.First, defaultInitialLimit),
		MinLimit:       cmp.Or(set.Minimum, defaultMinLimit),
		MaxLimit:       cmp.Or(set.Maximum, defaultMaxLimit),
		ReclaimTime:    time.Duration(cmp.Or(set.ReclaimMs, defaultReclaimMs)) * time.Millisecond,
		MaxQueueLength: cmp.Or(set.QueueLength, defaultQueueLength),
		DeadlineMargin: deadlineMargin,
		Tenants:        quotaShares(p.Settings.Tenants),
	}
	for _, class := range p.Settings.Classes {
		c.Classes = append(c.Classes, bulkhead.Class{
			PriorityWeight:     class.PriorityWeight,
			LatePriorityWeight: class.PriorityWeight * class.LateWeightFraction,
		})
	}
	for i := range set.List {
		c.Pools = append(c.Pools, set.List[i].pool(&p.Settings))
	}
	return c
}

// quotaShares returns the share of each tenant in the sum of all quotas, or equal shares if no tenant
// has a quota.
func quotaShares(tenants []admission.Tenant) []float64 {
	total := 0.0
	for _, t := range tenants {
		total += t.QuotaRate
	}
	shares := make([]float64, len(tenants))
	for i, t := range tenants {
		if total > 0 {
			shares[i] = t.QuotaRate / total
		} else {
			shares[i] = 1 / float64(len(tenants))
		}
	}
	return shares
}

// pool converts the bulkhead to a pool, which has classes and tenants by index.
func (b *Bulkhead) pool(settings *admission.Settings) bulkhead.Pool {
	pool := bulkhead.Pool{Name: b.Name, Floor: b.Floor, Ceiling: 1, Weight: 1, Reserve: b.Reserve}
	if b.Ceiling != nil {
		pool.Ceiling = *b.Ceiling
	}
	if b.Weight != nil {
		pool.Weight = *b.Weight
	}
	for i, class := range settings.Classes {
		// Open requests of a removed class must belong to a bulkhead.
		if slices.Contains(b.Classes, class.Name) || class.Removed && b.Classes != nil {
			pool.Classes = append(pool.Classes, i)
		}
	}
	for i, tenant := range settings.Tenants {
		if slices.Contains(b.Tenants, tenant.Name) {
			pool.Tenants = append(pool.Tenants, i)
		}
	}
	for _, text := range b.Callers {
		callers, _ := parseCallerRange(text) // checked with the file
		pool.Callers = append(pool.Callers, callers)
	}
	return pool
}

// parseCallerRange parses the number of a caller, or a range such as 10-19.
func parseCallerRange(text string) (bulkhead.CallerRange, error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	from, fromErr := strconv.ParseUint(first, 10, 32)
	to, toErr := strconv.ParseUint(last, 10, 32)
	if fromErr != nil || toErr != nil || from > to {
		return bulkhead.CallerRange{},
			fmt.Errorf("%q is neither a caller's number nor a range such as 10-19", text)
	}
	return bulkhead.CallerRange{From: uint32(from), To: uint32(to)}, nil
}

// checkBulkheads checks the bulkheads of all groups.
func (o *Operator) checkBulkheads(p *Platform) error {
	groups := slices.Sorted(maps.Values(o.GroupByClass))
	for _, group := range slices.Sorted(maps.Keys(o.Bulkheads)) {
		set := o.Bulkheads[group]
		at := "pools." + group
		if !slices.Contains(groups, group) {
			return o.document.Errorf(at, "no route sends a class to this group")
		}
		if err := o.checkBulkheadLimits(at, &set); err != nil {
			return err
		}
		if len(set.List) == 0 {
			return o.document.Errorf(at, "no pool is listed")
		}
		for i := range set.List {
			field := at + ".list." + strconv.Itoa(i)
			if err := o.checkBulkhead(field, group, set.List[:i], &set.List[i], p); err != nil {
				return err
			}
		}
		if err := o.checkBulkheadConfig(at, group, p); err != nil {
			return err
		}
	}
	return nil
}

// checkBulkheadLimits checks that each limit of a group is within its bounds.
func (o *Operator) checkBulkheadLimits(at string, set *Bulkheads) error {
	for _, field := range []struct {
		name            string
		value, min, max float64
	}{
		{"first", set.First, 1, 100_000},
		{"least", set.Minimum, 1, 100_000},
		{"most", set.Maximum, 1, 100_000},
		{"call_back_ms", float64(set.ReclaimMs), 1, 60_000},
		{"line", float64(set.QueueLength), 1, 10_000},
	} {
		isDefault := field.value == 0
		// also rejects NaN
		if !isDefault && !(field.value >= field.min && field.value <= field.max) {
			return o.document.Errorf(
				at+"."+field.name,
				"%v is not from %v to %v",
				field.value,
				field.min,
				field.max,
			)
		}
	}
	algorithm := bulkhead.LimitAlgorithm(set.Mode)
	if algorithm != "" && !slices.Contains(bulkhead.LimitAlgorithms, algorithm) {
		return o.document.Errorf(at+".way", "%q is none of %s", algorithm, limitAlgorithmNames())
	}
	return nil
}

// checkBulkhead checks one bulkhead of a group. before holds the bulkheads that are listed before it.
func (o *Operator) checkBulkhead(at, group string, before []Bulkhead, b *Bulkhead, p *Platform) error {
	sameName := func(other Bulkhead) bool { return other.Name == b.Name }
	if b.Name == "" || slices.ContainsFunc(before, sameName) {
		return o.document.Errorf(at, "name %q is missing or listed twice", b.Name)
	}
	for _, class := range b.Classes {
		if o.GroupByClass[class] != group {
			return o.document.Errorf(at+".classes", "class %s does not run on group %s", class, group)
		}
	}
	for _, text := range b.Callers {
		if _, err := parseCallerRange(text); err != nil {
			return o.document.Errorf(at+".callers", "%v", err)
		}
	}
	for _, name := range b.Tenants {
		known := func(t admission.Tenant) bool { return t.Name == name }
		if !slices.ContainsFunc(p.Settings.Tenants, known) {
			return o.document.Errorf(at+".tenants", "unknown tenant %q", name)
		}
	}
	return nil
}

// checkBulkheadConfig checks the bulkheads of a group as a whole: the order of the limits, the
// shares, and that each request of the group belongs to a bulkhead.
func (o *Operator) checkBulkheadConfig(at, group string, p *Platform) error {
	c := o.BulkheadsOf(group, p)
	if c.MinLimit > c.InitialLimit || c.InitialLimit > c.MaxLimit {
		return o.document.Errorf(at, "least %v, first %v and most %v are not in this order",
			c.MinLimit, c.InitialLimit, c.MaxLimit)
	}
	err := c.Validate()
	var noPool *bulkhead.NoPoolError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &noPool):
		return o.document.Errorf(at+".list", "%v", err)
	}
	class := p.Settings.Classes[noPool.Class].Name
	if o.GroupByClass[class] != group {
		return nil // its requests run on another group or on the engine
	}
	return o.document.Errorf(at+".list",
		"requests of class %s are in no pool, at least for some tenants or callers: add a last pool "+
			"without classes for them", class)
}

// limitAlgorithmNames returns the names of the algorithms for an error message.
func limitAlgorithmNames() string {
	var names []string
	for _, algorithm := range bulkhead.LimitAlgorithms {
		names = append(names, string(algorithm))
	}
	return strings.Join(names, ", ")
}
