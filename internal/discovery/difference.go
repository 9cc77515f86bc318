package discovery

import (
	"fmt"
	"slices"

	"ryepaddle/internal/inventory"
)

// Difference counts how a list of servers differs from an earlier one. Disabled servers are not
// counted.
type Difference struct {
	Added   int
	Removed int
	Moved   int // servers with another address
	Changed int // servers with another weight, zone or groups
}

// Diff compares two lists; servers are matched by name.
func Diff(before, after []inventory.Server) (d Difference) {
	enabled := make(map[string]*inventory.Server, len(before))
	for i := range before {
		if before[i].Weight > 0 {
			enabled[before[i].Name] = &before[i]
		}
	}
	for i := range after {
		server := &after[i]
		if server.Weight == 0 {
			continue
		}
		switch old := enabled[server.Name]; {
		case old == nil:
			d.Added++
		case old.Addr != server.Addr:
			d.Moved++
		case old.Weight != server.Weight || old.Zone != server.Zone || !slices.Equal(old.Groups, server.Groups):
			d.Changed++
		}
		delete(enabled, server.Name)
	}
	d.Removed = len(enabled)
	return d
}

// String formats the counts, such as "1 came, 0 left, 2 moved, 0 changed".
func (d Difference) String() string {
	return fmt.Sprintf("%d came, %d left, %d moved, %d changed", d.Added, d.Removed, d.Moved, d.Changed)
}
