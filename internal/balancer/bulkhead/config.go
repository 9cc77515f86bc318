package bulkhead

import (
	"fmt"
	"math"
	"slices"
)

// Pool is one pool as it is set.
type Pool struct {
	Name    string
	Floor   float64 // share of the slots that is its own; at least one slot, if it is not nought
	Ceiling float64 // share of the slots that it can have at most; at least one slot
	// its part of what is left, beside those of others; nought: what nobody else wants
	Weight  float64
	Reserve bool  // its floor is never lent
	Classes []int // of requests that it is for; nil: all
	Tenants []int // likewise
	Callers []CallerRange
}

// CallerRange are those of some numbers, the last one with them.
type CallerRange struct{ From, To uint32 }

func (p *Pool) takes(class, tenant int, caller int64) bool {
	return (p.Callers == nil || slices.ContainsFunc(p.Callers, func(c CallerRange) bool { return int64(c.From) <= caller && caller <= int64(c.To) })) &&
		(p.Classes == nil || slices.Contains(p.Classes, class)) &&
		(p.Tenants == nil || slices.Contains(p.Tenants, tenant))
}

// Class is what is told of a class of requests.
type Class struct {
	PriorityWeight     float64 // of an answer within its aim
	LatePriorityWeight float64 // of one after that, up to its due time
}

// Config is how a set decides. Times are microseconds.
type Config struct {
	Pools          []Pool    // a request goes to the first that takes it
	Classes        []Class   // by class
	Tenants        []float64 // shares, by tenant; the sum is 1
	LimitAlgorithm string    // of finding the limit
	InitialLimit   float64   // the limit of a group that nothing is known of
	MinLimit       float64
	MaxLimit       float64
	ReclaimTime    int64 // within which what is lent comes back
	MaxQueueLength int   // requests that wait in a pool
	DeadlineMargin int64 // a request that would end so close to its due time is given up
}

// Validate reports what cannot be meant.
func (c *Config) Validate() error {
	floors := 0.0
	for _, p := range c.Pools {
		switch {
		case !(p.Floor >= 0 && p.Floor <= p.Ceiling && p.Ceiling <= 1):
			return fmt.Errorf(
				"pool %s: floor %v and ceiling %v: want 0 <= floor <= ceiling <= 1",
				p.Name,
				p.Floor,
				p.Ceiling,
			)
		case !(p.Weight >= 0) || math.IsInf(p.Weight, 0):
			return fmt.Errorf("pool %s: weight %v", p.Name, p.Weight)
		case p.Reserve && p.Floor == 0:
			return fmt.Errorf("pool %s: a reserve without a floor reserves nothing", p.Name)
		}
		floors += p.Floor
	}
	if floors > 1 {
		return fmt.Errorf("the floors of the pools are %.3g of the slots together", floors)
	}
	for _, p := range c.Pools {
		if p.Floor == 0 && p.Weight > 0 && floors > 1-leastFree {
			return fmt.Errorf(
				"pool %s has no floor, and the floors of the others leave it %.3g of the slots: want %v",
				p.Name,
				max(1-floors, 0),
				leastFree,
			)
		}
	}
	for class := range c.Classes {
		for tenant := -1; tenant < len(c.Tenants); tenant++ {
			if !slices.ContainsFunc(c.Pools, func(p Pool) bool { return p.takes(class, tenant, -1) }) {
				return &NoPoolError{class, tenant}
			}
		}
	}
	return nil
}

// leastFree is the share of the slots that floors leave where a pool has none: work that takes
// longer than the call-back time would never have a slot there.
const leastFree = 0.1

// NoPoolError is that of a class, of a tenant (-1: of none), that no pool takes.
type NoPoolError struct{ Class, Tenant int }

func (e *NoPoolError) Error() string {
	return fmt.Sprintf("class %d of tenant %d is in no pool", e.Class, e.Tenant)
}
