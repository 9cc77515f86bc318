package traffic

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ryepaddle/internal/wallclock"
)

var header = Header{
	Runner:    "n3",
	StartedAt: 1_764_576_000_000_000,
	Classes:   []string{"check", "hand-in"},
	Tenants:   []string{"a", "b"},
}

// disk is a File in memory, whose writes fail or wait as a test sets it.
type disk struct {
	mu     sync.Mutex
	text   []byte
	room   int           // capacity in bytes; -1: unlimited
	gate   chan struct{} // writes wait until it is closed, once there are 100 bytes; nil: they do not
	closed bool
}

func (d *disk) Write(p []byte) (int, error) {
	if d.gate != nil && len(d.text) > 100 {
		<-d.gate
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(p)
	if d.room >= 0 {
		n = min(n, d.room-len(d.text))
	}
	if d.text = append(d.text, p[:n]...); n < len(p) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (d *disk) Truncate(size int64) error {
	d.mu.Lock()
	d.text = d.text[:size]
	d.mu.Unlock()
	return nil
}
func (d *disk) Seek(at int64, _ int) (int64, error) { return at, nil }
func (d *disk) Close() error                        { d.closed = true; return nil }
func (d *disk) setRoom(n int)                       { d.mu.Lock(); d.room = n; d.mu.Unlock() }

func request(i int) Request {
	return Request{
		ArrivedAt: header.StartedAt + wallclock.UnixMicro(i)*1000,
		Class:     uint16(i % 2),
		Tenant:    uint16(i / 2 % 2),
		Caller:    uint32(i),
		SizeKB:    24.5,
		Rank:      0.25,
		KeyHash:   uint64(i % 2 * i),
		BodyHash:  uint64(i) * 7,
		BodyBytes: 100,
	}
}

func recordRequests(t testing.TB, d *disk, n int, opt Options) *Recorder {
	t.Helper()
	if opt.MaxBytes == 0 {
		opt.MaxBytes = 1 << 20
	}
	if opt.QueueSize == 0 {
		opt.QueueSize = n + 1
	}
	r, err := NewRecorder(d, header, opt)
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		r.Record(request(i))
	}
	if err := r.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	return r
}

func decode(t testing.TB, text []byte) *Recording {
	t.Helper()
	rec, err := Decode(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

func drawRequest(t *rapid.T) Request {
	return Request{
		ArrivedAt: wallclock.UnixMicro(rapid.Int64Range(0, math.MaxInt64/4).Draw(t, "at")),
		Class:     uint16(rapid.IntRange(0, 1).Draw(t, "class")),
		Tenant:    uint16(rapid.IntRange(0, 1).Draw(t, "tenant")),
		Caller:    rapid.Uint32().Draw(t, "caller"),
		SizeKB:    rapid.Float32Range(0, 2000).Draw(t, "size"),
		Rank:      rapid.Float32Range(0, 1).Draw(t, "rank"),
		KeyHash:   rapid.Uint64().Draw(t, "key"),
		BodyHash:  rapid.Uint64().Draw(t, "body"),
		BodyBytes: rapid.Uint32().Draw(t, "len"),
	}
}

// Any requests are read as they were recorded, with blocks of any size.
func TestRecordedRequestsAreReadAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []Request
		for range rapid.IntRange(0, 60).Draw(t, "n") {
			want = append(want, drawRequest(t))
		}
		d := &disk{room: -1}
		r, err := NewRecorder(
			d,
			header,
			Options{MaxBytes: 1 << 20, QueueSize: 100, BlockSize: rapid.IntRange(1, 40).Draw(t, "block")},
		)
		if err != nil {
			t.Fatal(err)
		}
		for _, q := range want {
			r.Record(q)
		}
		if err := r.Close(10 * time.Second); err != nil || !d.closed {
			t.Fatalf("Close() = %v, file closed: %t, want nil and true", err, d.closed)
		}
		rec, err := Decode(bytes.NewReader(d.text))
		if err != nil || rec.Truncation != nil || rec.Lost.Any() {
			t.Fatal("Decode(): error, truncation and lost requests:", err, rec.Truncation, rec.Lost)
		}
		if diff := cmp.Diff(want, rec.Requests, cmp.AllowUnexported(Request{})); diff != "" {
			t.Fatalf("requests (-want +got)\n%s", diff)
		}
		if rec.Runner != "n3" || rec.StartedAt != header.StartedAt {
			t.Fatalf("header = %+v, want the one that was recorded", rec.Header)
		}
	})
}

// Of a file that is truncated at any byte, the complete blocks are read and the truncation is reported.
func TestTruncatedFileGivesCompleteBlocks(t *testing.T) {
	d := &disk{room: -1}
	recordRequests(t, d, 50, Options{BlockSize: 10})
	complete := decode(t, d.text)
	for n := range len(d.text) {
		rec, err := Decode(bytes.NewReader(d.text[:n]))
		if err != nil {
			if !errors.Is(err, ErrNotRecording) || n > 200 {
				t.Fatalf("truncated at %d: Decode() = %v, want an error only within the header", n, err)
			}
			continue
		}
		if rec.Truncation == nil || len(rec.Requests)%10 != 0 {
			t.Fatalf("truncated at %d: %d requests, Truncation = %v, want complete blocks and an error",
				n, len(rec.Requests), rec.Truncation)
		}
		diff := cmp.Diff(complete.Requests[:len(rec.Requests)], rec.Requests, cmp.AllowUnexported(Request{}))
		if diff != "" && len(rec.Requests) > 0 {
			t.Fatalf("truncated at %d (-want +got)\n%s", n, diff)
		}
	}
	if complete.Truncation != nil || len(complete.Requests) != 50 {
		t.Fatalf("whole file: %d requests, Truncation = %v, want 50 and nil",
			len(complete.Requests), complete.Truncation)
	}
}

// A flipped bit is recognized at any byte, and never changes a request that is read.
func TestDamageIsRecognizedAnywhere(t *testing.T) {
	d := &disk{room: -1}
	recordRequests(t, d, 30, Options{BlockSize: 10})
	complete := decode(t, d.text)
	for i := range d.text {
		damaged := bytes.Clone(d.text)
		damaged[i] ^= 0x10
		rec, err := Decode(bytes.NewReader(damaged))
		if err != nil {
			continue
		}
		if rec.Truncation == nil {
			t.Fatalf("byte %d: the damage is not recognized", i)
		}
		for k, q := range rec.Requests {
			if q != complete.Requests[k] {
				t.Fatalf("byte %d: the damage changes request %d to %+v", i, k, q)
			}
		}
	}
}

func TestOtherFilesAreRejected(t *testing.T) {
	newer := append([]byte(magic), 9, 0)
	for _, c := range []struct {
		name string
		text []byte
		want error
	}{
		{"empty", nil, ErrNotRecording},
		{"text", []byte("name,address\na,b\n"), ErrNotRecording},
		{"newer", newer, ErrNewerVersion},
		{"no header", append([]byte(magic), 1, 0), ErrNotRecording},
	} {
		if _, err := Decode(bytes.NewReader(c.text)); !errors.Is(err, c.want) {
			t.Errorf("%s: Decode() = %v, want %v", c.name, err, c.want)
		}
	}
	huge, err := appendStart(nil, header)
	if err != nil {
		t.Fatal(err)
	}
	huge = binary.LittleEndian.AppendUint32(append(huge, frameBlock), 3<<30)
	huge = append(huge, make([]byte, 20)...)
	if rec := decode(t, huge); rec.Truncation == nil ||
		!strings.Contains(rec.Truncation.Error(), "a frame of 3221225472 bytes") {
		t.Errorf("a frame of 3 GiB: Truncation = %v, want its length", rec.Truncation)
	}
	unknownClass, err := appendBlock(append([]byte{}, huge[:len(huge)-25]...), []Request{{Class: 7}})
	if err != nil {
		t.Fatal(err)
	}
	if rec := decode(t, unknownClass); rec.Truncation == nil || !strings.Contains(rec.Truncation.Error(), "class 7") {
		t.Errorf("an unknown class: Truncation = %v, want its number", rec.Truncation)
	}
}

// With a slow disk records are lost, and counted, but no request is delayed.
func TestSlowDiskDelaysNothing(t *testing.T) {
	d := &disk{room: -1, gate: make(chan struct{})}
	r, err := NewRecorder(d, header, Options{MaxBytes: 1 << 20, QueueSize: 50, BlockSize: 10})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		r.Record(request(i)) // would hang here if it waited
	}
	lost := r.Lost().Queue
	if lost < 900 || lost > 950 {
		t.Errorf("%d of 1000 requests are lost, want 900 to 950 with a queue of 50 and blocks of 10", lost)
	}
	if err := r.Close(time.Millisecond); err == nil {
		t.Error("Close() returned no error while the disk hangs")
	}
	close(d.gate)
	if err := r.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	if rec := decode(t, d.text); rec.Truncation != nil || rec.Lost.Queue != lost ||
		int64(len(rec.Requests)) != 1000-lost {
		t.Errorf("%d requests, lost %+v, Truncation = %v, want all 1000 read or lost",
			len(rec.Requests), rec.Lost, rec.Truncation)
	}
}

// With a full disk records are lost and counted. Once there is room again recording goes on, and the file
// holds complete blocks only.
func TestFullDiskCostsRecordsThatAreCounted(t *testing.T) {
	d := &disk{room: 400}
	r, err := NewRecorder(d, header, Options{MaxBytes: 1 << 20, QueueSize: 1000, BlockSize: 10})
	if err != nil {
		t.Fatal(err)
	}
	record := func(from, to int) {
		for i := from; i < to; i++ {
			r.Record(request(i))
		}
	}
	record(0, 100)
	for deadline := time.Now().Add(10 * time.Second); r.Lost().Errors == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("nothing is lost on a full disk")
		}
	}
	for len(r.queue) > 0 {
		time.Sleep(time.Millisecond)
	}
	d.setRoom(-1)
	record(100, 200)
	if err := r.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	rec := decode(t, d.text)
	lost := r.Lost().Errors
	if rec.Truncation != nil || lost < 10 || lost > 110 || int64(len(rec.Requests)) != 200-lost ||
		rec.Lost.Errors != lost {
		t.Errorf("%d requests, lost %+v, Truncation = %v, want all 200 read or lost",
			len(rec.Requests), rec.Lost, rec.Truncation)
	}
	if last := rec.Requests[len(rec.Requests)-1]; last != request(199) {
		t.Errorf("last request = %+v, want the one that was recorded last", last)
	}
}

func TestFileIsBounded(t *testing.T) {
	d := &disk{room: -1}
	r := recordRequests(t, d, 5000, Options{MaxBytes: 4000, BlockSize: 10})
	rec := decode(t, d.text)
	if len(d.text) > 4000 || rec.Truncation != nil || r.Lost().Bytes == 0 ||
		int64(len(rec.Requests))+r.Lost().Bytes != 5000 {
		t.Errorf("%d bytes, %d requests, lost %+v, Truncation = %v, want at most 4000 bytes and all 5000 read or lost",
			len(d.text), len(rec.Requests), r.Lost(), rec.Truncation)
	}
	if _, err := NewRecorder(&disk{room: -1}, header, Options{MaxBytes: 100}); err == nil {
		t.Error("NewRecorder() returned no error for a file without room")
	}
}

func TestCreateKeepsAnExistingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traffic")
	if err := os.WriteFile(path, []byte("dear"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Create(path, header, Options{MaxBytes: 1 << 20}); !errors.Is(err, os.ErrExist) {
		t.Errorf("Create() = %v, want os.ErrExist", err)
	}
	if text, _ := os.ReadFile(path); string(text) != "dear" {
		t.Errorf("the file that existed holds %q, want it unchanged", text)
	}
}

func TestRetriesAreLeftOut(t *testing.T) {
	const s = 1_000_000 // in microseconds
	rec := &Recording{Header: header, Requests: []Request{
		{ArrivedAt: 5 * s, Class: 0, Caller: 1, BodyHash: 70},  // the clock was set back after this one
		{ArrivedAt: 1 * s, Class: 0, Caller: 1, BodyHash: 10},  //
		{ArrivedAt: 2 * s, Class: 0, Caller: 1, BodyHash: 10},  // again
		{ArrivedAt: 2 * s, Class: 0, Caller: 2, BodyHash: 10},  // of another caller
		{ArrivedAt: 3 * s, Class: 1, Caller: 1, KeyHash: 9},    //
		{ArrivedAt: 4 * s, Class: 1, Caller: 2, KeyHash: 9},    // again, through another balancer
		{ArrivedAt: 20 * s, Class: 0, Caller: 1, BodyHash: 10}, // long after
		{ArrivedAt: 21 * s, Class: 0, Caller: 1},               // no body to compare
		{ArrivedAt: 22 * s, Class: 0, Caller: 1},
	}}
	first, retries := rec.WithoutRetries(func(int) time.Duration { return 9 * time.Second })
	var at []string
	for _, q := range first {
		at = append(at, fmt.Sprint(q.ArrivedAt/s))
	}
	if got := strings.Join(at, " "); got != "1 2 3 5 20 21 22" || retries != 2 {
		t.Errorf("requests at %s s and %d retries, want 1 2 3 5 20 21 22 and 2", got, retries)
	}
}

// Decode does not panic on any bytes, and the requests that it returns have classes and tenants of the header.
func FuzzDecode(f *testing.F) {
	d := &disk{room: -1}
	recordRequests(f, d, 20, Options{BlockSize: 7})
	f.Add(d.text)
	f.Add(d.text[:len(d.text)/2])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, text []byte) {
		rec, err := Decode(bytes.NewReader(text))
		if err != nil {
			return
		}
		for _, q := range rec.Requests {
			if int(q.Class) >= len(rec.Classes) || int(q.Tenant) >= len(rec.Tenants) {
				t.Fatalf("a request has a class or tenant that the header lacks: %+v", q)
			}
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	r, err := NewRecorder(&disk{room: -1}, header, Options{MaxBytes: 1 << 40, QueueSize: 4096})
	if err != nil {
		b.Fatal(err)
	}
	q := request(1)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(q)
	}
	r.Close(time.Minute)
}
