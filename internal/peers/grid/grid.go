// Package grid bounds with how many others a runner of a large installation has links. Runners
// stand in rows and columns, in the order of their names; each has links with those of its row and
// of its column, and reaches any other over one of two relays: who stands in its row and the
// other's column, or in its column and the other's row. It is free of I/O; the same names give the
// same grid everywhere.
package grid

import "slices"

// Grid is how the runners of an installation stand.
type Grid struct {
	names []string // sorted
	width int      // of a row; 0: all have links with all
}

// New is the grid of these names. Up to so many of them all have links with all.
func New(names []string, mesh int) *Grid {
	g := &Grid{names: slices.Compact(slices.Sorted(slices.Values(names)))}
	if len(g.names) > mesh {
		for g.width = 1; g.width*g.width < len(g.names); {
			g.width++
		}
	}
	return g
}

func (g *Grid) position(name string) (row, column int, ok bool) {
	i, ok := slices.BinarySearch(g.names, name)
	if g.width == 0 {
		return 0, i, ok
	}
	return i / g.width, i % g.width, ok
}

func (g *Grid) at(row, column int) string {
	if g.width == 0 {
		return g.names[column]
	}
	if i := row*g.width + column; i < len(g.names) {
		return g.names[i]
	}
	return "" // the last row may be short
}

// Linked tells whether two runners have a link.
func (g *Grid) Linked(a, b string) bool {
	ar, ac, ok := g.position(a)
	br, bc, known := g.position(b)
	return ok && known && (g.width == 0 || ar == br || ac == bc)
}

// Neighbors are with whom a runner has links.
func (g *Grid) Neighbors(name string) (out []string) {
	for _, other := range g.names {
		if other != name && g.Linked(name, other) {
			out = append(out, other)
		}
	}
	return out
}

// Relays are over whom a runner reaches another that it has no link with; none: it has one, or one
// of them is not known.
func (g *Grid) Relays(from, to string) (out []string) {
	fr, fc, ok := g.position(from)
	tr, tc, known := g.position(to)
	if !ok || !known || g.Linked(from, to) {
		return nil
	}
	for _, name := range []string{g.at(fr, tc), g.at(tr, fc)} {
		if name != "" {
			out = append(out, name)
		}
	}
	return out
}
