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
		t.Fatalf("the node starts with two voters: %v", err)
	}
	log, _, err := wal.Open(store.Dir(dir))
	if err != nil {
		t.Fatalf("the folder is not unlocked: %v", err)
	}
	if err := log.Close(); err != nil {
		t.Error(err)
	}
}

// Leases compare times of this clock that were sent as whole microseconds.
func TestBootTimeIsInWholeMicroseconds(t *testing.T) {
	before := BootTime()
	if before <= 0 || before%time.Microsecond != 0 {
		t.Errorf("it is %v", before)
	}
	if after := BootTime(); after < before {
		t.Errorf("it went back from %v to %v", before, after)
	}
}
