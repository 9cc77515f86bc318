package inventory

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// group is one of a YAML inventory, put together from all places that name it.
type group struct {
	name    string
	vars    vars
	parents []*group
	depth   int // below the top; 0: it has no parent
}

// host is one of the inventory's hosts.
type host struct {
	name   string
	file   string
	line   int // where it is named first
	vars   vars
	groups []*group
}

// value is a variable, and where it is set.
type value struct {
	text string
	file string
	line int
}

type vars map[string]value

// tree is a YAML inventory before variables are settled.
type tree struct {
	*table
	groups map[string]*group
	order  []*group
	hosts  map[string]*host
	named  []*host
}

func newTree(t *table) *tree {
	return &tree{table: t, groups: map[string]*group{}, hosts: map[string]*host{}}
}

// add reads one file.
func (t *tree) add(text []byte) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return t.at(yamlLine(err), err)
	}
	if len(doc.Content) == 0 {
		return t.at(1, errors.New("empty"))
	}
	return t.list(doc.Content[0], nil)
}

func (t *tree) list(n *yaml.Node, parent *group) error {
	return t.each(n, "the list of groups", func(name, v *yaml.Node) error { return t.group(name, v, parent) })
}

// group reads one place where a group is named.
func (t *tree) group(name, n *yaml.Node, parent *group) error {
	g := t.groups[name.Value]
	if g == nil {
		g = &group{name: name.Value, vars: vars{}}
		t.groups[g.name] = g
		t.order = append(t.order, g)
	}
	if parent != nil && !slices.Contains(g.parents, parent) {
		if parent.within(g) {
			return t.at(name.Line, fmt.Errorf("group %s is a child of itself", g.name))
		}
		g.parents = append(g.parents, parent)
	}
	return t.each(n, "group "+g.name, func(k, v *yaml.Node) error {
		switch k.Value {
		case "hosts":
			return t.each(v, "hosts of "+g.name, func(k, v *yaml.Node) error { return t.host(g, k, v) })
		case "children":
			return t.list(v, g)
		case "vars":
			return t.set(v, g.vars)
		}
		return t.at(
			k.Line,
			fmt.Errorf("group %s: unknown field %s: want hosts, vars or children", g.name, k.Value),
		)
	})
}

// within tells whether a group is another, or below it.
func (g *group) within(o *group) bool {
	return g == o || slices.ContainsFunc(g.parents, func(p *group) bool { return p.within(o) })
}

// host reads one place where hosts are named: one, or a range of them.
func (t *tree) host(g *group, k, v *yaml.Node) error {
	names, err := expand(k.Value)
	if err != nil {
		return t.at(k.Line, err)
	}
	for _, name := range names {
		h := t.hosts[name]
		if h == nil {
			h = &host{name: name, file: t.file, line: k.Line, vars: vars{}}
			t.hosts[name] = h
			t.named = append(t.named, h)
		}
		if slices.Contains(h.groups, g) {
			return t.at(
				k.Line,
				fmt.Errorf("duplicate name %s in group %s, first on line %d", name, g.name, h.line),
			)
		}
		h.groups = append(h.groups, g)
		own := vars{}
		if err := t.set(v, own); err != nil {
			return err
		}
		for name, x := range own {
			// The tool would take the last, and which that is depends on the order of its files.
			if old, known := h.vars[name]; known && old.text != x.text && used(name) {
				return t.at(
					x.line,
					fmt.Errorf(
						"server %s has another %s on line %d of %s",
						h.name,
						name,
						old.line,
						filepath.Base(old.file),
					),
				)
			}
			h.vars[name] = x
		}
	}
	return nil
}

// used tells whether a variable means something here.
func used(name string) bool {
	return slices.Contains([]string{"address", "ansible_host", "uwsgi_port", "hall", "weight", "state"}, name)
}

// set reads variables.
func (t *tree) set(n *yaml.Node, into vars) error {
	return t.each(n, "vars", func(k, v *yaml.Node) error {
		if v.Kind == yaml.AliasNode {
			v = v.Alias
		}
		if v.Kind == yaml.ScalarNode { // others are for other programs
			into[k.Value] = value{v.Value, t.file, k.Line}
		}
		return nil
	})
}

// beside reads host_vars and group_vars in a folder. They are stronger than what the inventory
// itself says of the same host or group.
func (t *tree) beside(dir string) error {
	for _, g := range t.order {
		if err := t.varFiles(filepath.Join(dir, "group_vars"), g.name, g.vars); err != nil {
			return err
		}
	}
	for _, h := range t.named {
		if err := t.varFiles(filepath.Join(dir, "host_vars"), h.name, h.vars); err != nil {
			return err
		}
	}
	return nil
}

// varFiles reads DIR/NAME.yaml, .yml or .json, or DIR/NAME, which may be a folder of such files.
func (t *tree) varFiles(dir, name string, into vars) error {
	if strings.ContainsAny(name, "/\x00") || name == "." || name == ".." {
		return nil
	}
	for _, path := range []string{name, name + ".yml", name + ".yaml", name + ".json"} {
		path = filepath.Join(dir, path)
		info, err := os.Stat(path)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, errNotDir) {
			continue
		}
		files := []string{path}
		if err == nil && info.IsDir() {
			files, err = listFiles(path)
		}
		if err != nil {
			return kind.New("inventory: %w", err)
		}
		for _, file := range files {
			if err := t.varFile(file, into); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *tree) varFile(path string, into vars) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return kind.New("inventory: %w", err)
	}
	outer := t.file
	t.file = path
	defer func() { t.file = outer }()
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return t.at(yamlLine(err), err)
	}
	if len(doc.Content) == 0 {
		return nil
	}
	return t.set(doc.Content[0], into)
}

// settle makes servers of the hosts: each with the variables of its groups, the outermost first and
// at one depth by name, then its own; and in each group that it is in or below.
func (t *tree) settle() error {
	for _, g := range t.order {
		g.depth = g.below()
	}
	for _, h := range t.named {
		var all []*group
		for _, g := range h.groups {
			all = g.collect(all)
		}
		ordered := slices.Clone(all)
		slices.SortStableFunc(ordered, func(a, b *group) int {
			return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.name, b.name))
		})
		v := vars{}
		for _, g := range ordered {
			// The tool would take the last by name, and a server stands in one hall.
			if a, b := v["hall"], g.vars["hall"]; a.text != "" && b.text != "" && a.text != b.text &&
				h.vars["hall"].text == "" &&
				!g.refines(a, ordered) {
				t.file = b.file
				return t.at(
					b.line,
					fmt.Errorf(
						"server %s is in hall %q by group %s, and in %q on line %d of %s",
						h.name,
						b.text,
						g.name,
						a.text,
						a.line,
						filepath.Base(a.file),
					),
				)
			}
			maps.Copy(v, g.vars)
		}
		maps.Copy(v, h.vars)
		if err := t.server(h, v, all); err != nil {
			return err
		}
	}
	return nil
}

// refines tells whether a value is set by a group that this one is below, and so is stronger than
// by more than its name.
func (g *group) refines(v value, all []*group) bool {
	return slices.ContainsFunc(
		all,
		func(o *group) bool { return o != g && o.vars["hall"] == v && g.within(o) },
	)
}

func (g *group) below() (depth int) {
	for _, p := range g.parents {
		depth = max(depth, p.below()+1)
	}
	return depth
}

// collect adds a group and all that it is below.
func (g *group) collect(to []*group) []*group {
	if slices.Contains(to, g) {
		return to
	}
	to = append(to, g)
	for _, p := range g.parents {
		to = p.collect(to)
	}
	return to
}

// server checks a host. Its address is in address, or in ansible_host with the port in uwsgi_port.
func (t *tree) server(h *host, v vars, groups []*group) error {
	t.file = h.file
	address := v["address"].text
	if address == "" {
		ip := v["ansible_host"].text
		if ip == "" {
			return t.at(h.line, fmt.Errorf("server %s: missing address or ansible_host", h.name))
		}
		if strings.Contains(ip, ":") {
			ip = "[" + strings.Trim(ip, "[]") + "]"
		}
		address = ip + ":" + cmp.Or(v["uwsgi_port"].text, defaultPort)
	}
	var names []string
	for _, g := range groups {
		names = append(names, g.name)
	}
	return t.row(h.line, h.name, address, names, v["hall"].text, v["weight"].text, v["state"].text)
}
