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

func rejected() *lifecycle.Trace {
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

// A request that was served and whose trace is not sampled is passed over, and a flood of one status
// leaves room for others.
func TestSamplerLimitsEachStatus(t *testing.T) {
	s := NewSampler(10)
	keep := func(status lifecycle.Status, sampled bool, n int, now wallclock.UnixMicro) (kept int) {
		for range n {
			if s.Sample(&lifecycle.Trace{Status: status}, sampled, now) {
				kept++
			}
		}
		return kept
	}
	for _, c := range []struct {
		status  lifecycle.Status
		sampled bool
		now     wallclock.UnixMicro
		want    int
	}{
		{lifecycle.Served, false, 0, 0},
		{lifecycle.Rejected, false, 0, 10},
		{lifecycle.Failed, false, 0, 10},
		{lifecycle.Served, true, 0, 10},
		{lifecycle.Rejected, false, 500_000, 5},
	} {
		if got := keep(c.status, c.sampled, 1000, c.now+1_000_000_000); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// The file is bounded and holds complete lines. A clock that was set back makes no span of
// negative length.
func TestFileIsBounded(t *testing.T) {
	opt := options(t)
	opt.MaxBytes, opt.MaxPerSecond, opt.QueueSize = 10_000, 1000, 1000
	r, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		r.Record(rejected(), 0)
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

// A disk that fails costs spans, which are counted; once it works again spans are written.
func TestFailingDiskCostsSpansThatAreCounted(t *testing.T) {
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
	long := []byte(strings.Repeat("x", 99) + "\n") // a new file has to begin
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
	r.out.file.Close() // each write fails
	r.Record(rejected(), 0)
	r.Close(10 * time.Second)
	if lost, err := r.Lost(); lost != (Lost{Errors: 1}) || err == nil {
		t.Errorf("%+v, %v", lost, err)
	}
}

// Requests whose spans are not written are bounded.
func TestQueueIsBounded(t *testing.T) {
	opt := options(t)
	r := &Recorder{opt: opt, sampler: NewSampler(1000), queue: make(chan sampledRequest, opt.QueueSize)}
	for range 100 {
		r.Record(rejected(), 0)
	}
	if lost, _ := r.Lost(); lost.Queue != 96 {
		t.Errorf("%+v", lost)
	}
}

func BenchmarkRecord(b *testing.B) {
	for name, ratio := range map[string]float64{"passed over": 0, "written": 1} {
		b.Run(name, func(b *testing.B) {
			opt := options(b)
			opt.SampleRatio, opt.MaxPerSecond, opt.QueueSize, opt.MaxBytes = ratio, 1_000_000_000, 1024, 64<<20
			r, err := Start(opt)
			if err != nil {
				b.Fatal(err)
			}
			t := rejected()
			t.Status, t.AttemptCount = lifecycle.Served, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t.ArrivedAt = wallclock.UnixMicro(i)
				r.Record(t, t.ArrivedAt)
			}
			lost, _ := r.Lost()
			b.ReportMetric(float64(lost.Queue)/float64(b.N), "lost/op")
			r.Close(time.Minute)
		})
	}
}
