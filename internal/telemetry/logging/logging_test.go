package logging

import (
	"bytes"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	eventBad = Define("test.bad", slog.LevelWarn, "peer", "state")
	// eventPlain is logged only by TestLinesHaveTheFormat, which has a synctest clock of its own.
	eventPlain = Define("test.plain", slog.LevelWarn, "peer", "state")
	eventQuiet = Define("test.quiet", slog.LevelDebug)
)

type state int

func (state) String() string { return "in service" }

func logged(t *testing.T, format string, do func()) string {
	// An earlier test may have had a clock that was ahead of this one.
	for _, e := range []*Event{eventBad, eventPlain} {
		e.since, e.count, e.suppressed = time.Time{}, 0, 0
	}
	var out bytes.Buffer
	setOutput(newHandler(&out, format))
	defer setOutput(newHandler(os.Stderr, FormatText))
	do()
	return out.String()
}

// A client that repeats a bad request as soon as it is rejected does not flood the log: lines beyond the
// rate limit of an event are suppressed, and their number is logged once.
func TestFloodOfLinesIsSuppressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := logged(t, FormatText, func() {
			for range 100 {
				eventBad.Log(1, 2)
			}
			time.Sleep(time.Second)
			for range 15 {
				eventBad.Log(1, 2)
			}
			ReportSuppressed()
			ReportSuppressed()
		})
		if n := strings.Count(out, "event=test.bad peer=1 state=2\n"); n != 20 {
			t.Errorf("%d lines of test.bad, want 20", n)
		}
		for _, want := range []string{
			"event=log.suppressed of=test.bad lines=90\n",
			"event=log.suppressed of=test.bad lines=5\n",
		} {
			if strings.Count(out, want) != 1 {
				t.Errorf("want %q once in the log:\n%s", want, out)
			}
		}
	})
}

func TestLinesHaveTheFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for format, want := range map[string]string{
			FormatText: "time=2000-01-01T00:00:00.000Z level=WARN event=test.plain peer=127.0.0.1:80 " +
				"state=\"in service\"\n",
			FormatJSON: `{"time":"2000-01-01T00:00:00Z","level":"WARN","event":"test.plain",` +
				`"peer":"127.0.0.1:80","state":"in service"}` + "\n",
		} {
			got := logged(
				t,
				format,
				func() { eventPlain.Log(netip.MustParseAddrPort("127.0.0.1:80"), state(1)) },
			)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("log line (-want +got)\n%s", diff)
			}
		}
	})
	if got := eventBad.FormatLine("x", state(1)); got != "test.bad peer=x state=in service" {
		t.Errorf("FormatLine() = %q, want the name and both fields", got)
	}
}

func TestLevelsAreSetByArea(t *testing.T) {
	defer SetLevels(map[string]slog.Level{"all": slog.LevelInfo})
	for _, c := range []struct {
		words, err string
		bad, quiet bool
	}{
		{"", "", true, false},
		{"test=debug", "", true, true},
		{"test=error nowhere=debug", "unknown area", true, true}, // all or nothing
		{"test=loud", "want AREA=LEVEL", true, true},
		{"all=error", "", false, false},
		{"all=error test=warn", "", true, false},
	} {
		l, err := ParseLevels(strings.Fields(c.words))
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("ParseLevels(%q) = %v, want the error %q (empty: none)", c.words, err, c.err)
		}
		SetLevels(l)
		if eventBad.Enabled() != c.bad || eventQuiet.Enabled() != c.quiet {
			t.Errorf("levels after %q = %v, want test.bad enabled %t and test.quiet enabled %t",
				c.words, Levels(), c.bad, c.quiet)
		}
	}
}

// A reader of the log that does not read does not block the program.
func TestWriterDoesNotWaitForItsReader(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer r.Close()
	l := newWriter(w, newHandler(w, FormatText))
	done := make(chan struct{})
	go func() {
		for range 10 * maxQueuedLines {
			l.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write() waits for a reader that does not read")
	}
	if n := len(l.lines); n < maxQueuedLines-1 { // run may have taken one
		t.Errorf("%d lines are queued though nothing was read, want at least maxQueuedLines - 1", n)
	}
	// Once the reader reads, it is told how many lines were dropped.
	go l.Close()
	text, buf := "", make([]byte, 1000)
	for !strings.Contains(text, "event=log.dropped lines=") {
		n, err := r.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		text += string(buf[:n])
	}
}
