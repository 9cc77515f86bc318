package admission

import "fmt"

// Parameters are what the module's decisions go by. Each is set out, with its reason, in the module
// itself; the platform sets none of them. They can be set otherwise to try out a change before it
// is built in.
type Parameters struct {
	AdditiveIncrease       float64
	MultiplicativeDecrease float64
	MinCutFactor           float64
	DelayTargetShare       float64
	MinDelayTargetShare    float64
	RejectDelayFactor      float64
	BusyCPU                float64
	MinCredit              float64
	RetryTargetShare       float64
	RetryStormShare        float64
	FewRetriesShare        float64
	OverrunFactor          float64
	StartMarginFactor      float64
	RunningLimitShare      float64
	RunMemoryShare         float64
	QueueMemoryShare       float64
	CallQuotaShare         float64
	MinCallQuotaShare      float64
	SlowCallFactor         float64
	CallLimitDecrease      float64
	BestCallTimeGrowth     float64
	LateCallWeight         float64
	CallQueueShare         float64
	IdleCreditPerCore      float64
	MinCallLimitShare      float64
	AdvertiseStep          float64
}

// Parameter is one of them, by name, with the bounds within which the module still works.
type Parameter struct {
	Name     string
	Value    *float64
	Min, Max float64
}

// All lists the figures.
func (f *Parameters) All() []Parameter {
	return []Parameter{
		{"alpha", &f.AdditiveIncrease, 0, 10},
		{"beta", &f.MultiplicativeDecrease, 0, 10},
		{"cut_floor", &f.MinCutFactor, 0, 1},
		{"target_share", &f.DelayTargetShare, 0.01, 1},
		{"target_least", &f.MinDelayTargetShare, 0.01, 1},
		{"refuse_at", &f.RejectDelayFactor, 0.1, 100},
		{"busy_cpu", &f.BusyCPU, 0, 2},
		{"pool_floor", &f.MinCredit, 0, 1000},
		{"retry_share", &f.RetryTargetShare, 0, 10},
		{"storm_share", &f.RetryStormShare, 0.001, 1},
		{"few_share", &f.FewRetriesShare, 0, 1},
		{"over_run", &f.OverrunFactor, 1, 1000},
		{"hope_share", &f.StartMarginFactor, 0, 100},
		{"crowd_share", &f.RunningLimitShare, 0.01, 1},
		{"memory_share", &f.RunMemoryShare, 0.01, 1},
		{"hold_share", &f.QueueMemoryShare, 0.01, 1},
		{"call_share", &f.CallQuotaShare, 0.01, 1},
		{"call_least", &f.MinCallQuotaShare, 0, 1},
		{"call_slow", &f.SlowCallFactor, 1, 100},
		{"call_cut", &f.CallLimitDecrease, 0.01, 1},
		{"call_forget", &f.BestCallTimeGrowth, 1, 10},
		{"call_late", &f.LateCallWeight, 0, 1},
		{"call_ahead", &f.CallQueueShare, 0, 100},
		{"idle_pool", &f.IdleCreditPerCore, 0, 1000},
		{"call_slots", &f.MinCallLimitShare, 0.001, 1},
		{"say_step", &f.AdvertiseStep, 0, 1},
	}
}

// Set gives one figure another value.
func (f *Parameters) Set(name string, v float64) error {
	for _, g := range f.All() {
		if g.Name == name {
			if !(v >= g.Min && v <= g.Max) {
				return fmt.Errorf("%v is not from %v to %v", v, g.Min, g.Max)
			}
			*g.Value = v
			return nil
		}
	}
	return fmt.Errorf("no figure of the module has this name")
}

// orDefault takes the standard ones where none were told, and reports one out of its bounds.
func (f Parameters) orDefault(standard Parameters) (Parameters, error) {
	if f == (Parameters{}) {
		return standard, nil
	}
	for _, g := range f.All() {
		if !(*g.Value >= g.Min && *g.Value <= g.Max) {
			return f, fmt.Errorf(
				"admission: setting Parameters: %s is %v, not from %v to %v",
				g.Name,
				*g.Value,
				g.Min,
				g.Max,
			)
		}
	}
	return f, nil
}
