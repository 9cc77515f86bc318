// Package admission decides, inside one server of a fleet, which requests the server accepts, runs
// and rejects.
//
// The ordinary path is the overload control of Breakwater (Cho et al., OSDI 2020): a credit pool
// that grows while queueing delay is under its target and is cut by the excess otherwise, credit
// from the pool that is advertised to callers, and rejection of arrivals whose queueing delay is past
// a multiple of the target. Further limits keep four rules: every request is answered once before
// its deadline, no effect happens twice, a drain leaves nothing unanswered, and the server stays
// within its memory, its cores and its quota of calls.
//
// The host is internal/lifecycle, in the runner and in the simulator, or cmd/simadapter. It owns
// time, threads and I/O. It calls [Controller.Handle] from one goroutine at a time, with a clock
// that never goes back, reports every event in the order in which it happened, and carries out the
// actions in the order in which Handle returns them. The package owns no goroutine, no clock and no
// global state, and uses no randomness: the same events give the same actions.
//
// The host reports to the controller one EventCompleted for each ActionStart and ActionReuseResult
// that took effect, one EventCallCompleted for each ActionPlaceCall unless EventCompleted comes
// first, and one EventTimer for each ActionTimer.
//
// Times are durations since the start of the host's clock. A float64 that
// holds seconds says so in its name or comment.
package admission
