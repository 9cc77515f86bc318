// Package fault is what errors of the program have in common: a kind with a stable name, where it
// is, its cause, and what an operator can do about it. A package defines its kinds once; whoever
// meets an error asks with Of, whatever it is wrapped in.
package fault

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
)

// Kind is a kind of error. Its name is stable: scripts, the log and the on-call page go by it.
type Kind struct {
	Name        string
	Description string // what it tells, in one sentence
	Remedy      string // what an operator can do, in one sentence
}

var (
	mu    sync.Mutex
	kinds = map[string]*Kind{}
)

// Define names a kind, when its package is loaded. A name stands once.
func Define(name, about, do string) *Kind {
	mu.Lock()
	defer mu.Unlock()
	if kinds[name] != nil || name == "" || about == "" || do == "" {
		panic(fmt.Sprintf("fault: %q is defined twice, or says too little", name))
	}
	k := &Kind{name, about, do}
	kinds[name] = k
	return k
}

// Kinds are all that are defined, by name.
func Kinds() (all []*Kind) {
	mu.Lock()
	defer mu.Unlock()
	for _, k := range kinds {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *Kind) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Location is the place of what is wrong. What does not apply is empty.
type Location struct {
	File  string
	Line  int // from 1
	Field string
}

// Error is an error of a kind. Its text is that of its cause.
type Error struct {
	Kind     *Kind
	Location Location
	Err      error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// LogValue implements slog.LogValuer.
func (e *Error) LogValue() slog.Value { return slog.StringValue(e.Kind.Name + ": " + e.Error()) }

// New makes an error of the kind. The text may wrap a cause.
func (k *Kind) New(format string, args ...any) *Error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...)}
}

// Wrap gives a cause the kind. One that has a kind keeps it, as whoever was nearer knows more; none
// stays none.
func (k *Kind) Wrap(err error) error {
	if err == nil || Find(err) != nil {
		return err
	}
	return &Error{Kind: k, Err: err}
}

// At says where it is.
func (e *Error) At(file string, line int, field string) *Error {
	e.Location = Location{file, line, field}
	return e
}

// Classified is an error of a type of its own that tells its kind and its place.
type Classified interface {
	error
	Fault() (*Kind, Location)
}

// Fault implements Described.
func (e *Error) Fault() (*Kind, Location) { return e.Kind, e.Location }

// Find finds the error of a kind in what may be wrapped; nil: there is none.
func Find(err error) *Error {
	var d Classified
	if !errors.As(err, &d) {
		return nil
	}
	if e, ok := d.(*Error); ok {
		return e
	}
	e := &Error{Err: d}
	e.Kind, e.Location = d.Fault()
	return e
}

// Is tells whether an error is of the kind.
func (k *Kind) Is(err error) bool {
	e := Find(err)
	return e != nil && e.Kind == k
}

// Remedy is what an operator can do about an error; empty: nobody has said.
func Remedy(err error) string {
	if e := Find(err); e != nil {
		return e.Kind.Remedy
	}
	return ""
}

// KindName is that of the kind of an error; empty: it has none.
func KindName(err error) string {
	if e := Find(err); e != nil {
		return e.Kind.Name
	}
	return ""
}
