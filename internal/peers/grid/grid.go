// Package grid bounds the links of a runner in a large installation. Runners stand in rows and
// columns in the order of their names; each has links with those of its row and of its column, and
// reaches any other by one of two relays: the runner in its row and the other's column, or the one in
// its column and the other's row. The package does no I/O; the same names give the same grid
// everywhere.
package grid

import "slices"

// Grid is the arrangement of the runners of an installation.
type Grid struct {
	names []string // sorted
	width int      // of a row; 0: all have links with all
}

// New returns the grid of these runners. Up to fullMeshLimit of them all have links with all.
func New(names []string, fullMeshLimit int) *Grid {
	g := &Grid{names: slices.Compact(slices.Sorted(slices.Values(names)))}
	if len(g.names) > fullMeshLimit {
		for g.width = 1; g.width*g.width < len(g.names); {
			g.width++
		}
	}
	return g
}

// position returns the row and column of a runner, and whether it is in the grid.
func (g *Grid) position(name string) (row, column int, ok bool) {
	i, ok := slices.BinarySearch(g.names, name)
	if g.width == 0 {
		return 0, i, ok
	}
	return i / g.width, i % g.width, ok
}

// at returns the runner at a position, or "" if the last row is too short.
func (g *Grid) at(row, column int) string {
	if g.width == 0 {
		return g.names[column]
	}
	if i := row*g.width + column; i < len(g.names) {
		return g.names[i]
	}
	return ""
}

// Linked reports whether two runners have a link.
func (g *Grid) Linked(a, b string) bool {
	rowA, columnA, okA := g.position(a)
	rowB, columnB, okB := g.position(b)
	return okA && okB && (g.width == 0 || rowA == rowB || columnA == columnB)
}

// Neighbors returns the runners with which a runner has links.
func (g *Grid) Neighbors(name string) (neighbors []string) {
	for _, other := range g.names {
		if other != name && g.Linked(name, other) {
			neighbors = append(neighbors, other)
		}
	}
	return neighbors
}

// Relays returns the runners by which one reaches another that it has no link with. There are none
// if it has one, or if one of the two is not in the grid.
func (g *Grid) Relays(from, to string) (relays []string) {
	fromRow, fromColumn, okFrom := g.position(from)
	toRow, toColumn, okTo := g.position(to)
	if !okFrom || !okTo || g.Linked(from, to) {
		return nil
	}
	for _, name := range []string{g.at(fromRow, toColumn), g.at(toRow, fromColumn)} {
		if name != "" {
			relays = append(relays, name)
		}
	}
	return relays
}
