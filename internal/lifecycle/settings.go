package lifecycle

import (
	"slices"
	"time"

	"ryepaddle/internal/admission"
)

// removedClassGrace is how long requests of a class are accepted after the class was removed from the
// settings, as callers learn of the removal with a delay.
const removedClassGrace = 5 * time.Second

// NoTenant is the tenant index of requests without a tenant. All requests have it if the settings
// have no tenants.
const NoTenant = -1

// Configure applies changed settings. It returns the settings in force, in which removed classes keep
// their indexes. After an error the old settings remain in force.
func (m *Manager) Configure(settings admission.Settings) (admission.Settings, error) {
	settings, err := usableSettings(settings).MergeClasses(m.settings)
	if err != nil {
		return settings, err
	}
	if m.drainingSince != 0 { // a drain keeps the grace with which it began
		settings.DrainGrace = m.settings.DrainGrace
	}
	if err := m.admission.controller.Configure(settings); err != nil {
		return settings, err
	}
	for i, class := range m.settings.Classes {
		if i < len(settings.Classes) && settings.Classes[i].Removed && !class.Removed {
			m.removedAt[i] = m.env.Now()
		}
	}
	added := len(settings.Classes) - len(m.settings.Classes)
	m.stats = append(m.stats, make([]Stats, added)...)
	m.removedAt = append(m.removedAt, make([]time.Duration, added)...)
	m.settings = settings
	m.applyUnknownClassKeys()
	return settings, nil
}

// Class returns the index of a class, and false if requests of that name are not accepted.
func (m *Manager) Class(name string) (int, bool) {
	if i := m.settings.ClassIndex(name); i >= 0 {
		return i, true
	}
	for i := range m.settings.Classes {
		if m.settings.Classes[i].Name == name && m.env.Now() < m.removedAt[i]+removedClassGrace {
			return i, true
		}
	}
	return 0, false
}

// IsRemovedClass reports whether a class of that name was removed from the settings.
func (m *Manager) IsRemovedClass(name string) bool {
	return slices.ContainsFunc(m.settings.Classes, func(class admission.Class) bool {
		return class.Name == name && class.Removed
	})
}

// Tenant returns the index of a tenant, and false if there is none of that name. Without tenants in
// the settings any name gives NoTenant.
func (m *Manager) Tenant(name string) (int, bool) {
	if len(m.settings.Tenants) == 0 {
		return NoTenant, true
	}
	for i := range m.settings.Tenants {
		if m.settings.Tenants[i].Name == name {
			return i, true
		}
	}
	return NoTenant, false
}

// RequiresKey reports whether requests of a class carry an idempotency key.
func (m *Manager) RequiresKey(class int) bool {
	return m.settings.Classes[class].Idempotency == admission.IdempotentWithKey
}

// usableSettings turns off the settings that this program does not support, so that settings with
// them are still accepted. The engine's protocol can neither cancel a run nor continue a run without
// its call, and reads do not share results, as each answer carries the result of its own run.
func usableSettings(settings admission.Settings) admission.Settings {
	settings.Cancel = admission.CancelNone
	settings.ResultMaxAge = 0
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		settings.Classes[i].DegradedWeightFraction = 0
	}
	return settings
}
