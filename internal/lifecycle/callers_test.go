package lifecycle

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// All caller numbers of which no request has run share one number for the admission controller, so that
// made-up numbers get no part of the credit. Proven callers are removed after provenLifetime.
func TestCallersCountOnceRequestHasRun(t *testing.T) {
	c := provenCallers{lastRunAt: map[uint32]time.Duration{}}
	c.markProven(7, time.Microsecond)
	got := []uint32{c.admissionNumber(7), c.admissionNumber(8), c.admissionNumber(9)}
	c.expire(time.Microsecond + provenLifetime + sweepInterval)
	got = append(got, c.admissionNumber(7), uint32(len(c.lastRunAt)))
	if diff := cmp.Diff([]uint32{7, unprovenCaller, unprovenCaller, unprovenCaller, 0}, got); diff != "" {
		t.Error("caller numbers before and after expiry (-want +got):\n" + diff)
	}
}
