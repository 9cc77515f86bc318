package placement

import "testing"

// A process takes another life under a name whose process before had lives of higher numbers: it is
// taken in, as these say nothing of it. What it said before it took that life, and what the process
// before said, does not take it back.
func TestLivesOfTwoProcesses(t *testing.T) {
	const before, now = 1, 2 // processes
	say := func(process uint32, life uint64) Change {
		return Change{Kind: ChangeJoinV3, Member: Member{Name: "n1", Process: process, Incarnation: life}}
	}
	out := func(life uint64) Change {
		return Change{Kind: ChangeLost, Member: Member{Name: "n1", Incarnation: life}}
	}
	for name, c := range map[string]struct {
		changes []Change
		want    uint64
	}{
		"another life of the new process":     {[]Change{say(before, 900), out(900), say(now, 100), say(now, 101)}, 101},
		"without the one before being out":    {[]Change{say(before, 900), say(now, 100), say(now, 101)}, 101},
		"said before it took another life":    {[]Change{say(before, 900), out(900), say(now, 101), say(now, 100)}, 101},
		"the same, as it is out":              {[]Change{say(now, 100), say(now, 101), out(101), say(now, 100)}, 0},
		"back from being out in another life": {[]Change{say(before, 900), say(now, 100), out(100), say(now, 101)}, 101},
		"it was out, and says so late":        {[]Change{say(now, 100), out(100), say(now, 100)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table, err := New(4, 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, change := range c.changes {
				table.Apply(change)
			}
			if got := table.Member("n1").Incarnation; got != c.want {
				t.Errorf("life %d, want %d", got, c.want)
			}
		})
	}
}
