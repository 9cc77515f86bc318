package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/balancer/bulkhead"
)

// Bulkheads share the slots of a group of servers among classes. Where a figure is missing the usual
// one holds.
type Bulkheads struct {
	Mode        string     `yaml:"way"` // of finding how many slots there are
	First       float64    `yaml:"first"`
	Minimum     float64    `yaml:"least"`
	Maximum     float64    `yaml:"most"`
	ReclaimMs   int64      `yaml:"call_back_ms"` // within which what is lent comes back
	QueueLength int        `yaml:"line"`         // requests that wait in a pool
	List        []Bulkhead `yaml:"list"`
}

// Bulkhead is one pool. A request goes to the first that takes its class and its tenant.
type Bulkhead struct {
	Name    string   `yaml:"name"`
	Classes []string `yaml:"classes"` // none: all
	Tenants []string `yaml:"tenants"` // none: all
	Callers []string `yaml:"callers"` // by number, such as 7 or 10-19; none: all
	Floor   float64  `yaml:"floor"`   // shares of the slots
	Ceiling *float64 `yaml:"ceiling"`
	Weight  *float64 `yaml:"weight"`
	Reserve bool     `yaml:"reserve"` // the floor is never lent
}

const (
	defaultInitialLimit = 16
	defaultMinLimit     = 4
	defaultMaxLimit     = 1000
	defaultReclaimMs    = 500
	defaultQueueLength  = 200
	deadlineMargin      = 30_000
)

// BulkheadsOf is how the pools of a group decide; nil: it has none.
func (o *Operator) BulkheadsOf(group string, p *Platform) *bulkhead.Config {
	set, ok := o.Bulkheads[group]
	if !ok {
		return nil
	}
	c := &bulkhead.Config{
		LimitAlgorithm: cmp.Or(set.Mode, bulkhead.GradientLimit),
		InitialLimit:   cmp.Or(set.First, defaultInitialLimit),
		MinLimit:       cmp.Or(set.Minimum, defaultMinLimit),
		MaxLimit: cmp.Or(
			set.Maximum,
			defaultMaxLimit,
		),
		ReclaimTime:    cmp.Or(set.ReclaimMs, defaultReclaimMs) * 1000,
		MaxQueueLength: cmp.Or(set.QueueLength, defaultQueueLength),
		DeadlineMargin: deadlineMargin,
	}
	quota := 0.0
	for _, t := range p.Settings.Tenants {
		quota += t.QuotaRate
	}
	for _, t := range p.Settings.Tenants {
		share := 1 / float64(len(p.Settings.Tenants))
		if quota > 0 {
			share = t.QuotaRate / quota
		}
		c.Tenants = append(c.Tenants, share)
	}
	for _, class := range p.Settings.Classes {
		c.Classes = append(
			c.Classes,
			bulkhead.Class{
				PriorityWeight:     class.PriorityWeight,
				LatePriorityWeight: class.PriorityWeight * class.LateWeightFraction,
			},
		)
	}
	for _, l := range set.List {
		pool := bulkhead.Pool{Name: l.Name, Floor: l.Floor, Ceiling: 1, Weight: 1, Reserve: l.Reserve}
		if l.Ceiling != nil {
			pool.Ceiling = *l.Ceiling
		}
		if l.Weight != nil {
			pool.Weight = *l.Weight
		}
		for i, class := range p.Settings.Classes {
			// what is open of one that was dropped
			if slices.Contains(l.Classes, class.Name) || class.Removed && l.Classes != nil {
				pool.Classes = append(pool.Classes, i)
			}
		}
		for i, tenant := range p.Settings.Tenants {
			if slices.Contains(l.Tenants, tenant.Name) {
				pool.Tenants = append(pool.Tenants, i)
			}
		}
		for _, text := range l.Callers {
			callers, _ := parseCallerRange(text) // checked with the file
			pool.Callers = append(pool.Callers, callers)
		}
		c.Pools = append(c.Pools, pool)
	}
	return c
}

// parseCallerRange reads the number of a caller, or the first and the last of some.
func parseCallerRange(text string) (c bulkhead.CallerRange, err error) {
	first, last, several := strings.Cut(text, "-")
	if !several {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 32)
	to, err2 := strconv.ParseUint(last, 10, 32)
	if err != nil || err2 != nil || from > to {
		return c, fmt.Errorf("%q is neither a caller's number nor two of them, such as 10-19", text)
	}
	return bulkhead.CallerRange{From: uint32(from), To: uint32(to)}, nil
}

func (o *Operator) checkBulkheads(p *Platform) error {
	groups := slices.Sorted(maps.Values(o.GroupByClass))
	for _, group := range slices.Sorted(maps.Keys(o.Bulkheads)) {
		set, at := o.Bulkheads[group], "pools."+group
		if !slices.Contains(groups, group) {
			return o.document.Errorf(at, "no class of routes runs on this group")
		}
		for _, f := range []struct {
			name           string
			v, least, most float64
		}{{"first", set.First, 1, 100_000}, {"least", set.Minimum, 1, 100_000}, {"most", set.Maximum, 1, 100_000},
			{"call_back_ms", float64(set.ReclaimMs), 1, 60_000}, {"line", float64(set.QueueLength), 1, 10_000}} {
			if f.v != 0 && !(f.v >= f.least && f.v <= f.most) {
				return o.document.Errorf(at+"."+f.name, "%v is not from %v to %v", f.v, f.least, f.most)
			}
		}
		if set.Mode != "" && !slices.Contains(bulkhead.LimitAlgorithms, set.Mode) {
			return o.document.Errorf(
				at+".way",
				"%q is none of %s",
				set.Mode,
				strings.Join(bulkhead.LimitAlgorithms, ", "),
			)
		}
		if len(set.List) == 0 {
			return o.document.Errorf(at, "no pool is listed")
		}
		for i, l := range set.List {
			in := at + ".list." + strconv.Itoa(i)
			if l.Name == "" ||
				slices.ContainsFunc(set.List[:i], func(x Bulkhead) bool { return x.Name == l.Name }) {
				return o.document.Errorf(in, "name %q is missing or stands twice", l.Name)
			}
			for _, class := range l.Classes {
				if o.GroupByClass[class] != group {
					return o.document.Errorf(in+".classes", "class %s does not run on group %s", class, group)
				}
			}
			for _, text := range l.Callers {
				if _, err := parseCallerRange(text); err != nil {
					return o.document.Errorf(in+".callers", "%v", err)
				}
			}
			for _, tenant := range l.Tenants {
				if !slices.ContainsFunc(
					p.Settings.Tenants,
					func(t admission.Tenant) bool { return t.Name == tenant },
				) {
					return o.document.Errorf(in+".tenants", "unknown tenant %q", tenant)
				}
			}
		}
		c := o.BulkheadsOf(group, p)
		if c.MinLimit > c.InitialLimit || c.InitialLimit > c.MaxLimit {
			return o.document.Errorf(
				at,
				"least %v, first %v and most %v are not in this order",
				c.MinLimit,
				c.InitialLimit,
				c.MaxLimit,
			)
		}
		err := c.Validate()
		var none *bulkhead.NoPoolError
		if errors.As(err, &none) {
			if name := p.Settings.Classes[none.Class].Name; o.GroupByClass[name] == group {
				return o.document.Errorf(
					at+".list",
					"requests of class %s are in no pool, for some tenants or callers at least: a last "+
						"pool without classes takes the rest",
					name,
				)
			}
			err = nil
		}
		if err != nil {
			return o.document.Errorf(at+".list", "%v", err)
		}
	}
	return nil
}
