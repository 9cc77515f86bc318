package lifecycle

import "ryepaddle/internal/admission"

// Cause is why a request was answered as it was. Those of the module are followed by those of the
// table of requests.
type Cause uint8

// The causes that are not the module's. Value and Limit of the trail are what was compared, where
// that is said.
const (
	CauseNone        Cause = 0
	CauseKeyTable    Cause = 64 + iota // the table of keys is full; keys, and what it holds
	CauseDisk                          // the key cannot be kept now
	CauseNameOpen                      // a request by its name is open
	CauseKeyTaken                      // its key stands for another body
	CauseInDoubt                       // it repeats one that had begun before a restart
	CauseRepeat                        // it got what the try got that it repeats
	CauseForgotten                     // what it repeats was dropped without having run
	CauseNobody                        // no server took it
	CauseServerFault                   // its server failed it, by a status of its own
	CauseBroken                        // its run was cut off, and may not be tried again
	CauseRunOverdue                    // its run had no end by its due time
	CauseStranger                      // whoever runs requests knows of none like it
	CauseDeadline                      // the deadline of its front came
	CauseGone                          // its caller went before there was an answer
	CauseRefusedRun                    // the run was refused, and nothing ran
	// it would have come too late for the slots of its pool; seconds it would take, and that are
	// left
	CausePool
	// the line of its pool was full; requests in it, and that it holds
	CauseLine
	CauseCopies // its copies on other runners were not to be had
)

var causeNames = map[Cause]string{
	CauseNone: "none", Cause(admission.CauseDraining): "drain", Cause(admission.CauseMemory): "no memory to hold it",
	Cause(admission.CauseDeadlineTooNear): "too little time left", Cause(admission.CauseCallQueue): "no room for its call",
	Cause(admission.CauseQueueingDelay): "queueing delay", Cause(admission.CauseObjectiveUnreachable): "held until its aim was out of reach",
	Cause(admission.CauseQuota): "beyond its tenant's share", Cause(admission.CauseKeyMemory): "no memory for its key",
	Cause(admission.CauseDeadlinePassed): "due time came", Cause(admission.CauseCallFailed): "its call failed", Cause(admission.CauseCancelled): "its run was stopped",
	CauseKeyTable: "table of keys full", CauseDisk: "key cannot be kept", CauseNameOpen: "its name is open", CauseKeyTaken: "its key stands for another body",
	CauseInDoubt: "in doubt after a restart", CauseRepeat: "repeats another try", CauseForgotten: "what it repeats never ran",
	CauseNobody: "no server took it", CauseServerFault: "its server failed it", CauseBroken: "its run was cut off", CauseRunOverdue: "its run took too long",
	CauseStranger: "nobody knows it", CauseDeadline: "its deadline came", CauseGone: "its caller went", CauseRefusedRun: "its run was refused",
	CausePool: "no slot of its pool in time", CauseLine: "line of its pool full", CauseCopies: "its copies were not to be had"}

func (c Cause) String() string { return causeNames[c] }

// Causes are all of them.
func Causes() (out []Cause) {
	for c := range causeNames {
		out = append(out, c)
	}
	return out
}

// Hop is one try on a server.
type Hop struct {
	Server  string // empty: none took it
	Began   int64  // Unix time
	Took    int64
	Outcome Outcome // nought: it is not over
}

// mostHops is how many tries a trail tells of.
const mostHops = 4

// Trail is what became of a request, and why.
type Trail struct {
	Name, Key     string
	Trace         string // as the request has it
	Class, Tenant int
	Caller        uint32
	Arrived       int64  // Unix times: at the machine,
	Read          int64  // when it was read whole,
	Started       int64  // when its run began; 0: never
	Answered      int64  // and when it was answered
	First         string // of a repeat: the name of the try that it repeats
	Kind          Kind   // nought: its caller went
	Cause         Cause
	Value, Limit  float64
	ComeBack      int64
	Hops          [mostHops]Hop
	Tries         int // those beyond the hops are counted alone
	// microseconds that it waited until its key was kept, on the disk or on other runners
	Kept int64
}

// trail begins one, where anybody takes them.
func (c *Core) trail(q *Request) *Trail {
	if c.host.Trails == nil {
		return nil
	}
	return &Trail{
		Name:    q.Name,
		Key:     q.Key,
		Trace:   q.Trace,
		Class:   q.Class,
		Tenant:  q.Tenant,
		Caller:  q.Caller,
		Arrived: q.Arrived,
		Read:    c.host.Unix(),
	}
}

// because notes why an answer is about to be given. What was said first stands: a cause that is
// nearer to it.
func (t *Trail) because(cause Cause, value, limit float64) {
	if t != nil && t.Cause == CauseNone {
		t.Cause, t.Value, t.Limit = cause, value, limit
	}
}

// tell hands a trail over, once.
func (c *Core) tell(t *Trail, kind Kind, comeBack int64) {
	if t == nil || t.Answered != 0 {
		return
	}
	t.Kind, t.ComeBack, t.Answered = kind, comeBack, c.host.Unix()
	c.host.Trails(t)
}

// tellOf is tell for a request that may still run.
func (c *Core) tellOf(r *request, kind Kind, comeBack int64) {
	if t, a := r.trail, r.running; t != nil && a != nil && t.Tries > 0 && t.Tries <= mostHops {
		h := &t.Hops[t.Tries-1]
		h.Server, h.Took = a.Server, c.host.Unix()-h.Began
		if kind == Late {
			h.Outcome = TimedOut
		}
	}
	c.tell(r.trail, kind, comeBack)
}

// tried notes a try that begins, and ended one that is over.
func (t *Trail) tried(now int64) {
	if t == nil {
		return
	}
	if t.Tries < mostHops {
		t.Hops[t.Tries] = Hop{Began: now}
	}
	if t.Tries++; t.Started == 0 {
		t.Started = now
	}
}

func (t *Trail) ended(a *Attempt, o Outcome, now int64) {
	if t == nil || t.Tries == 0 || t.Tries > mostHops {
		return
	}
	h := &t.Hops[t.Tries-1]
	h.Server, h.Outcome, h.Took = a.Server, o, now-h.Began
}

// kept notes a wait for its key to be kept.
func (t *Trail) kept(us int64) {
	if t != nil {
		t.Kept += us
	}
}

// work is the time that servers spent, of the tries that it tells of.
func (t *Trail) work() (us int64) {
	if t == nil {
		return 0
	}
	for _, h := range t.Hops[:min(t.Tries, len(t.Hops))] {
		us += h.Took
	}
	return us
}

// causeOf is why a run that ended like that has no result.
func causeOf(o Outcome) Cause {
	switch o {
	case Fine:
		return CauseNone
	case NotRun:
		return CauseRefusedRun
	case Unreachable:
		return CauseNobody
	case TimedOut:
		return CauseRunOverdue
	case Unknown:
		return CauseStranger
	case Broken:
		return CauseBroken
	case Stopped:
		return CauseGone
	}
	return CauseServerFault
}
