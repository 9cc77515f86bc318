// Package fault classifies errors for operators: each has a kind with a stable name and a remedy, a
// location, and a cause. A package that returns errors to operators defines its kinds once, at
// package level. The log, the control socket and the commands print the kind and the remedy; Find
// returns the classified error inside a wrapped one.
package fault

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
)

// Kind is a kind of error. Its name is stable: scripts, the log and the on-call page refer to it.
type Kind struct {
	Name        string
	Description string // what happened, in one sentence
	Remedy      string // what an operator can do, in one sentence
}

var (
	mu    sync.Mutex
	kinds = map[string]*Kind{}
)

// Define registers a kind. It panics on an empty argument or on a name that is taken. Packages call it
// while they are initialized.
func Define(name, description, remedy string) *Kind {
	mu.Lock()
	defer mu.Unlock()
	if kinds[name] != nil || name == "" || description == "" || remedy == "" {
		panic(fmt.Sprintf("fault: kind %q is defined twice, or has an empty name, description or remedy", name))
	}
	k := &Kind{Name: name, Description: description, Remedy: remedy}
	kinds[name] = k
	return k
}

// Kinds returns all kinds, ordered by name.
func Kinds() (all []*Kind) {
	mu.Lock()
	defer mu.Unlock()
	for _, k := range kinds {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *Kind) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Location is the place in a file to which an error refers. Fields that do not apply are zero.
type Location struct {
	File  string
	Line  int // from 1
	Field string
}

// Error is a classified error. Its text is that of its cause.
type Error struct {
	Kind     *Kind
	Location Location
	Err      error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// LogValue implements slog.LogValuer.
func (e *Error) LogValue() slog.Value { return slog.StringValue(e.Kind.Name + ": " + e.Error()) }

// New returns an error of the kind. The format may wrap a cause with %w.
func (k *Kind) New(format string, args ...any) *Error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...)}
}

// Wrap classifies an error. An error that has a kind already keeps it; nil stays nil.
func (k *Kind) Wrap(err error) error {
	if err == nil || Find(err) != nil {
		return err
	}
	return &Error{Kind: k, Err: err}
}

// At sets the location of the error, and returns the error.
func (e *Error) At(file string, line int, field string) *Error {
	e.Location = Location{file, line, field}
	return e
}

// Classified is an error that knows its kind and location.
type Classified interface {
	error
	Fault() (*Kind, Location)
}

// Fault implements Classified.
func (e *Error) Fault() (*Kind, Location) { return e.Kind, e.Location }

// Find returns the classified error inside err, or nil.
func Find(err error) *Error {
	var classified Classified
	if !errors.As(err, &classified) {
		return nil
	}
	var own *Error
	if errors.As(classified, &own) && Classified(own) == classified {
		return own
	}
	// Another type of error, such as *inventory.Error.
	kind, location := classified.Fault()
	return &Error{Kind: kind, Location: location, Err: classified}
}

// Is reports whether err is of the kind.
func (k *Kind) Is(err error) bool {
	e := Find(err)
	return e != nil && e.Kind == k
}

// Remedy returns what an operator can do about an error, or an empty string.
func Remedy(err error) string {
	if e := Find(err); e != nil {
		return e.Kind.Remedy
	}
	return ""
}

// KindName returns the name of the kind of an error, or an empty string.
func KindName(err error) string {
	if e := Find(err); e != nil {
		return e.Kind.Name
	}
	return ""
}
