package logs

import (
	"bytes"
	"io"
	"log"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A bad client that sent the same again as soon as it was turned away wrote 4,800 lines in 25 s.
func TestFloodOfLinesIsCutShort(t *testing.T) {
	var out bytes.Buffer
	log.SetOutput(&out)
	log.SetFlags(0)
	defer log.SetOutput(os.Stderr)
	now := int64(1_000_000)
	l := Limit{Now: func() int64 { return now }}
	for range 100 {
		l.Printf("bad")
	}
	now += 1_000_000
	l.Printf("bad")
	want := strings.Repeat("bad\n", 10) + "log: 90 more lines like the last\nbad\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error("(-want +got)\n" + diff)
	}
}

// A reader of the log that stood still stopped the loop with it.
func TestWriterDoesNotWaitForItsReader(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer r.Close()
	l := NewWriter(w)
	done := make(chan struct{})
	go func() {
		for range 10 * backlog {
			l.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing waits")
	}
	if len(l.lines) != backlog {
		t.Errorf("%d lines wait, and nothing was read", len(l.lines))
	}
}
