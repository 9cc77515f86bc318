package fault

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

var (
	near = Define("test.near", "It is near.", "Look at it.")
	far  = Define("test.far", "It is far.", "Look for it.")
)

// own is an error of a type of its own.
type own struct{}

func (own) Error() string            { return "own" }
func (own) Fault() (*Kind, Location) { return near, Location{"a.yaml", 3, "b"} }

func TestKinds(t *testing.T) {
	cause := far.Wrap(near.New("it: %w", io.EOF).At("f.json", 2, "listen"))
	outer := fmt.Errorf("outer: %w", cause)
	if !near.Is(outer) || far.Is(outer) || !errors.Is(outer, io.EOF) || outer.Error() != "outer: it: EOF" {
		t.Errorf("%v is %s", outer, KindName(outer))
	}
	if Remedy(outer) != near.Remedy || Find(outer).Location != (Location{"f.json", 2, "listen"}) {
		t.Errorf("%+v", Find(outer))
	}
	if e := Find(fmt.Errorf("outer: %w", own{})); e == nil || e.Kind != near || e.Location.Line != 3 {
		t.Errorf("%+v", e)
	}
	if plain := io.EOF; Find(plain) != nil || KindName(plain) != "" || Remedy(plain) != "" ||
		far.Wrap(nil) != nil ||
		KindName(far.Wrap(plain)) != "test.far" {
		t.Error("what has no kind has one")
	}
	defer func() {
		if recover() == nil {
			t.Error("a kind is defined twice")
		}
	}()
	Define("test.near", "Again.", "Nothing.")
}
