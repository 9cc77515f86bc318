package tracing

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

func options(t testing.TB) Options {
	return Options{
		Path:         filepath.Join(t.TempDir(), "spans"),
		MaxBytes:     1 << 20,
		QueueSize:    4,
		MaxPerSecond: 10,
		Instance:     "n1",
		ClassName:    func(i int) string { return []string{"check", "hand-in"}[i] },
		StatusNames:  map[lifecycle.Status]string{lifecycle.Rejected: "refused"},
	}
}

func refused() *lifecycle.Trace {
	return &lifecycle.Trace{
		ID:           "x",
		Class:        1,
		Tenant:       -1,
		ArrivedAt:    5_000_000,
		AnsweredAt:   4_000_000,
		Status:       lifecycle.Rejected,
		Cause:        lifecycle.CauseNoServer,
		AttemptCount: 1,
		StartedAt:    5_000_000,
		Attempts: [4]lifecycle.AttemptTrace{
			{Server: "one", StartedAt: 5_000_000, Duration: -time.Second, Outcome: lifecycle.Unreachable},
		},
	}
}

// What is served and nobody chose is passed over, and a flood of one end leaves room for others.
func TestSampler(t *testing.T) {
	s := NewSampler(10)
	keep := func(kind lifecycle.Status, chosen bool, n int, now int64) (kept int) {
		for range n {
			if s.Sample(&lifecycle.Trace{Status: kind}, chosen, now) {
				kept++
			}
		}
		return kept
	}
	for _, c := range []struct {
		kind   lifecycle.Status
		chosen bool
		now    int64
		want   int
	}{{lifecycle.Served, false, 0, 0}, {lifecycle.Rejected, false, 0, 10}, {lifecycle.Failed, false, 0, 10}, {lifecycle.Served, true, 0, 10}, {lifecycle.Rejected, false, 500_000, 5}} {
		if got := keep(c.kind, c.chosen, 1000, c.now+1_000_000_000); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// The file is bounded, and whole lines stand in it. A clock that was set back makes no span of
// negative length.
func TestFileIsBounded(t *testing.T) {
	opt := options(t)
	opt.MaxBytes, opt.MaxPerSecond, opt.QueueSize = 10_000, 1000, 1000
	r, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		r.Record(refused(), 0)
	}
	r.Close(10 * time.Second)
	if lost, err := r.Lost(); lost != (Lost{}) || err != nil {
		t.Errorf("%+v, %v", lost, err)
	}
	for _, path := range []string{opt.Path, opt.Path + ".1"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) == 0 || len(text) > 10_000 || text[len(text)-1] != '\n' ||
			strings.Contains(string(text), "T00:00:04") {
			t.Errorf("%s: %d bytes: %.600s", path, len(text), text)
		}
	}
}

// A disk that fails costs spans, which are counted, and once it works again they go on.
func TestADiskThatFails(t *testing.T) {
	opt := options(t)
	w, err := openFile(opt.Path, 100)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.write([]byte("first\n")); err != nil {
		t.Fatal(err)
	}
	dir := filepath.Dir(opt.Path)
	if err := os.Rename(dir, dir+"-away"); err != nil {
		t.Fatal(err)
	}
	long := []byte(strings.Repeat("x", 99) + "\n") // it has to begin anew
	if err := w.write(long); err == nil {
		t.Error("written to nowhere")
	}
	if err := os.Rename(dir+"-away", dir); err != nil {
		t.Fatal(err)
	}
	if err := w.write(long); err != nil {
		t.Error(err)
	}
	if text, _ := os.ReadFile(opt.Path + ".1"); string(text) != "first\n" {
		t.Errorf("%q", text)
	}
	r, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	r.out.f.Close() // whatever is written fails
	r.Record(refused(), 0)
	r.Close(10 * time.Second)
	if lost, err := r.Lost(); lost != (Lost{Errors: 1}) || err == nil {
		t.Errorf("%+v, %v", lost, err)
	}
}

// What nobody writes does not pile up.
func TestQueueIsBounded(t *testing.T) {
	opt := options(t)
	r := &Recorder{opt: opt, sampler: NewSampler(1000), queue: make(chan entry, opt.QueueSize)}
	for range 100 {
		r.Record(refused(), 0)
	}
	if lost, _ := r.Lost(); lost.Queue != 96 {
		t.Errorf("%+v", lost)
	}
}

func BenchmarkAdd(b *testing.B) {
	for name, share := range map[string]float64{"passed over": 0, "written": 1} {
		b.Run(name, func(b *testing.B) {
			opt := options(b)
			opt.SampleRatio, opt.MaxPerSecond, opt.QueueSize, opt.MaxBytes = share, 1_000_000_000, 1024, 64<<20
			r, err := Start(opt)
			if err != nil {
				b.Fatal(err)
			}
			t := refused()
			t.Status, t.AttemptCount = lifecycle.Served, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t.ArrivedAt = wallclock.UnixMicro(int64(i))
				r.Record(t, int64(t.ArrivedAt))
			}
			lost, _ := r.Lost()
			b.ReportMetric(float64(lost.Queue)/float64(b.N), "lost/op")
			r.Close(time.Minute)
		})
	}
}
