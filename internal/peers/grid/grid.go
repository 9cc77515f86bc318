// Package grid bounds the number of links of a runner in a large installation. The runners are arranged
// in rows and columns by the order of their names. Each runner has links with the runners of its row and
// its column, and reaches any other through one of two relays: the runner in its own row and the other's
// column, or the runner in its own column and the other's row. If the last row is not full, one of the
// two may be missing. The package does no I/O. The same names give the same grid on every runner.
package grid

import "slices"

// Grid is the arrangement of the runners of an installation.
type Grid struct {
	names []string // sorted
	width int      // number of columns; 0: full mesh
}

// New returns the grid of the runners. Up to fullMeshLimit runners form a full mesh.
func New(names []string, fullMeshLimit int) *Grid {
	g := &Grid{names: slices.Compact(slices.Sorted(slices.Values(names)))}
	if len(g.names) > fullMeshLimit {
		for g.width = 1; g.width*g.width < len(g.names); {
			g.width++
		}
	}
	return g
}

// position returns the row and column of a runner. It reports false if the runner is not in the grid.
func (g *Grid) position(name string) (row, column int, ok bool) {
	i, ok := slices.BinarySearch(g.names, name)
	if g.width == 0 {
		return 0, i, ok
	}
	return i / g.width, i % g.width, ok
}

// at returns the runner at a position, or "" if the last row ends before it.
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

// Neighbors returns the runners that a runner has links with.
func (g *Grid) Neighbors(name string) (neighbors []string) {
	for _, other := range g.names {
		if other != name && g.Linked(name, other) {
			neighbors = append(neighbors, other)
		}
	}
	return neighbors
}

// Relays returns the runners that have links with both from and to. It returns none if from and to have
// a link with each other, or if either of them is not in the grid.
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
