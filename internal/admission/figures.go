package admission

import "fmt"

// Figures are what the module's decisions go by. Each is set out, with its reason, in the module
// itself; the platform sets none of them. They can be set otherwise to try out a change before it
// is built in.
type Figures struct {
	Alpha       float64
	Beta        float64
	CutFloor    float64
	TargetShare float64
	TargetLeast float64
	RefuseAt    float64
	BusyCPU     float64
	PoolFloor   float64
	RetryShare  float64
	StormShare  float64
	FewShare    float64
	OverRun     float64
	HopeShare   float64
	CrowdShare  float64
	MemoryShare float64
	HoldShare   float64
	CallShare   float64
	CallLeast   float64
	CallSlow    float64
	CallCut     float64
	CallForget  float64
	CallLate    float64
	CallAhead   float64
	IdlePool    float64
	CallSlots   float64
	SayStep     float64
}

// Figure is one of them, by name, with the bounds within which the module still works.
type Figure struct {
	Name        string
	Value       *float64
	Least, Most float64
}

// All lists the figures.
func (f *Figures) All() []Figure {
	return []Figure{
		{"alpha", &f.Alpha, 0, 10},
		{"beta", &f.Beta, 0, 10},
		{"cut_floor", &f.CutFloor, 0, 1},
		{"target_share", &f.TargetShare, 0.01, 1},
		{"target_least", &f.TargetLeast, 0.01, 1},
		{"refuse_at", &f.RefuseAt, 0.1, 100},
		{"busy_cpu", &f.BusyCPU, 0, 2},
		{"pool_floor", &f.PoolFloor, 0, 1000},
		{"retry_share", &f.RetryShare, 0, 10},
		{"storm_share", &f.StormShare, 0.001, 1},
		{"few_share", &f.FewShare, 0, 1},
		{"over_run", &f.OverRun, 1, 1000},
		{"hope_share", &f.HopeShare, 0, 100},
		{"crowd_share", &f.CrowdShare, 0.01, 1},
		{"memory_share", &f.MemoryShare, 0.01, 1},
		{"hold_share", &f.HoldShare, 0.01, 1},
		{"call_share", &f.CallShare, 0.01, 1},
		{"call_least", &f.CallLeast, 0, 1},
		{"call_slow", &f.CallSlow, 1, 100},
		{"call_cut", &f.CallCut, 0.01, 1},
		{"call_forget", &f.CallForget, 1, 10},
		{"call_late", &f.CallLate, 0, 1},
		{"call_ahead", &f.CallAhead, 0, 100},
		{"idle_pool", &f.IdlePool, 0, 1000},
		{"call_slots", &f.CallSlots, 0.001, 1},
		{"say_step", &f.SayStep, 0, 1},
	}
}

// Set gives one figure another value.
func (f *Figures) Set(name string, v float64) error {
	for _, g := range f.All() {
		if g.Name == name {
			if !(v >= g.Least && v <= g.Most) {
				return fmt.Errorf("%v is not from %v to %v", v, g.Least, g.Most)
			}
			*g.Value = v
			return nil
		}
	}
	return fmt.Errorf("no figure of the module has this name")
}

// or takes the standard ones where none were told, and reports one out of its bounds.
func (f Figures) or(standard Figures) (Figures, error) {
	if f == (Figures{}) {
		return standard, nil
	}
	for _, g := range f.All() {
		if !(*g.Value >= g.Least && *g.Value <= g.Most) {
			return f, fmt.Errorf(
				"admission: setting Figures: %s is %v, not from %v to %v",
				g.Name,
				*g.Value,
				g.Least,
				g.Most,
			)
		}
	}
	return f, nil
}
