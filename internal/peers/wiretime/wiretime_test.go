package wiretime

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

func TestDurationIsCutToWholeMicroseconds(t *testing.T) {
	m := FromDuration(2*time.Second + 1999*time.Nanosecond)
	if want := Microseconds(2_000_001); m != want {
		t.Errorf("FromDuration = %d, want %d", m, want)
	}
	if got, want := m.Duration(), 2*time.Second+time.Microsecond; got != want {
		t.Errorf("Duration = %v, want %v", got, want)
	}
}

func TestDecodedSpanDoesNotOverflowWithAnInstant(t *testing.T) {
	const uptime = 100 * 365 * 24 * time.Hour
	if got := Microseconds(math.MaxInt64).Duration() + uptime; got < uptime {
		t.Errorf("the sum with the largest span is %v", got)
	}
	if got := Microseconds(math.MinInt64).Duration() - uptime; got > 0 {
		t.Errorf("the difference with the smallest span is %v", got)
	}
}

func TestMicrosecondsAreEncodedAsAnInteger(t *testing.T) {
	for _, n := range []int64{0, 23, -1, 600_000, 1 << 40} {
		plain, err := cbor.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		typed, err := cbor.Marshal(Microseconds(n))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(plain, typed); diff != "" {
			t.Errorf("%d: %s", n, diff)
		}
	}
}
