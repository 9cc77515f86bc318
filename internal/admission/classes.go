package admission

import (
	"fmt"
	"slices"
)

// MaxClasses is the maximum number of classes, including removed ones that keep their index.
const MaxClasses = 256

// DuplicateClassError reports a class with the name of another configured class.
type DuplicateClassError struct {
	Index int // in Settings.Classes
	Name  string
}

func (e *DuplicateClassError) Error() string {
	return fmt.Sprintf("admission: setting Classes[%d]: class %s is configured twice", e.Index, e.Name)
}

// TooManyClassesError reports more than MaxClasses classes, including those that were removed since
// the start of the process.
type TooManyClassesError struct{ Count int }

func (e *TooManyClassesError) Error() string {
	return fmt.Sprintf(
		"admission: setting Classes: %d classes, including those removed since the start, exceed the maximum of %d",
		e.Count, MaxClasses)
}

// MergeClasses returns s with its classes at the indexes that they have in current, the settings in
// force, because open requests, measured times and remembered keys refer to classes by index. A
// class that is no longer configured keeps its index and is marked as Removed. A class that is
// configured again with the same name and idempotency gets its index back. Other classes are
// appended. MergeClasses returns a DuplicateClassError if two classes have one name, and a
// TooManyClassesError if there are more than MaxClasses.
func (s Settings) MergeClasses(current Settings) (Settings, error) {
	merged := make([]Class, len(current.Classes), len(current.Classes)+len(s.Classes))
	for i, class := range current.Classes {
		class.Removed = true
		merged[i] = class
	}
	for i, class := range s.Classes {
		if class.sharesNameWith(s.Classes[:i]) {
			return s, &DuplicateClassError{Index: i, Name: class.Name}
		}
		if at := lastIndexOf(class, current.Classes); at >= 0 {
			merged[at] = class
		} else {
			merged = append(merged, class)
		}
	}
	if len(merged) > MaxClasses {
		return s, &TooManyClassesError{Count: len(merged)}
	}
	s.Classes = merged
	return s, nil
}

// sharesNameWith reports whether c and one of the others are both configured and have the same name.
func (c *Class) sharesNameWith(others []Class) bool {
	if c.Removed {
		return false
	}
	return slices.ContainsFunc(others, func(other Class) bool {
		return other.Name == c.Name && !other.Removed
	})
}

// lastIndexOf is the last index in classes with the name and idempotency of class; -1: there is none.
func lastIndexOf(class Class, classes []Class) int {
	for i := len(classes) - 1; i >= 0; i-- {
		if classes[i].Name == class.Name && classes[i].Idempotency == class.Idempotency {
			return i
		}
	}
	return -1
}

// ClassIndex is the index of the configured class with this name; -1: there is none.
func (s *Settings) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name && !s.Classes[i].Removed {
			return i
		}
	}
	return -1
}
