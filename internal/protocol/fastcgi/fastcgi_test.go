package fastcgi

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzRead decodes a stream in pieces: the records must be the same as those of the whole stream.
func FuzzRead(f *testing.F) {
	f.Add(Append(AppendBegin(nil, 1, BeginRequestBody{Responder, true}), Stdin, 1, []byte("body")), uint8(3))
	f.Add(AppendEnd(Append(nil, 77, 9, bytes.Repeat([]byte("x"), 300)), 9, 1, Overloaded), uint8(200))
	f.Fuzz(func(t *testing.T, all []byte, step uint8) {
		whole, wholeErr := drain(all)
		var got []Record
		var err error
		var in []byte
		for at := 0; at < len(all) && err == nil; at += int(step) + 1 {
			in = append(in, all[at:min(at+int(step)+1, len(all))]...)
			var recs []Record
			recs, err = drain(in)
			for _, r := range recs {
				in = in[8+len(r.Content)+int(in[6]):]
			}
			got = append(got, recs...)
		}
		if diff := cmp.Diff(whole, got); diff != "" || !errors.Is(err, wholeErr) {
			t.Fatalf("errors %v and %v, (-whole +split)\n%s", wholeErr, err, diff)
		}
	})
}

// Content that exceeds one record is split over several without loss.
func TestLongContentIsSplit(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789"), 7000)
	recs, err := drain(Append(nil, Stdout, 3, long))
	var got []byte
	for _, r := range recs {
		got = append(got, r.Content...)
	}
	if err != nil || len(recs) != 2 || !bytes.Equal(got, long) {
		t.Fatalf("got %d records, %d bytes, error %v; want 2 records with all the content", len(recs), len(got), err)
	}
}

// drain decodes all complete records of b.
func drain(b []byte) (out []Record, err error) {
	for {
		r, n, err := Read(b, MaxRecord)
		if err != nil || n == 0 {
			return out, err
		}
		r.Content = append([]byte{}, r.Content...)
		out, b = append(out, r), b[n:]
	}
}

func TestPairsOfAnyLengthAreReadBack(t *testing.T) {
	long := strings.Repeat("v", 300)
	b := AppendPair(AppendPair(AppendPair(nil, "A", ""), "", "b"), long, long)
	var got []string
	if err := ReadPairs(b, func(n, v string) { got = append(got, n, v) }); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"A", "", "", "b", long, long}, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	for i := range b {
		if i == 3 || i == 6 || i == 0 { // between pairs
			continue
		}
		if ReadPairs(b[:i], func(string, string) {}) == nil {
			t.Errorf("ReadPairs of the first %d of %d bytes returned no error", i, len(b))
		}
	}
}
