package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/admission"
)

// frame returns a batch of records, which are padded to their size, and a tail.
func frame(tail string, records ...[]byte) []byte {
	out := make([]byte, batchHeaderSize)
	for _, r := range records {
		full := make([]byte, eventSize)
		copy(full, r)
		out = append(out, full...)
	}
	out = append(out, tail...)
	littleEndian.PutUint32(out[0:], uint32(len(out)-batchHeaderSize))
	littleEndian.PutUint32(out[4:], uint32(len(records)))
	littleEndian.PutUint64(out[8:], 5_000_000)
	return out
}

// unhex decodes hexadecimal digits and ignores spaces.
func unhex(s string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		panic(err)
	}
	return b
}

// names returns the order of the gauges, which is the same for all instances.
func names(uint32) []Gauge {
	return []Gauge{gaugeCPU, gaugeRunnable, gaugeMemory, gaugeConnections}
}

// The records are the examples from the description of the wire format.
func TestRecordDecodesEvents(t *testing.T) {
	b, _, err := ReadBatch(bytes.NewReader(frame(
		"",
		unhex(
			"0200 03000000 c4913a5de2f60b00 00 00000000 640ad2557c3bf091 da05840000000000 e02e0000 0000c441"+
				"0000203f 01 11000000 3a070000 192b6f0ed2580a00",
		),
		unhex("0800 03000000 4d00000000000000 04 52b81e3f 00004040 85ebd13e 0000f042"),
		unhex("0300 03000000 c4913a5de2f60b00 c800 44480000"),
		unhex("0700 05000000 192b6f0ed2580a00"),
	)), nil)
	if err != nil || b.Now != 5*time.Second || b.Len() != 4 {
		t.Fatalf("ReadBatch: time %v, %d records, error %v; want 5s, 4, nil", b.Now, b.Len(), err)
	}
	arrival, err := b.Record(0, names)
	want := Record{Instance: 3, Event: admission.Event{
		Kind:          admission.EventRequest,
		Request:       0xbf6e25d3a91c4,
		Caller:        17,
		Deadline:      8652250 * time.Microsecond,
		ExpectedWork:  12 * time.Millisecond,
		SizeKB:        24.5,
		Rank:          0.625,
		SubjectKey:    0x91f03b7c55d20a64,
		QueueingDelay: 1850 * time.Microsecond,
		PriorRequest:  0xa58d20e6f2b19,
	}}
	if diff := cmp.Diff(want, arrival); err != nil || diff != "" {
		t.Fatalf("record 0: error %v (-want +got)\n%s", err, diff)
	}
	timer, err := b.Record(1, names)
	if g := timer.Event.Gauges; err != nil || g.Runnable != 3 || g.Connections != 120 ||
		timer.Event.Token != 77 {
		t.Fatalf("record 1 = %+v, %v; want a timer with token 77, 3 runnable, 120 connections", timer, err)
	}
	completed, err := b.Record(2, names)
	if e := completed.Event; err != nil || e.Outcome != admission.OutcomeOK || e.Elapsed != 18500*time.Microsecond {
		t.Fatalf("record 2 = %+v, %v; want outcome OK after 18.5ms", completed, err)
	}
	abandoned, err := b.Record(3, names)
	if err != nil || abandoned.Event.Kind != admission.EventAbandoned || abandoned.Instance != 5 {
		t.Fatalf("record 3 = %+v, %v; want EventAbandoned of instance 5", abandoned, err)
	}
}

func TestInvalidFramesAreReported(t *testing.T) {
	good := frame("", unhex("0700 05000000"))
	long := append([]byte(nil), good...)
	littleEndian.PutUint32(long[4:], 9)
	for name, in := range map[string][]byte{"short header": good[:7], "short records": good[:40], "large count": long} {
		_, _, err := ReadBatch(bytes.NewReader(in), nil)
		var invalid *FrameError
		if !errors.As(err, &invalid) || errors.Is(err, io.EOF) {
			t.Errorf("%s: error = %v, want a FrameError that is not io.EOF", name, err)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: error = %v, want io.EOF", err)
	}
	for name, r := range map[string]string{
		"unknown code":              "6300 05000000",
		"settings outside the tail": "0100 05000000 0000000000000000 02000000 ffffffff",
		"gauges outside the record": "0800 05000000 0000000000000000 ff",
	} {
		b, _, err := ReadBatch(bytes.NewReader(frame("xyz", unhex(r))), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = b.Record(0, names)
		var invalid *FrameError
		if !errors.As(err, &invalid) || !strings.Contains(err.Error(), "record 0") {
			t.Errorf("%s: error = %v, want a FrameError of record 0", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(
		frame("abc", unhex("0100 05000000 0000000000000000 00000000 03000000"), unhex("0800 05000000 00 04")),
	)
	f.Fuzz(func(t *testing.T, in []byte) {
		b, _, err := ReadBatch(bytes.NewReader(in), nil)
		if err != nil {
			return
		}
		for i := range b.Len() {
			if rec, err := b.Record(i, names); err == nil && rec.Start {
				_, _, _ = ParseSettings(rec.Settings)
			}
		}
	})
}
