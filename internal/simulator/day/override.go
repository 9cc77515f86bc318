package day

import (
	"errors"
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/yamldoc"
)

// Behavior returns the behavior of a balancer of this kind, which follows advice or not.
func (k *BalancerKind) Behavior(followsAdvice bool) balance.Behavior {
	return balance.Behavior{
		Policy:              balance.Policy(k.Choose),
		Retry:               balance.Retry(k.Retry),
		MaxAttempts:         k.Tries,
		RetryBudget:         k.Budget,
		RetryPause:          virtualclock.FromMillis(k.PauseMs),
		AttemptTimeout:      k.Patience,
		HedgeDelay:          virtualclock.FromMillis(k.CopyAfterMs),
		FollowsAdvice:       followsAdvice,
		CreditTTL:           creditTTL,
		HealthCheckInterval: virtualclock.FromMillis(k.CheckEveryMs),
		EjectAfterFailures:  k.EjectAfter,
		EjectionTime:        virtualclock.FromMillis(k.EjectMs),
		ThrottleFactor:      k.Throttle,
		SubsetSize:          k.Subset,
		Sticky:              k.Stick,
	}
}

// OverrideError reports an invalid change of a kind of balancer.
type OverrideError struct {
	Index  int    // index of the kind in Spec.Balancers
	Field  string // may be empty
	Reason string
}

// Error implements error.
func (e *OverrideError) Error() string {
	return fmt.Sprintf("balancers.%d.%s: %s", e.Index, e.Field, e.Reason)
}

// Override returns the scenario's kinds of balancers with some fields changed: changes[i] holds the changed
// fields of kind i, or null. Counts and shares of the traffic cannot be changed, as the draws of the day
// depend on them.
func (s *Spec) Override(changes []yaml.Node) ([]BalancerKind, *OverrideError) {
	kinds := slices.Clone(s.Balancers)
	for i := range changes {
		kind := &kinds[i]
		text, err := yaml.Marshal(&changes[i])
		if err != nil {
			return nil, &OverrideError{i, "", err.Error()}
		}
		if changes[i].Tag == "!!null" {
			continue
		}
		before := *kind
		var fieldError *yamldoc.Error
		doc, err := yamldoc.Decode("variant", "", text, kind)
		if err == nil {
			err = kind.check("", doc)
		}
		if errors.As(err, &fieldError) {
			return nil, &OverrideError{i, fieldError.Field, fieldError.Reason}
		} else if err != nil {
			return nil, &OverrideError{i, "", err.Error()}
		}
		if kind.Count != before.Count || kind.Share != before.Share {
			return nil, &OverrideError{i, "count", "how many there are, and their share, belong to the day"}
		}
	}
	return kinds, nil
}
