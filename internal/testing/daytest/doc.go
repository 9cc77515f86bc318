// Package daytest plays a day of the simulator on real runner processes.
//
// The simulator's models of machines, back end, registry and balancers (package fleet) are put
// behind sockets on loopback, one stand-in for each party that a runner speaks to. The package
// shows whether the model behaves like the fleet; it is no load generator.
//
// All state belongs to the goroutine of one event loop, unless a field says otherwise.
package daytest
