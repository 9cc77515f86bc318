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

// A served request whose trace is not sampled is not accepted, and a flood of one status does not use up
// the rate limit of another.
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
			t.Errorf("%+v: %d requests were accepted", c, got)
		}
	}
}

// The file is bounded and holds complete lines. If the clock is set back while a request runs, its spans
// have no negative duration.
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
		t.Errorf("Lost() = %+v, %v, want none and no error", lost, err)
	}
	for _, path := range []string{opt.Path, opt.Path + ".1"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) == 0 || len(text) > 10_000 || text[len(text)-1] != '\n' ||
			strings.Contains(string(text), "T00:00:04") {
			t.Errorf("%s has %d bytes, want 1 to 10000, in lines without T00:00:04: %.600s", path, len(text), text)
		}
	}
}

// Spans are lost and counted while the file cannot be written, and written once it can be created again.
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
	long := []byte(strings.Repeat("x", 99) + "\n") // does not fit into the file, which is rotated
	if err := w.write(long); err == nil {
		t.Error("write() returned no error though the folder is missing")
	}
	if err := os.Rename(dir+"-away", dir); err != nil {
		t.Fatal(err)
	}
	if err := w.write(long); err != nil {
		t.Errorf("write() after the folder is back: %v", err)
	}
	if text, _ := os.ReadFile(opt.Path + ".1"); string(text) != "first\n" {
		t.Errorf("the rotated file holds %q, want the first line", text)
	}
	r, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	r.out.file.Close() // each write fails
	r.Record(rejected(), 0)
	r.Close(10 * time.Second)
	if lost, err := r.Lost(); lost != (Lost{Errors: 1}) || err == nil {
		t.Errorf("Lost() = %+v, %v, want 1 error", lost, err)
	}
}

// At most QueueSize requests wait for their spans to be written. The others are dropped and counted.
func TestQueueIsBounded(t *testing.T) {
	opt := options(t)
	r := &Recorder{opt: opt, sampler: NewSampler(1000), queue: make(chan sampledRequest, opt.QueueSize)}
	for range 100 {
		r.Record(rejected(), 0)
	}
	if lost, _ := r.Lost(); lost.Queue != 96 {
		t.Errorf("Lost() = %+v, want 96 of the queue", lost)
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
