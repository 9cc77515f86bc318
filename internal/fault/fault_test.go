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

// customError implements Classified, and is not an *Error.
type customError struct{}

func (customError) Error() string            { return "own" }
func (customError) Fault() (*Kind, Location) { return near, Location{"a.yaml", 3, "b"} }

func TestKinds(t *testing.T) {
	cause := far.Wrap(near.New("it: %w", io.EOF).At("f.json", 2, "listen"))
	outer := fmt.Errorf("outer: %w", cause)
	if !near.Is(outer) || far.Is(outer) || !errors.Is(outer, io.EOF) || outer.Error() != "outer: it: EOF" {
		t.Errorf("%v is of kind %s, want kind test.near and the text outer: it: EOF", outer, KindName(outer))
	}
	if Remedy(outer) != near.Remedy || Find(outer).Location != (Location{"f.json", 2, "listen"}) {
		t.Errorf("Find() = %+v, want kind test.near at line 2 of f.json", Find(outer))
	}
	if e := Find(fmt.Errorf("outer: %w", customError{})); e == nil || e.Kind != near || e.Location.Line != 3 {
		t.Errorf("Find() of a customError = %+v, want kind test.near at line 3", e)
	}
	if plain := io.EOF; Find(plain) != nil || KindName(plain) != "" || Remedy(plain) != "" ||
		far.Wrap(nil) != nil ||
		KindName(far.Wrap(plain)) != "test.far" {
		t.Error("an error without a kind, or nil, has one, or Wrap() does not set it")
	}
	defer func() {
		if recover() == nil {
			t.Error("Define() did not panic on a name that is taken")
		}
	}()
	Define("test.near", "Again.", "Nothing.")
}
