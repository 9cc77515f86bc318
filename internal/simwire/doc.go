// Package simwire translates the simulator's binary frames to and from the types of package
// admission, and the simulator's settings to admission.Settings. It is used by cmd/simadapter, and
// makes no decisions about requests.
//
// A batch is one frame from the simulator: a header, event records of a fixed size, and a tail that
// holds texts. A reply has the same layout, with action records. On the wire all numbers are
// little-endian, and times are in microseconds.
package simwire
