package lifecycle

import (
	"slices"
	"time"

	"ryepaddle/internal/admission"
)

// removedClassGrace is for how long after a change of the settings requests of a class that they have not
// any more are taken: callers hear of it late.
const removedClassGrace = 5 * time.Second

// Configure takes settings that were changed while the program runs, and gives them as they are in
// force, with the places of classes that they have dropped.
func (c *Manager) Configure(set admission.Settings) (admission.Settings, error) {
	set, err := usableSettings(set).MergeClasses(c.settings)
	if err != nil {
		return set, err
	}
	if c.drainingSince != 0 { // the notice was given under the grace of then
		set.DrainGrace = c.settings.DrainGrace
	}
	if err := c.admission.module.Configure(set); err != nil {
		return set, err
	}
	for i := range set.Classes {
		if i < len(c.settings.Classes) && set.Classes[i].Removed && !c.settings.Classes[i].Removed {
			c.removedAt[i] = c.env.Now()
		}
	}
	grow := len(set.Classes) - len(c.settings.Classes)
	c.stats, c.removedAt = append(
		c.stats,
		make([]Stats, grow)...), append(
		c.removedAt,
		make([]time.Duration, grow)...)
	c.settings = set
	c.applyUnknownClassKeys()
	return set, nil
}

// Class finds a class by its name.
func (c *Manager) Class(name string) (int, bool) {
	if i := c.settings.ClassIndex(name); i >= 0 {
		return i, true
	}
	for i := range c.settings.Classes {
		if c.settings.Classes[i].Name == name && c.env.Now() < c.removedAt[i]+removedClassGrace {
			return i, true
		}
	}
	return 0, false
}

// IsDroppedClass tells whether there was a class by that name.
func (c *Manager) IsDroppedClass(name string) bool {
	return slices.ContainsFunc(
		c.settings.Classes,
		func(class admission.Class) bool { return class.Name == name && class.Removed },
	)
}

// NoTenant is the place of requests of nobody: where there are no tenants, all are.
const NoTenant = -1

// Tenant finds a tenant by its name. Where there are none, a name says nothing.
func (c *Manager) Tenant(name string) (int, bool) {
	if len(c.settings.Tenants) == 0 {
		return NoTenant, true
	}
	for i := range c.settings.Tenants {
		if c.settings.Tenants[i].Name == name {
			return i, true
		}
	}
	return NoTenant, false
}

// IsKeyed tells whether requests of the class carry a key.
func (c *Manager) IsKeyed(class int) bool {
	return c.settings.Classes[class].Idempotency == admission.IdempotentWithKey
}

// usableSettings is what the module is told of the settings: no more than this program can carry out. What
// they allow beyond that is no reason not to serve. The engine's protocol has no word for stopping
// a run nor for going on without a call, and an answer is served with what a run made for that
// request, so that reads do not share results.
func usableSettings(set admission.Settings) admission.Settings {
	set.Cancel, set.ResultMaxAge = admission.CancelNone, 0
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		set.Classes[i].DegradedWeightFraction = 0
	}
	return set
}
