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

var defaultParameters = Parameters{
	AdditiveIncrease: 0.001, // credits per caller and period; paper: additive growth, at least 1
	// of the excess; paper: 0.02 each network round trip, but a period is far longer
	MultiplicativeDecrease: 0.5,
	MinCutFactor:           0.5, // of the pool; paper: no cut takes more than half
	DelayTargetShare:       0.4, // of the aim left beside the run; paper: 40% of the objective
	// the same while nothing is turned away: others have room, an early cut leads there
	MinDelayTargetShare: 0.3,
	RejectDelayFactor:   2.0, // delay targets; paper: refusal past it
	BusyCPU:             0.9, // cpu gauge; design page: cut and refuse only above it
	MinCredit:           1.0, // credits: a trickle that shows when a server has recovered
	RetryTargetShare:    0.5, // of the target: what a marked further try gets of it
	// of arrivals: so many further tries are a storm, and get nothing of the target
	RetryStormShare: 0.25,
	// of arrivals: with fewer further tries others serve; with more a walk is in vain
	FewRetriesShare: 0.05,
	// expected runs: past it, under overload, stoppable work gives way to what waits
	OverrunFactor: 3.0,
	// expected runs: time for a start that cannot be stopped; one for one that can
	StartMarginFactor: 1.5,
	RunningLimitShare: 0.8, // of the crowd that the server outlives: room for what comes back at once
	RunMemoryShare:    0.9, // of the memory: runs start and keys are kept below it
	// of the memory: arrivals are refused past it; the rest is for what is read unasked
	QueueMemoryShare: 0.95,
	// of the stated share of the dependency: the most that is spent steadily on calls
	CallQuotaShare: 0.8,
	// of it: the least, however small; the rest is saved up for calls that take long
	MinCallQuotaShare:  0.2,
	SlowCallFactor:     2.5,   // best mean times of a call: past it the dependency is crowded
	CallLimitDecrease:  0.9,   // a period: how fast a crowded dependency is given room
	BestCallTimeGrowth: 1.003, // a call: how fast the best mean is forgotten
	LateCallWeight:     1e-6,  // of worth, for each second left: the order of requests that are late
	// of the aim: what would stand in line for a call for longer is refused at reading
	CallQueueShare: 0.07,
	// credits for each core: the least while calls stand in line and the cores are free
	IdleCreditPerCore: 3.0,
	MinCallLimitShare: 0.2,  // of the stated share: what the dependency works on at once
	AdvertiseStep:     0.02, // of the value last sent: smaller moves are not sent
}

// DefaultParameters are those that are built in.
func DefaultParameters() Parameters { return defaultParameters }
