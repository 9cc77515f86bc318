package latency

import (
	"testing"
	"time"
)

func TestConversionKeepsWholeMicroseconds(t *testing.T) {
	if got := Micros(1500*time.Microsecond + 999*time.Nanosecond); got != 1500 {
		t.Errorf("Micros(1500.999 µs) = %v, want 1500", got)
	}
	if got := FromMicros(1500.9); got != 1500*time.Microsecond {
		t.Errorf("FromMicros(1500.9) = %v, want 1.5ms", got)
	}
	if got := AtLeastOneMicrosecond(0); got != time.Microsecond {
		t.Errorf("AtLeastOneMicrosecond(0) = %v, want 1µs", got)
	}
}

func TestMeanIsPlainUntilItsWindowIsFull(t *testing.T) {
	var m Mean
	for _, v := range []float64{10, 20, 30} {
		m.Add(v, 3)
	}
	if m.Value != 20 || m.Count != 3 {
		t.Errorf("mean of three values = %v with Count %d, want 20 with Count 3", m.Value, m.Count)
	}
	if m.Add(50, 3); m.Value != 30 || m.Count != 3 {
		t.Errorf("mean after a fourth value = %v with Count %d, want 30 with Count 3", m.Value, m.Count)
	}
}

func TestBestFollowsHigherLatenciesOnlyWithoutAQueue(t *testing.T) {
	var b Best
	for _, c := range []struct {
		mean     float64
		hasQueue bool
		want     float64
	}{
		{100, true, 100},
		{60, true, 90},
		{250, true, 90},
		{250, false, 100},
	} {
		if b.Learn(c.mean, c.hasQueue); b.Micros != c.want {
			t.Errorf("best latency after Learn(%v, %v) = %v, want %v", c.mean, c.hasQueue, b.Micros, c.want)
		}
	}
}
