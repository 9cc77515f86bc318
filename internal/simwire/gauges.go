package simwire

import (
	"math"
	"slices"

	"ryepaddle/internal/admission"
)

// Gauge identifies one of the gauges that timer events carry.
type Gauge int

const (
	gaugeOther Gauge = iota // a gauge that admission.Gauges does not have
	gaugeCPU
	gaugeRunnable
	gaugeMemory
	gaugeConnections
)

// gaugeSize is the size of a gauge in an event record, in bytes.
const gaugeSize = 4

// gaugeNames maps names on the wire to gauges.
var gaugeNames = map[string]Gauge{
	"cpu_busy": gaugeCPU,
	"runnable": gaugeRunnable,
	"mem_used": gaugeMemory,
	"sockets":  gaugeConnections,
}

// decodeGauges decodes the gauges of an event, which are in the order of names.
func decodeGauges(b []byte, names []Gauge) admission.Gauges {
	values := make([]float64, 0, len(b)/gaugeSize)
	for encoded := range slices.Chunk(b, gaugeSize) {
		values = append(values, float(encoded))
	}
	return ArrangeGauges(values, names)
}

// ArrangeGauges returns the gauges whose values are given in the order of names. A gauge without a
// value is NaN.
func ArrangeGauges(values []float64, names []Gauge) admission.Gauges {
	nan := math.NaN()
	g := admission.Gauges{CPU: nan, Runnable: nan, Memory: nan, Connections: nan}
	for i := range min(len(names), len(values)) {
		switch names[i] {
		case gaugeCPU:
			g.CPU = values[i]
		case gaugeRunnable:
			g.Runnable = values[i]
		case gaugeMemory:
			g.Memory = values[i]
		case gaugeConnections:
			g.Connections = values[i]
		}
	}
	return g
}
