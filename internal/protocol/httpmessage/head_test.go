package httpmessage

import (
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// reading is the result of reading a response.
type reading struct {
	Head *Head
	Body []byte
	Done bool
	Left int // bytes that were not used
	Err  string
}

// read reads a response that arrives in pieces of the given sizes, the last of which is repeated.
func read(text []byte, headOnly bool, sizes ...int) reading {
	r, got, have := NewResponseReader(headOnly), reading{Body: []byte{}}, []byte{}
	for i := 0; ; {
		end := len(text) == 0
		for {
			ev, n, err := r.Next(have, end)
			if err != nil {
				return reading{Err: kind(err)} // the parts that were read before are dropped
			}
			have = have[n:]
			got.Body = append(got.Body, ev.Data...)
			if ev.Head != nil {
				got.Head = ev.Head
				continue
			}
			if ev.Done {
				got.Done, got.Left = true, len(have)+len(text)
				return got
			}
			if n == 0 {
				break
			}
		}
		if end {
			return got
		}
		n := min(max(sizes[min(i, len(sizes)-1)], 1), len(text))
		have, text = append(have[:len(have):len(have)], text[:n]...), text[n:]
		i++
	}
}

// kind returns "cut" for a truncated response, and "bad" for any other error.
func kind(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "cut"
	}
	return "bad"
}

var seeds = []string{
	"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\n\r\nbodyextra",
	"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\r\nbo\r\n2;x\r\ndy\r\n0\r\nT: z\r\n\r\nextra",
	"HTTP/1.1 100 Go\r\n\r\nStatus: 404 None\nA: b\n\nall of it",
	"Location: /x\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\nextra",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
}

// FuzzAnySplit checks that the result of reading a response does not depend on how its input is
// split.
func FuzzAnySplit(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s), 3, 7, false)
	}
	f.Fuzz(func(t *testing.T, text []byte, a, b int, headOnly bool) {
		if len(text) > 4096 {
			return
		}
		whole := read(text, headOnly, len(text)+1)
		for _, sizes := range [][]int{{1}, {a % 64, b % 64}, {b % 64, 1}} {
			if diff := cmp.Diff(whole, read(text, headOnly, sizes...), cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("in pieces of %v (-whole +pieces)\n%s", sizes, diff)
			}
		}
		if whole.Done && whole.Head == nil {
			t.Fatal("the response is reported complete, but has no head")
		}
	})
}

// A response that states its length or is chunked is never reported complete when it is truncated,
// at whichever byte.
func TestTruncatedResponsesAreUnexpectedEOF(t *testing.T) {
	for _, s := range seeds[:2] {
		text := []byte(s[:len(s)-len("extra")])
		if r := read(text, false, len(text)); !r.Done || string(r.Body) != "body" || r.Left != 0 {
			t.Fatalf("reading the complete response gave %+v", r)
		}
		for n := range text {
			if r := read(text[:n], false, 1); r.Done || r.Err != "cut" {
				t.Errorf("response truncated after %d of %d bytes: got %+v, want io.ErrUnexpectedEOF", n, len(text), r)
			}
		}
	}
}

func TestChunkSizesAreHexadecimal(t *testing.T) {
	for text, want := range map[string]int64{
		"0":                0,
		"a":                10,
		"fF":               255,
		"10 ":              16,
		"10;a=b":           16,
		"fffffffffffffff":  1<<60 - 1,
		"":                 -1,
		"-1":               -1,
		"+1":               -1,
		"0x1":              -1,
		"1 1":              -1,
		"ffffffffffffffff": -1,
		" 1":               -1,
		"1;\x00":           -1,
	} {
		n, err := chunkSize([]byte(text))
		if (err != nil) != (want < 0) || err == nil && n != want {
			t.Errorf("chunkSize(%q) = %d, %v", text, n, err)
		}
	}
}

func TestAppendedChunksAreReadBack(t *testing.T) {
	b := AppendChunk(AppendChunk(AppendChunk(nil, []byte("hello, ")), make([]byte, 300)), nil)
	r, got := ChunkedBody(), []byte{}
	for {
		data, n, done, err := r.Next(b, false)
		if err != nil {
			t.Fatal(err)
		}
		got, b = append(got, data...), b[n:]
		if done {
			break
		}
	}
	if len(got) != 307 || string(got[:7]) != "hello, " {
		t.Errorf("read back %d bytes, want 307 that begin with hello", len(got))
	}
}
