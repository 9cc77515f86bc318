package admission

import "fmt"

// MaxClasses is how many places there are for classes, those that were dropped included.
const MaxClasses = 256

// MergeClasses lays settings that are to come into force over those that are. Each class keeps its place,
// since all that is open, learned and remembered goes by places: one that is not there any more
// stays, Dropped; one that comes back by its name and effect has its place again; others come
// behind.
func (s Settings) MergeClasses(was Settings) (Settings, error) {
	places := make([]Class, len(was.Classes), len(was.Classes)+len(s.Classes))
	for i, c := range was.Classes {
		places[i], places[i].Removed = c, true
	}
	for i, c := range s.Classes {
		for _, o := range s.Classes[:i] {
			if o.Name == c.Name && !o.Removed && !c.Removed {
				return s, fmt.Errorf("admission: setting Classes[%d]: a second class %s", i, c.Name)
			}
		}
		at := len(places)
		for j := range was.Classes {
			if was.Classes[j].Name == c.Name && was.Classes[j].Idempotency == c.Idempotency {
				at = j
			}
		}
		if at == len(places) {
			places = append(places, c)
		}
		places[at] = c
	}
	if len(places) > MaxClasses {
		return s, fmt.Errorf(
			"admission: setting Classes: %d classes with those dropped since the start, of %d at the most",
			len(places),
			MaxClasses,
		)
	}
	s.Classes = places
	return s, nil
}

// ClassIndex finds a class that is in force by its name; -1: there is none.
func (s *Settings) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name && !s.Classes[i].Removed {
			return i
		}
	}
	return -1
}
