package admission

import (
	"errors"
	"fmt"
)

// Parameters are the constants of the controller's decisions. A share is a fraction of 1. The default
// values are in defaultParameters, and their reasons in docs/capacity.md. The platform sets none of
// them; the simulator may.
type Parameters struct {
	AdditiveIncrease       float64 // credits added per caller and control period; Breakwater's alpha
	MultiplicativeDecrease float64 // relative cut of the pool per relative excess of delay; Breakwater's beta
	MinCutFactor           float64 // minimum share of the pool that a cut leaves
	DelayTargetShare       float64 // delay target, as a share of the objective less the mean run time
	MinDelayTargetShare    float64 // the same while no arrivals are rejected
	RejectDelayFactor      float64 // queueing delay above which arrivals are rejected, in delay targets
	BusyCPU                float64 // CPU gauge above which the cores count as busy
	MinCredit              float64 // minimum credits that cuts leave while the cores are busy
	RetryTargetShare       float64 // delay target of a marked retry, as a share of its class's
	RetryStormShare        float64 // share of retries in arrivals at which their delay target is 0
	FewRetriesShare        float64 // share of retries in arrivals up to which others may have capacity
	OverrunFactor          float64 // run time from which overload may cancel a run, in expected run times
	StartMarginFactor      float64 // minimum time left to start an uncancellable run, in expected run times
	RunningLimitShare      float64 // share of Settings.MaxRunningPerCore that is used
	RunMemoryShare         float64 // share of memory up to which runs start and keys are remembered
	QueueMemoryShare       float64 // share of memory above which arrivals are rejected
	WaitingMemoryShare     float64 // share of memory that queued requests and remembered keys may use
	KeyMemoryShare         float64 // share of memory that remembered keys may use
	CallQuotaShare         float64 // upper bound of the mean calls in flight, as a share of the call quota
	MinCallQuotaShare      float64 // lower bound of that mean, as a share of the call quota
	SlowCallFactor         float64 // mean call time above which calls are congested, in best call times
	CallLimitDecrease      float64 // factor of the call limit per congested control period
	BestCallTimeGrowth     float64 // factor by which the best call time grows per call
	LateCallWeight         float64 // priority weight per second that a late request has left
	CallQueueShare         float64 // longest accepted wait for a call, as a share of the objective
	IdleCreditPerCore      float64 // minimum credits per core that cuts leave while cores are not busy
	MinCallLimitShare      float64 // lower bound of the call limit, as a share of the call quota
	AdvertiseStep          float64 // relative change of the credit up to which it is not advertised again
}

var defaultParameters = Parameters{
	AdditiveIncrease:       0.001,
	MultiplicativeDecrease: 0.5,
	MinCutFactor:           0.5,
	DelayTargetShare:       0.4,
	MinDelayTargetShare:    0.3,
	RejectDelayFactor:      2.0,
	BusyCPU:                0.9,
	MinCredit:              1.0,
	RetryTargetShare:       0.5,
	RetryStormShare:        0.25,
	FewRetriesShare:        0.05,
	OverrunFactor:          3.0,
	StartMarginFactor:      1.5,
	RunningLimitShare:      0.8,
	RunMemoryShare:         0.9,
	QueueMemoryShare:       0.95,
	WaitingMemoryShare:     0.85,
	KeyMemoryShare:         0.75,
	CallQuotaShare:         0.8,
	MinCallQuotaShare:      0.2,
	SlowCallFactor:         2.5,
	CallLimitDecrease:      0.9,
	BestCallTimeGrowth:     1.003,
	LateCallWeight:         1e-6, // only orders late requests: below the weight of any other
	CallQueueShare:         0.07,
	IdleCreditPerCore:      3.0,
	MinCallLimitShare:      0.2,
	AdvertiseStep:          0.02,
}

// DefaultParameters returns the parameters that apply where none are set.
func DefaultParameters() Parameters { return defaultParameters }

// ErrUnknownParameter reports a name that no parameter has.
var ErrUnknownParameter = errors.New("the admission controller has no parameter of this name")

// ParameterError reports a parameter that is out of its bounds.
type ParameterError struct {
	Name            string
	Value, Min, Max float64
}

func (e *ParameterError) Error() string {
	return fmt.Sprintf("%v is not from %v to %v", e.Value, e.Min, e.Max)
}

// Parameter is one of the parameters, with its name in files and commands.
type Parameter struct {
	Name     string
	Value    *float64
	Min, Max float64 // bounds, inclusive, within which the module works
}

// check returns a ParameterError if value is out of the parameter's bounds.
func (p *Parameter) check(value float64) error {
	if value >= p.Min && value <= p.Max {
		return nil
	}
	return &ParameterError{Name: p.Name, Value: value, Min: p.Min, Max: p.Max}
}

// All lists the parameters of p. The list points to their values in p.
func (p *Parameters) All() []Parameter {
	return []Parameter{
		{"alpha", &p.AdditiveIncrease, 0, 10},
		{"beta", &p.MultiplicativeDecrease, 0, 10},
		{"cut_floor", &p.MinCutFactor, 0, 1},
		{"target_share", &p.DelayTargetShare, 0.01, 1},
		{"target_least", &p.MinDelayTargetShare, 0.01, 1},
		{"refuse_at", &p.RejectDelayFactor, 0.1, 100},
		{"busy_cpu", &p.BusyCPU, 0, 2},
		{"pool_floor", &p.MinCredit, 0, 1000},
		{"retry_share", &p.RetryTargetShare, 0, 10},
		{"storm_share", &p.RetryStormShare, 0.001, 1},
		{"few_share", &p.FewRetriesShare, 0, 1},
		{"over_run", &p.OverrunFactor, 1, 1000},
		{"hope_share", &p.StartMarginFactor, 0, 100},
		{"crowd_share", &p.RunningLimitShare, 0.01, 1},
		{"memory_share", &p.RunMemoryShare, 0.01, 1},
		{"hold_share", &p.QueueMemoryShare, 0.01, 1},
		{"wait_share", &p.WaitingMemoryShare, 0.01, 1},
		{"key_share", &p.KeyMemoryShare, 0.01, 1},
		{"call_share", &p.CallQuotaShare, 0.01, 1},
		{"call_least", &p.MinCallQuotaShare, 0, 1},
		{"call_slow", &p.SlowCallFactor, 1, 100},
		{"call_cut", &p.CallLimitDecrease, 0.01, 1},
		{"call_forget", &p.BestCallTimeGrowth, 1, 10},
		{"call_late", &p.LateCallWeight, 0, 1},
		{"call_ahead", &p.CallQueueShare, 0, 100},
		{"idle_pool", &p.IdleCreditPerCore, 0, 1000},
		{"call_slots", &p.MinCallLimitShare, 0.001, 1},
		{"say_step", &p.AdvertiseStep, 0, 1},
	}
}

// Set changes the value of one parameter. It returns ErrUnknownParameter for an unknown name, and a
// ParameterError for a value out of bounds.
func (p *Parameters) Set(name string, value float64) error {
	for _, parameter := range p.All() {
		if parameter.Name != name {
			continue
		}
		if err := parameter.check(value); err != nil {
			return err
		}
		*parameter.Value = value
		return nil
	}
	return ErrUnknownParameter
}

// orDefault returns p, or defaults if p is the zero value. It returns a ParameterError for a
// parameter out of its bounds.
func (p Parameters) orDefault(defaults Parameters) (Parameters, error) {
	if p == (Parameters{}) {
		return defaults, nil
	}
	for _, parameter := range p.All() {
		if err := parameter.check(*parameter.Value); err != nil {
			return p, fmt.Errorf("admission: setting Parameters.%s: %w", parameter.Name, err)
		}
	}
	return p, nil
}
