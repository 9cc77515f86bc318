package admission

import "fmt"

// MostClasses is how many places there are for classes, those that were dropped included.
const MostClasses = 256

// After lays settings that are to come into force over those that are. Each class keeps its place,
// since all that is open, learned and remembered goes by places: one that is not there any more
// stays, Dropped; one that comes back by its name and effect has its place again; others come
// behind.
func (s Settings) After(was Settings) (Settings, error) {
	places := make([]Class, len(was.Classes), len(was.Classes)+len(s.Classes))
	for i, c := range was.Classes {
		places[i], places[i].Dropped = c, true
	}
	for i, c := range s.Classes {
		for _, o := range s.Classes[:i] {
			if o.Name == c.Name && !o.Dropped && !c.Dropped {
				return s, fmt.Errorf("admission: setting Classes[%d]: a second class %s", i, c.Name)
			}
		}
		at := len(places)
		for j := range was.Classes {
			if was.Classes[j].Name == c.Name && was.Classes[j].Effect == c.Effect {
				at = j
			}
		}
		if at == len(places) {
			places = append(places, c)
		}
		places[at] = c
	}
	if len(places) > MostClasses {
		return s, fmt.Errorf(
			"admission: setting Classes: %d classes with those dropped since the start, of %d at the most",
			len(places),
			MostClasses,
		)
	}
	s.Classes = places
	return s, nil
}

// Class finds a class that is in force by its name; -1: there is none.
func (s *Settings) Class(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name && !s.Classes[i].Dropped {
			return i
		}
	}
	return -1
}
