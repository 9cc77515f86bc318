package bulkhead

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// minUnreserved is the minimum share of the slots that floors must leave free if a pool with a weight
// has no floor: otherwise requests of that pool that take longer than the reclaim time would never
// get a slot.
const minUnreserved = 0.1

// NoTenant is the tenant number of requests without a tenant.
const NoTenant = -1

// unknownCaller is a caller number outside of all ranges of callers.
const unknownCaller = -1

// Pool holds the parameters of one pool. Floor and Ceiling are shares of all slots, 0 to 1.
type Pool struct {
	Name    string
	Floor   float64 // guaranteed share; counts as at least one slot unless it is 0 (see floorSlots)
	Ceiling float64 // maximum share; counts as at least one slot
	// Weight is the pool's proportion of the slots beyond the floors, relative to the weights of the
	// other pools; 0: the pool gets only slots that no other pool wants.
	Weight  float64
	Reserve bool          // the floor is never lent to other pools
	Classes []int         // classes of the requests that the pool takes; nil: all
	Tenants []int         // tenants of the requests that the pool takes; nil: all
	Callers []CallerRange // callers of the requests that the pool takes; nil: all
}

// CallerRange is a range of caller numbers, both ends included.
type CallerRange struct{ From, To uint32 }

func (r CallerRange) contains(caller int64) bool {
	return int64(r.From) <= caller && caller <= int64(r.To)
}

// takes reports whether the pool takes a request.
func (p *Pool) takes(class, tenant int, caller int64) bool {
	matchesCaller := func(r CallerRange) bool { return r.contains(caller) }
	return (p.Callers == nil || slices.ContainsFunc(p.Callers, matchesCaller)) &&
		(p.Classes == nil || slices.Contains(p.Classes, class)) &&
		(p.Tenants == nil || slices.Contains(p.Tenants, tenant))
}

// Class holds the priority of a class of requests.
type Class struct {
	PriorityWeight     float64 // value of a result within the latency objective
	LatePriorityWeight float64 // value of a result after the objective, up to the deadline
}

// Config holds the parameters of a scheduler.
type Config struct {
	Pools          []Pool    // a request goes to the first pool that takes it
	Classes        []Class   // by class number
	Tenants        []float64 // shares, by tenant number; their sum is 1
	LimitAlgorithm LimitAlgorithm
	InitialLimit   float64       // slots; the limit of a group that has not been measured
	MinLimit       float64       // slots; lower bound of the adaptive limit
	MaxLimit       float64       // slots; upper bound of the adaptive limit
	ReclaimTime    time.Duration // time within which borrowed slots have to come back
	MaxQueueLength int           // maximum number of waiting requests of a pool
	// DeadlineMargin is how long before its deadline a request has to end; a request that would end
	// later is dropped.
	DeadlineMargin time.Duration
}

// ConfigError reports parameters that contradict each other.
type ConfigError struct {
	Pool    string // name of the pool; empty: the problem is in all pools together
	Problem string
}

func (e *ConfigError) Error() string { return e.Problem }

// NoPoolError reports a class of a tenant (or NoTenant) that no pool takes.
type NoPoolError struct{ Class, Tenant int }

func (e *NoPoolError) Error() string {
	return fmt.Sprintf("no pool takes requests of class %d of tenant %d", e.Class, e.Tenant)
}

// Validate returns a *ConfigError or a *NoPoolError if the configuration cannot be used.
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
			Problem: fmt.Sprintf("the floors of the pools are %.3g of the slots together: want at most 1", floors),
		}
	}
	for i := range c.Pools {
		if p := &c.Pools[i]; p.Floor == 0 && p.Weight > 0 && floors > 1-minUnreserved {
			return p.problem(" has no floor, and the floors of the others leave %.3g of the slots: want at least %v",
				max(1-floors, 0), minUnreserved)
		}
	}
	return c.validateAssignment()
}

// problem returns a ConfigError whose text is the name of the pool followed by the formatted text.
func (p *Pool) problem(format string, args ...any) error {
	return &ConfigError{Pool: p.Name, Problem: "pool " + p.Name + fmt.Sprintf(format, args...)}
}

func (p *Pool) validate() error {
	switch {
	case !(p.Floor >= 0 && p.Floor <= p.Ceiling && p.Ceiling <= 1):
		return p.problem(": floor %v and ceiling %v: want 0 <= floor <= ceiling <= 1", p.Floor, p.Ceiling)
	case !(p.Weight >= 0) || math.IsInf(p.Weight, 0):
		return p.problem(": weight %v: want a finite weight >= 0", p.Weight)
	case p.Reserve && p.Floor == 0:
		return p.problem(": a reserve without a floor reserves nothing")
	}
	return nil
}

// validateAssignment checks that each class of each tenant has a pool that takes it for any caller.
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
