package bulkhead

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// minUnreserved is the share of the slots that floors leave where a pool has none: its work would
// never get a slot if it takes longer than the reclaim time.
const minUnreserved = 0.1

// NoTenant is the number of the tenant of requests without one.
const NoTenant = -1

// unknownCaller is outside of all ranges of callers.
const unknownCaller = -1

// Pool holds the parameters of one pool. Shares are of all slots, 0 to 1.
type Pool struct {
	Name    string
	Floor   float64 // share that the pool owns; at least one slot, unless it is 0
	Ceiling float64 // share that it can have at most; at least one slot
	// Weight is its part of the remaining slots, in proportion to the weights of the other pools;
	// 0: only slots that no other pool wants.
	Weight  float64
	Reserve bool          // its floor is never lent
	Classes []int         // of requests that it takes; nil: all
	Tenants []int         // of requests that it takes; nil: all
	Callers []CallerRange // of requests that it takes; nil: all
}

// CallerRange is a range of caller numbers, both ends included.
type CallerRange struct{ From, To uint32 }

func (r CallerRange) contains(caller int64) bool {
	return int64(r.From) <= caller && caller <= int64(r.To)
}

func (p *Pool) takes(class, tenant int, caller int64) bool {
	matchesCaller := func(r CallerRange) bool { return r.contains(caller) }
	return (p.Callers == nil || slices.ContainsFunc(p.Callers, matchesCaller)) &&
		(p.Classes == nil || slices.Contains(p.Classes, class)) &&
		(p.Tenants == nil || slices.Contains(p.Tenants, tenant))
}

// Class holds the priority of a class of requests.
type Class struct {
	PriorityWeight     float64 // of a result within the latency objective
	LatePriorityWeight float64 // of a result after that, up to the deadline
}

// Config holds the parameters of a scheduler.
type Config struct {
	Pools          []Pool    // a request goes to the first one that takes it
	Classes        []Class   // by number of the class
	Tenants        []float64 // shares, by number of the tenant; their sum is 1
	LimitAlgorithm LimitAlgorithm
	InitialLimit   float64       // slots of a group that has not been measured
	MinLimit       float64       // slots
	MaxLimit       float64       // slots
	ReclaimTime    time.Duration // within which borrowed slots come back
	MaxQueueLength int           // requests that wait in a pool
	// DeadlineMargin is how long before its deadline a request has to end; one that would end later
	// is dropped.
	DeadlineMargin time.Duration
}

// ConfigError reports parameters that contradict each other.
type ConfigError struct {
	Pool    string // empty: it concerns all pools together
	Problem string
}

func (e *ConfigError) Error() string { return e.Problem }

// NoPoolError reports a class of a tenant (or NoTenant) that no pool takes.
type NoPoolError struct{ Class, Tenant int }

func (e *NoPoolError) Error() string {
	return fmt.Sprintf("class %d of tenant %d is in no pool", e.Class, e.Tenant)
}

// Validate returns a ConfigError or a NoPoolError if the configuration cannot be used.
func (c *Config) Validate() error {
	floors := 0.0
	for i := range c.Pools {
		if err := c.Pools[i].validate(); err != nil {
			return err
		}
		floors += c.Pools[i].Floor
	}
	if floors > 1 {
		return &ConfigError{
			Problem: fmt.Sprintf("the floors of the pools are %.3g of the slots together", floors),
		}
	}
	for i := range c.Pools {
		if p := &c.Pools[i]; p.Floor == 0 && p.Weight > 0 && floors > 1-minUnreserved {
			return p.problem(" has no floor, and the floors of the others leave it %.3g of the slots: want %v",
				max(1-floors, 0), minUnreserved)
		}
	}
	return c.validateAssignment()
}

func (p *Pool) problem(format string, args ...any) error {
	return &ConfigError{Pool: p.Name, Problem: "pool " + p.Name + fmt.Sprintf(format, args...)}
}

func (p *Pool) validate() error {
	switch {
	case !(p.Floor >= 0 && p.Floor <= p.Ceiling && p.Ceiling <= 1):
		return p.problem(": floor %v and ceiling %v: want 0 <= floor <= ceiling <= 1", p.Floor, p.Ceiling)
	case !(p.Weight >= 0) || math.IsInf(p.Weight, 0):
		return p.problem(": weight %v", p.Weight)
	case p.Reserve && p.Floor == 0:
		return p.problem(": a reserve without a floor reserves nothing")
	}
	return nil
}

// validateAssignment checks that a pool takes each class of each tenant, for any caller.
func (c *Config) validateAssignment() error {
	for class := range c.Classes {
		for tenant := NoTenant; tenant < len(c.Tenants); tenant++ {
			takes := func(p Pool) bool { return p.takes(class, tenant, unknownCaller) }
			if !slices.ContainsFunc(c.Pools, takes) {
				return &NoPoolError{class, tenant}
			}
		}
	}
	return nil
}
