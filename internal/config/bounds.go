package config

import (
	"reflect"
	"strings"
)

// bounds lists the smallest and the largest value of each number in the operator's file, by field.
// The checks and the JSON schema use it.
var bounds = []struct {
	field    string
	min, max float64
}{
	{"limits.connections", 1, 10_000},
	{"limits.server_connections", 1, 10_000},
	{"limits.per_address", 0, 10_000},
	{"limits.server_ahead", 0, 64},
	{"limits.vars_kb", 1, 64},
	{"limits.body_kb", 1, 64 << 10},
	{"limits.response_kb", 1, 64 << 10},
	{"limits.keep_kb", 0, 64 << 10},
	{"limits.upload_mb", 0, 1 << 20},
	{"limits.stream_kb", 1, 16 << 10},
	{"limits.stream_mb", 1, 1 << 10},
	{"limits.request_kb", 0.1, 1999},
	{"limits.read_ms", 10, 600_000},
	{"limits.connect_ms", 1, 60_000},
	{"limits.tries", 1, 10},
	{"peers.copies", 1, 4},
	{"peers.slots", 1, 1024},
	{"peers.patience_ms", 10, 60_000},
	{"peers.memory_mb", 0, 1 << 16},
	{"peers.repair_kb", 16, 1 << 20},
	{"peers.mesh", 1, 300},
	{"peers.duties.each", 1, 64},
	{"peers.duties.again_s", 0, 3600},
	{"record.max_mb", 1, 1 << 20},
	{"record.queue", 1, 1 << 16},
	{"routing.subset", 0, 10_000},
	{"routing.warm_s", 0, 600},
	{"routing.warm_from", 0.01, 1},
	{"routing.cold.calls", 0, 1_000_000},
	{"routing.cold.over_ms", 10, 600_000},
	{"routing.cold.processes", 0, 10_000},
	{"routing.eject.fails", 1, 1000},
	{"routing.eject.rate", 0.01, 1},
	{"routing.eject.slow", 0, 100},
	{"routing.eject.first_s", 0.1, 600},
	{"routing.eject.most_s", 0.1, 3600},
	{"routing.eject.share", 0, 0.9},
	{"routing.check.every_ms", 250, 600_000},
	{"routing.check.within_ms", 1, 60_000},
	{"routing.check.fails", 1, 100},
	{"routing.check.passes", 1, 100},
	{"routing.retries.share", 0, 1},
	{"routing.retries.spare", 0, 10_000},
	{"routing.limit.first", 1, 10_000},
	{"routing.limit.least", 1, 10_000},
	{"inventory_watch.every_s", 0, 3600},
	{"inventory_watch.settle_ms", 0, 60_000},
	{"inventory_watch.shrink", 0, 1},
	{"traces.max_mb", 1, 1 << 20},
	{"traces.share", 0, 1},
	{"traces.per_second", 1, 10_000},
	{"traces.queue", 1, 1 << 16},
	{"store.wait_ms", 0, 100},
	{"store.patience_ms", 10, 60_000},
	{"store.segment_mb", 1, 1024},
	{"store.slack_mb", 1, 1 << 20},
	{"usage.period_min", 1, 1440},
	{"usage.slice_s", 1, 3600},
	{"usage.grace_s", 0, 600},
	{"usage.every_s", 1, 600},
	{"usage.queue", 64, 1 << 20},
	{"usage.keys", 1, 1 << 20},
	{"usage.lines", 10, 1 << 20},
	{"control.explain_kb", 64, 1 << 20},
}

// checkBounds compares the numbers of the file with their bounds.
func (o *Operator) checkBounds(*Platform) error {
	for _, b := range bounds {
		// The condition also rejects NaN.
		value := numberAt(reflect.ValueOf(o).Elem(), b.field)
		if !(value >= b.min && value <= b.max) {
			return o.document.Errorf(b.field, "%v is not from %v to %v", value, b.min, b.max)
		}
	}
	return nil
}

// numberAt returns the number in a field that is named as in the file, such as limits.tries. It
// panics if there is no such field.
func numberAt(v reflect.Value, name string) float64 {
	for _, part := range strings.Split(name, ".") {
		found := false
		for i := range v.NumField() {
			if tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ","); tag == part {
				v, found = v.Field(i), true
				break
			}
		}
		if !found {
			panic("config: no field " + name) // a field in bounds is wrong
		}
	}
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}
