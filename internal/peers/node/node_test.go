package node

import (
	"testing"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/fault"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/link"
	"ryepaddle/internal/peers/wal"
)

// A node that fails to start must unlock its folder: otherwise another start with a corrected
// configuration would fail.
func TestNodeThatDoesNotStartUnlocksItsFolder(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	dir := t.TempDir()
	_, err = Start(loop, Config{
		Links:   link.Config{Installation: "x", Name: "n1"},
		Voters:  []string{"n1", "n2"}, // an even number
		Slots:   1,
		Backups: 1,
		Dir:     dir,
	})
	if f := fault.Find(err); f == nil || f.Kind.Name != "peers.invalid_voters" {
		t.Fatalf("Start() with two voters = %v, want an error of kind peers.invalid_voters", err)
	}
	log, _, err := wal.Open(store.Dir(dir))
	if err != nil {
		t.Fatalf("opening the folder after the failed start: %v", err)
	}
	if err := log.Close(); err != nil {
		t.Error(err)
	}
}

// BootTime must be in whole microseconds: leases compare its times with times that were sent to the
// leader and back as whole microseconds.
func TestBootTimeIsInWholeMicroseconds(t *testing.T) {
	before := BootTime()
	if before <= 0 || before%time.Microsecond != 0 {
		t.Errorf("BootTime() = %v, want a positive number of whole microseconds", before)
	}
	if after := BootTime(); after < before {
		t.Errorf("BootTime() went back from %v to %v", before, after)
	}
}
