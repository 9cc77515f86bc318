package historychecker

import (
	"strings"
	"testing"
	"time"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestHistoryCheck(t *testing.T) {
	served := func(r string) Response { return Response{Outcome: Served, Result: r} }
	for name, x := range map[string]struct {
		responses []Response // to attempts, one after the other
		ran       int
		want      string
	}{
		"served twice":               {[]Response{served("a"), served("a")}, 1, ""},
		"refused, then served":       {[]Response{{Outcome: Rejected}, served("a")}, 1, ""},
		"failed, then served":        {[]Response{{Outcome: Failed}, served("a")}, 1, ""},
		"broken, then served":        {[]Response{{Outcome: Unknown}, served("a")}, 1, ""},
		"refused between two served": {[]Response{served("a"), {Outcome: Rejected}, served("a")}, 1, ""},
		"another result":             {[]Response{served("a"), served("b")}, 1, "no order"},
		"failed after it was served": {[]Response{served("a"), {Outcome: Failed}}, 1, "no order"},
		"ran twice":                  {[]Response{{Outcome: Unknown}, served("a")}, 2, "ran 2 times"},
		"served without a run":       {[]Response{served("a")}, 0, "did not run"},
		"failed between two served":  {[]Response{served("a"), {Outcome: Failed}, served("a")}, 1, "no order"},
	} {
		t.Run(name, func(t *testing.T) {
			var h History
			for i, response := range x.responses {
				h.Add(Record{Key: "k", Runner: "n1", SentAt: ms(2 * i), EndedAt: ms(2*i + 1), Response: response})
			}
			v := h.Check(map[string]int{"k": x.ran})
			if (len(v) == 0) != (x.want == "") || !strings.Contains(v.String(), x.want) {
				t.Errorf("unexpected verdict: %v", v)
			}
		})
	}
	var h History // concurrent attempts may take effect in either order
	h.Add(Record{Key: "k", SentAt: ms(0), EndedAt: ms(9), Response: Response{Outcome: Failed}})
	h.Add(Record{Key: "k", SentAt: ms(1), EndedAt: ms(5), Response: served("a")})
	if v := h.Check(map[string]int{"k": 1}); len(v) > 0 {
		t.Error(v)
	}
	if v := h.Check(map[string]int{"k": 1, "other": 1}); len(v) != 1 {
		t.Errorf("verdict on a run without a request = %v, want one violation", v)
	}
}
