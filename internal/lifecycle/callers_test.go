package lifecycle

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Numbers that strangers made up each took a part of the credit, and were kept for good.
func TestCallersCountOnceARequestHasRun(t *testing.T) {
	c := callerTable{last: map[uint32]time.Duration{}}
	c.prove(7, time.Microsecond)
	got := []uint32{c.number(7), c.number(8), c.number(9)}
	c.expire(time.Microsecond + provenFor + sweepEvery)
	got = append(got, c.number(7), uint32(len(c.last)))
	if diff := cmp.Diff([]uint32{7, noCallerNo, noCallerNo, noCallerNo, 0}, got); diff != "" {
		t.Error("(-want +got)\n" + diff)
	}
}
