package traffic

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ryepaddle/internal/testing/golden"
)

const storedFile = "testdata/stored.traffic"

func storedHeader() Header {
	return Header{
		Runner:    "n3",
		StartedAt: 1_764_576_000_000_000,
		Classes:   []string{"check", "hand-in"},
		Tenants:   []string{"north", "south"},
	}
}

func storedRequests() []Request {
	return []Request{
		{
			ArrivedAt: 1_764_576_000_000_100, Class: 1, Tenant: 1, Caller: 77, SizeKB: 1.5, Rank: 0.25,
			KeyHash: 1<<63 | 3, BodyHash: 1<<62 | 5, BodyBytes: 1_536,
		},
		{ArrivedAt: 1_764_576_000_250_000, Caller: 78, SizeKB: 0.125, BodyHash: 9, BodyBytes: 128},
		{
			ArrivedAt: 1_764_576_000_200_000, Class: 1, Caller: 79, SizeKB: 2, Rank: 3, KeyHash: 4, BodyHash: 10,
			BodyBytes: 2_048,
		},
		{ArrivedAt: 1_764_576_001_000_000, Tenant: 1, Caller: 77, SizeKB: 1, BodyHash: 11, BodyBytes: 1_024},
	}
}

// writeStored records the requests in blocks of three.
func writeStored(t *testing.T, path string) {
	t.Helper()
	opt := Options{MaxBytes: 1 << 20, QueueSize: 10, BlockSize: 3, FlushInterval: time.Hour}
	r, err := Create(path, storedHeader(), opt)
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range storedRequests() {
		r.Record(q)
	}
	if err := r.Close(time.Minute); err != nil {
		t.Fatal(err)
	}
}

// A stored recording of version 1 is read as it was written, and the same requests are recorded as the same
// bytes.
func TestReadsRecordingOfVersion1(t *testing.T) {
	again := filepath.Join(t.TempDir(), "again.traffic")
	writeStored(t, again)
	golden.Check(t, storedFile, golden.Read(t, again))
	got, err := Read(storedFile)
	if err != nil {
		t.Fatal(err)
	}
	want := &Recording{Header: storedHeader(), Requests: storedRequests(), OutOfOrder: 1}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Header{}, Request{}, Lost{})); diff != "" {
		t.Errorf("Read() (-want +got)\n%s", diff)
	}
}

// The trailer has the numbers of lost requests in a fixed order, as stored.
func TestTrailerKeepsItsBytes(t *testing.T) {
	got, err := appendFrame(nil, frameTrailer, Trailer{Requests: 4, Lost: Lost{Queue: 1, Bytes: 2, Errors: 300}})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "testdata/end.frame", got)
}
