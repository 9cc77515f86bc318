package wallclock

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func TestMicrosIsCutToWholeMicroseconds(t *testing.T) {
	m := MicrosOf(2*time.Second + 1_999*time.Nanosecond)
	if want := Micros(2_000_001); m != want {
		t.Errorf("MicrosOf = %d, want %d", m, want)
	}
	if got, want := m.Duration(), 2*time.Second+time.Microsecond; got != want {
		t.Errorf("Duration = %v, want %v", got, want)
	}
	if got, want := m.After(7), UnixMicro(2_000_008); got != want {
		t.Errorf("After = %d, want %d", got, want)
	}
}

func TestDecodedSpanDoesNotOverflowWithAnInstant(t *testing.T) {
	const uptime = 100 * 365 * 24 * time.Hour
	if got := Micros(math.MaxInt64).Duration() + uptime; got < uptime {
		t.Errorf("the sum with the largest Micros is %v, want no overflow", got)
	}
	if got := Micros(math.MinInt64).Duration() - uptime; got > 0 {
		t.Errorf("the difference with the smallest Micros is %v, want no overflow", got)
	}
}

func TestMicrosIsEncodedAsAnInteger(t *testing.T) {
	for _, n := range []int64{0, 23, -1, 600_000, 1 << 40} {
		plain, err := cbor.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		typed, err := cbor.Marshal(Micros(n))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(plain, typed) {
			t.Errorf("%d is encoded as %x, want %x", n, typed, plain)
		}
	}
}
