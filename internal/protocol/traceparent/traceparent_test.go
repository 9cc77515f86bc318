package traceparent

import (
	"strings"
	"testing"

	"ryepaddle/internal/wallclock"

	"pgregory.net/rapid"
)

const sample = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

func TestHeadersOfAnyVersionAreParsed(t *testing.T) {
	for text, ok := range map[string]bool{
		sample: true, strings.Replace(sample, "-01", "-00", 1): true, "cc" + sample[2:] + "-more": true,
		"":                      false,
		sample + "-more":        false,
		"ff" + sample[2:]:       false,
		strings.ToUpper(sample): false,
		sample[:54]:             false,
		"00-00000000000000000000000000000000-00f067aa0ba902b7-01": false,
		"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01": false,
		strings.Replace(sample, "4b", "4x", 1):                    false, sample + ", " + sample: false,
	} {
		c, got := Parse(text)
		if got != ok {
			t.Errorf("Parse(%q) reported %v, want the opposite", text, got)
		}
		if ok && text[:2] == "00" && c.String() != text {
			t.Errorf("Parse(%q).String() = %q, want the same header", text, c)
		}
	}
}

// Span IDs are deterministic, and differ between requests, attempts, instances and arrival times.
func TestIDsFollowFromWhatIdentifiesARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.String().Draw(t, "name")
		at := wallclock.UnixMicro(rapid.Int64().Draw(t, "arrived"))
		c := New("n1", name, at, sample, 0)
		seen := map[[8]byte]bool{c.Span: true}
		for _, other := range []Context{
			New("n2", name, at, sample, 0),
			New("n1", name, at+1, sample, 0),
			New("n1", name+"x", at, sample, 0),
			c.Attempt(0),
			c.Attempt(1),
			c.Attempt(256),
		} {
			if seen[other.Span] || other.Trace != c.Trace || !other.Sampled {
				t.Errorf("spans %v and %v: want different span IDs in one sampled trace", c, other)
			}
			seen[other.Span] = true
		}
		own := New("n1", name, at, "nonsense", 1)
		if again := New("n1", name, at, "", 1); own != again || !own.Sampled || own.Trace == c.Trace ||
			New("n1", name, at, "", 0).Sampled {
			t.Errorf("new traces %v and %v: want the same for both, sampled, and not that of a caller", own, again)
		}
	})
}

// The ratio of new traces that are sampled is close to sampleRatio.
func TestSampleRatioIsKept(t *testing.T) {
	n := 0
	for i := range wallclock.UnixMicro(10_000) {
		if New("n1", "x", i, "", 0.1).Sampled {
			n++
		}
	}
	if n < 850 || n > 1150 {
		t.Errorf("%d of 10,000 traces are sampled, want 850 to 1150", n)
	}
}
