// Package admission decides, inside one server of a fleet, which requests it takes, runs and turns
// away.
//
// The ordinary path is the mechanism of Breakwater (OSDI 2020): a credit pool that grows while
// queueing delay is under its target and is cut by the excess otherwise, credit from the pool
// advertised to callers, and refusal on arrival past twice the target. Guards around it keep four
// rules: every request is answered once by its due time, no effect happens twice, a drain leaves
// nothing behind, and the server does not outgrow its memory, its cores or its share of what lies
// below.
//
// The host owns time, threads and I/O. It calls [Controller.Handle] from one goroutine at a time,
// with a clock that only goes forward, reports every event in the order in which it happened, and
// carries out the actions in the order written. The module owns no goroutine, no clock and no
// global state, and uses no randomness: the same events give the same actions.
//
// The host owes the controller one EventCompleted for each ActionStart and ActionReuseResult that took effect,
// one EventCallCompleted for each ActionPlaceCall (unless EventCompleted comes first), and an EventTimer for each
// ActionTimer.
package admission
