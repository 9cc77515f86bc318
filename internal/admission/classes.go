package admission

import (
	"fmt"
	"slices"
)

// MaxClasses is the number of places for classes, including those of removed classes.
const MaxClasses = 256

// DuplicateClassError is a class whose name another configured class has.
type DuplicateClassError struct {
	Index int // in Settings.Classes
	Name  string
}

func (e *DuplicateClassError) Error() string {
	return fmt.Sprintf("admission: setting Classes[%d]: a second class %s", e.Index, e.Name)
}

// TooManyClassesError reports more than MaxClasses classes, including those that were removed since
// the start of the process.
type TooManyClassesError struct{ Count int }

func (e *TooManyClassesError) Error() string {
	return fmt.Sprintf(
		"admission: setting Classes: %d classes with those dropped since the start, of %d at the most",
		e.Count, MaxClasses)
}

// MergeClasses returns s with its classes in the places that they have in current, the settings in
// force. Open requests, learned times and remembered keys refer to classes by place. A class that
// is no longer configured keeps its place, marked as Removed; one that comes back with its name and
// idempotency takes its place again; others come after. It returns a DuplicateClassError or a
// TooManyClassesError.
func (s Settings) MergeClasses(current Settings) (Settings, error) {
	places := make([]Class, len(current.Classes), len(current.Classes)+len(s.Classes))
	for i, class := range current.Classes {
		class.Removed = true
		places[i] = class
	}
	for i, class := range s.Classes {
		if class.sharesNameWith(s.Classes[:i]) {
			return s, &DuplicateClassError{Index: i, Name: class.Name}
		}
		if at := placeOf(class, current.Classes); at >= 0 {
			places[at] = class
		} else {
			places = append(places, class)
		}
	}
	if len(places) > MaxClasses {
		return s, &TooManyClassesError{Count: len(places)}
	}
	s.Classes = places
	return s, nil
}

// sharesNameWith reports whether one of the others has the name of c, both being configured.
func (c *Class) sharesNameWith(others []Class) bool {
	if c.Removed {
		return false
	}
	return slices.ContainsFunc(others, func(other Class) bool {
		return other.Name == c.Name && !other.Removed
	})
}

// placeOf is the last place of a class with the name and idempotency of class; -1: there is none.
func placeOf(class Class, places []Class) int {
	for i := len(places) - 1; i >= 0; i-- {
		if places[i].Name == class.Name && places[i].Idempotency == class.Idempotency {
			return i
		}
	}
	return -1
}

// ClassIndex is the place of the configured class with this name; -1: there is none.
func (s *Settings) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name && !s.Classes[i].Removed {
			return i
		}
	}
	return -1
}
