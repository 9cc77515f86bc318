package simwire

import (
	"math"
	"slices"

	"ryepaddle/internal/admission"
)

// Gauge names one of the gauges that timers carry.
type Gauge int

const (
	gaugeOther Gauge = iota // one that the decisions do not read
	gaugeCPU
	gaugeRunnable
	gaugeMemory
	gaugeConnections
)

// gaugeSize is the size in bytes of a gauge of an event.
const gaugeSize = 4

// gaugeNames are the gauges by their names on the wire.
var gaugeNames = map[string]Gauge{
	"cpu_busy": gaugeCPU,
	"runnable": gaugeRunnable,
	"mem_used": gaugeMemory,
	"sockets":  gaugeConnections,
}

func decodeGauges(b []byte, names []Gauge) admission.Gauges {
	values := make([]float64, 0, len(b)/gaugeSize)
	for encoded := range slices.Chunk(b, gaugeSize) {
		values = append(values, float(encoded))
	}
	return ArrangeGauges(values, names)
}

// ArrangeGauges makes gauges of values that come in the order of names. A gauge without a value is
// NaN.
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
