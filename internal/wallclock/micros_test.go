package wallclock

import (
	"testing"
	"time"
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
