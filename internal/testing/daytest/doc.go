// Package daytest plays a day of the simulator on real runner processes.
//
// The simulator's models of machines, back end, registry and balancers (package fleet) are served on
// sockets on loopback, with one stand-in for each party that a runner communicates with. The package
// shows whether the model behaves like the fleet; it is not a load generator.
//
// All state belongs to the goroutine of one event loop, unless a field says otherwise.
package daytest
