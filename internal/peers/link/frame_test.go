package link

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/framing"
	"ryepaddle/internal/peers/replication"
)

// sampleFrame returns a message with a record.
func sampleFrame() *Frame {
	return &Frame{
		Replication: &replication.Message{
			Type:  replication.MsgAppend,
			From:  "n2",
			To:    "n1",
			Slot:  3,
			Epoch: 7,
			Entries: []replication.Entry{{Seq: 9, Remaining: 5,
				Record: &store.Record{
					Kind:   store.RunEnded,
					Name:   store.KeyName{Class: "hand-in", Key: "a"},
					Result: &store.Result{Status: 200, Body: []byte("fine")},
				}}},
		},
	}
}

// A frame is decoded as it was encoded, and truncated data is incomplete at every length. A frame with a
// changed byte is rejected or incomplete.
func TestFrameIsReadAsItWasWritten(t *testing.T) {
	b, err := AppendFrame(nil, sampleFrame())
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(b) {
		if f, used, err := ReadFrame(b[:cut]); f != nil || used != 0 || err != nil {
			t.Fatalf("ReadFrame of %d bytes: %d used, error %v, want an incomplete frame", cut, used, err)
		}
		bad := append([]byte(nil), b...)
		bad[cut] ^= 0x40
		if f, _, err := ReadFrame(bad); f != nil && err == nil {
			t.Fatalf("ReadFrame accepted a frame with byte %d changed", cut)
		}
	}
	f, used, err := ReadFrame(append(b, b...))
	if err != nil || used != len(b) {
		t.Fatalf("ReadFrame of two frames: %d bytes used, error %v, want the first frame", used, err)
	}
	if diff := cmp.Diff(sampleFrame(), f); diff != "" {
		t.Error(diff)
	}
}

func FuzzReadFrame(f *testing.F) {
	b, err := AppendFrame(nil, sampleFrame())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if g, used, err := ReadFrame(b); err == nil && g != nil && (used < framing.HeaderSize || used > len(b)) {
			t.Errorf("ReadFrame used %d of %d bytes, want a whole frame within the data", used, len(b))
		}
	})
}
