package report

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/simulator/compare"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
)

func comparison(t *testing.T) *Comparison {
	t.Helper()
	s, err := day.Parse(
		"small.yaml",
		[]byte(
			"name: small\nlength_s: 5\nwindow_s: 2\nfleet: {runners: 2}\nbalancers: [{choose: round, "+
				"count: 2}]\n",
		),
	)
	if err != nil {
		t.Fatal(err)
	}
	o, err := compare.Run(
		context.Background(),
		compare.Plan{Seed: 3, Days: 4, Workers: 2, Independent: true},
		compare.Local{Spec: s},
		compare.Local{Spec: s},
	)
	if err != nil {
		t.Fatal(err)
	}
	return &Comparison{
		Title:   "A <script> & B",
		A:       "as it is",
		B:       "as it is",
		Day:     "small",
		Build:   "test",
		Outcome: o,
		Inputs:  []Input{{"day.yaml", []byte("name: small\n")}},
	}
}

// saveTwice saves a comparison into two folders. It returns a function that reads a file and checks that it
// is the same in both.
func saveTwice(t *testing.T, c *Comparison) (read func(name string) []byte) {
	t.Helper()
	dirs := []string{filepath.Join(t.TempDir(), "a", "b"), t.TempDir()}
	for _, dir := range dirs {
		if err := Save(dir, c); err != nil {
			t.Fatal(err)
		}
	}
	return func(name string) []byte {
		t.Helper()
		text, err := os.ReadFile(filepath.Join(dirs[0], name))
		if err != nil {
			t.Fatal(err)
		}
		other, err := os.ReadFile(filepath.Join(dirs[1], name))
		if err != nil || !bytes.Equal(text, other) {
			t.Errorf("%s differs between two folders, or reading it failed: error = %v", name, err)
		}
		return text
	}
}

func TestSaveWritesTablesChartsAndPage(t *testing.T) {
	c := comparison(t)
	read := saveTwice(t, c)
	for _, ch := range charts {
		img, err := png.Decode(bytes.NewReader(read(ch.Name + ".png")))
		if err != nil || img.Bounds().Dx() < 300 {
			t.Errorf("%s.png is no PNG image of 300 pixels or more: error = %v", ch.Name, err)
		}
		if !bytes.Contains(read(ch.Name+".svg"), []byte("<svg")) {
			t.Errorf("%s.svg is no SVG image", ch.Name)
		}
	}
	page := string(read("index.html"))
	for _, want := range []string{
		"A &lt;script&gt; &amp; B",
		"class quick-check",
		`src="differences.svg"`,
		"no difference shown",
		`href="day.yaml"`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("index.html does not contain %s", want)
		}
	}
	if rows := strings.Count(string(read("table.csv")), "\n"); rows != len(c.Outcome.Estimates)+1 {
		t.Errorf("table.csv has %d rows, want a header and %d metrics", rows, len(c.Outcome.Estimates))
	}
	read("table.txt")
	read("day.yaml")
}

func TestSaveWritesTheDays(t *testing.T) {
	c := comparison(t)
	read := saveTwice(t, c)
	var pairs []compare.Pair
	days := bufio.NewScanner(bytes.NewReader(read("days.jsonl")))
	days.Buffer(nil, 1<<20)
	for days.Scan() {
		var p compare.Pair
		if err := json.Unmarshal(days.Bytes(), &p); err != nil {
			t.Fatal(err)
		}
		pairs = append(pairs, p)
	}
	if diff := cmp.Diff(c.Outcome.Pairs, pairs); diff != "" {
		t.Errorf("days.jsonl (-want +got)\n%s", diff)
	}
	var back Comparison
	if err := json.Unmarshal(read("comparison.json"), &back); err != nil || back.Outcome.Days != 4 {
		t.Errorf("comparison.json = %+v, error = %v; want 4 days", back, err)
	}
}

func TestComparisonOfOneDayHasNoInterval(t *testing.T) {
	c := comparison(t)
	s := compare.Plan{Seed: 3, Days: 1}
	made := c.Outcome.Pairs[0]
	o, err := compare.Run(context.Background(), s, recordedPlayer{made, true}, recordedPlayer{made, false})
	if err != nil {
		t.Fatal(err)
	}
	c.Outcome = o
	if err := Save(t.TempDir(), c); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(Table(c).Render(), "- to -") || o.Verdict != compare.None {
		t.Errorf("verdict = %q, want none, and unbounded intervals in the table\n%s", o.Verdict, Table(c).Render())
	}
}

func TestTablesOfADay(t *testing.T) {
	c := comparison(t)
	if out := Days([]*fleet.Run{c.Outcome.Pairs[0].A}).Render(); !strings.Contains(out, "WORST STRETCH") {
		t.Error("table of days has no column WORST STRETCH:", out)
	}
	if out := Parts(c.Outcome.Pairs[0].A).Render(); !strings.Contains(out, "lindby-skola") ||
		!strings.Contains(out, "in_aim") {
		t.Error("table of a day has no rows of lindby-skola and in_aim:", out)
	}
}

// recordedPlayer is a Player that returns one side of a pair that was simulated before.
type recordedPlayer struct {
	pair  compare.Pair
	sideA bool
}

func (g recordedPlayer) Play(context.Context, uint64, uint64) (*fleet.Run, error) {
	if g.sideA {
		return g.pair.A, nil
	}
	return g.pair.B, nil
}
