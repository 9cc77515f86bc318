package wallclock

import (
	"testing"
	"time"
)

func TestUnixMicroIsCutToWholeMicroseconds(t *testing.T) {
	at := time.Unix(7, 1_999)
	u := FromTime(at)
	if want := UnixMicro(7_000_001); u != want {
		t.Errorf("FromTime(%v) = %d, want %d", at, u, want)
	}
	if got, want := u.Add(1500*time.Nanosecond), u+1; got != want {
		t.Errorf("Add = %d, want %d", got, want)
	}
	if got, want := (u + 5).Sub(u), 5*time.Microsecond; got != want {
		t.Errorf("Sub = %v, want %v", got, want)
	}
	if got, want := u.Time(), time.Unix(7, 1_000); !got.Equal(want) {
		t.Errorf("Time = %v, want %v", got, want)
	}
}
