// Package simwire translates the simulator's binary frames to and from the types of package
// admission, and the settings of the wire to admission.Settings. It is used by cmd/simadapter, and
// makes no decisions about requests.
//
// A batch is one frame from the simulator: a header, event records of a fixed size and a tail with
// texts. A reply has the same shape, with action records. All numbers are little-endian; times are
// microseconds on the wire.
package simwire
