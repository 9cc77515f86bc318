package lifecycle

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Made-up caller numbers get no part of the credit, and callers are forgotten after a while.
func TestCallersCountOnceRequestHasRun(t *testing.T) {
	c := provenCallers{lastRunAt: map[uint32]time.Duration{}}
	c.markProven(7, time.Microsecond)
	got := []uint32{c.admissionNumber(7), c.admissionNumber(8), c.admissionNumber(9)}
	c.expire(time.Microsecond + provenLifetime + sweepInterval)
	got = append(got, c.admissionNumber(7), uint32(len(c.lastRunAt)))
	if diff := cmp.Diff([]uint32{7, unprovenCaller, unprovenCaller, unprovenCaller, 0}, got); diff != "" {
		t.Error("(-want +got)\n" + diff)
	}
}
