package inventory

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// group is a group of a YAML inventory, merged from all places that name it.
type group struct {
	name      string
	variables variables
	parents   []*group
	depth     int // length of the longest path to a group without parents
}

// host is a host of a YAML inventory, merged from all places that name it.
type host struct {
	name      string
	file      string
	line      int // of the first place that names it
	variables variables
	groups    []*group
}

// variable is the value of a variable, and the place where it is set.
type variable struct {
	text string
	file string
	line int
}

// variables holds variables by name.
type variables map[string]variable

// hierarchy is a YAML inventory before its variables are resolved.
type hierarchy struct {
	*table
	groups     map[string]*group
	groupOrder []*group
	hosts      map[string]*host
	hostOrder  []*host
}

// newHierarchy returns an empty hierarchy that adds its servers to t.
func newHierarchy(t *table) *hierarchy {
	return &hierarchy{table: t, groups: map[string]*group{}, hosts: map[string]*host{}}
}

// readYAML reads the text of one YAML file.
func (h *hierarchy) readYAML(text []byte) error {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return h.errorAt(yamlLine(err), err)
	}
	if len(document.Content) == 0 {
		return h.errorAt(1, errors.New("the file is empty"))
	}
	return h.readGroups(document.Content[0], nil)
}

// readGroups reads a mapping of groups below a parent, which is nil at the top level.
func (h *hierarchy) readGroups(mapping *yaml.Node, parent *group) error {
	return h.eachPair(mapping, "the list of groups", func(name, value *yaml.Node) error {
		return h.readGroup(name, value, parent)
	})
}

// readGroup reads one place that names a group.
func (h *hierarchy) readGroup(name, mapping *yaml.Node, parent *group) error {
	g := h.groups[name.Value]
	if g == nil {
		g = &group{name: name.Value, variables: variables{}}
		h.groups[g.name] = g
		h.groupOrder = append(h.groupOrder, g)
	}
	if parent != nil && !slices.Contains(g.parents, parent) {
		if parent.isWithin(g) {
			return h.errorAt(name.Line, fmt.Errorf("group %s is a child of itself", g.name))
		}
		g.parents = append(g.parents, parent)
	}
	return h.eachPair(mapping, "group "+g.name, func(key, value *yaml.Node) error {
		switch key.Value {
		case "hosts":
			return h.eachPair(value, "hosts of "+g.name, func(pattern, variables *yaml.Node) error {
				return h.readHosts(g, pattern, variables)
			})
		case "children":
			return h.readGroups(value, g)
		case "vars":
			return h.readVariables(value, g.variables)
		}
		return h.errorAt(key.Line,
			fmt.Errorf("group %s: unknown field %s: want hosts, vars or children", g.name, key.Value))
	})
}

// isWithin reports whether g is the other group or one of its descendants.
func (g *group) isWithin(other *group) bool {
	return g == other ||
		slices.ContainsFunc(g.parents, func(parent *group) bool { return parent.isWithin(other) })
}

// readHosts reads one place that names a host or a range of hosts.
func (h *hierarchy) readHosts(g *group, pattern, mapping *yaml.Node) error {
	names, err := expand(pattern.Value)
	if err != nil {
		return h.errorAt(pattern.Line, err)
	}
	for _, name := range names {
		host := h.hostNamed(name, pattern.Line)
		if slices.Contains(host.groups, g) {
			return h.errorAt(pattern.Line,
				fmt.Errorf("duplicate name %s in group %s, first on line %d", name, g.name, host.line))
		}
		host.groups = append(host.groups, g)
		own := variables{}
		if err := h.readVariables(mapping, own); err != nil {
			return err
		}
		if err := h.setHostVariables(host, own); err != nil {
			return err
		}
	}
	return nil
}

// hostNamed returns the host with a name, and adds it if this is the first place that names it.
func (h *hierarchy) hostNamed(name string, line int) *host {
	known := h.hosts[name]
	if known != nil {
		return known
	}
	added := &host{name: name, file: h.file, line: line, variables: variables{}}
	h.hosts[name] = added
	h.hostOrder = append(h.hostOrder, added)
	return added
}

// setHostVariables sets variables of a host. Two different values of a variable that describes the
// server are an error: Ansible would use the last value, which depends on the order of the files.
func (h *hierarchy) setHostVariables(host *host, own variables) error {
	for name, v := range own {
		old, known := host.variables[name]
		if known && old.text != v.text && isServerVariable(name) {
			return h.errorAt(v.line, fmt.Errorf("server %s has another %s on line %d of %s",
				host.name, name, old.line, filepath.Base(old.file)))
		}
		host.variables[name] = v
	}
	return nil
}

// isServerVariable reports whether a variable describes a server. Other variables are meant for other
// programs.
func isServerVariable(name string) bool {
	switch name {
	case columnAddress, variableIP, variablePort, columnZone, columnWeight, columnState:
		return true
	}
	return false
}

// readVariables adds the scalars of a mapping to target. Lists and mappings are skipped, as they are
// meant for other programs.
func (h *hierarchy) readVariables(mapping *yaml.Node, target variables) error {
	return h.eachPair(mapping, "vars", func(key, value *yaml.Node) error {
		if value.Kind == yaml.AliasNode {
			value = value.Alias
		}
		if value.Kind == yaml.ScalarNode {
			target[key.Value] = variable{text: value.Value, file: h.file, line: key.Line}
		}
		return nil
	})
}

// readVariableFolders reads the folders host_vars and group_vars in dir. Their variables override
// those that the inventory sets for the same host or group.
func (h *hierarchy) readVariableFolders(dir string) error {
	for _, g := range h.groupOrder {
		if err := h.readVariableFiles(filepath.Join(dir, groupVariablesDir), g.name, g.variables); err != nil {
			return err
		}
	}
	for _, host := range h.hostOrder {
		err := h.readVariableFiles(filepath.Join(dir, hostVariablesDir), host.name, host.variables)
		if err != nil {
			return err
		}
	}
	return nil
}

// readVariableFiles reads DIR/NAME.yaml, .yml or .json, or DIR/NAME, which may be a folder of
// files.
func (h *hierarchy) readVariableFiles(dir, name string, target variables) error {
	if strings.ContainsAny(name, "/\x00") || name == "." || name == ".." {
		return nil
	}
	for _, base := range []string{name, name + ".yml", name + ".yaml", name + ".json"} {
		path := filepath.Join(dir, base)
		info, err := os.Stat(path)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, errNotDir) {
			continue
		}
		files := []string{path}
		if err == nil && info.IsDir() {
			files, err = listFiles(path)
		}
		if err != nil {
			return listKind.New("inventory: %w", err)
		}
		for _, file := range files {
			if err := h.readVariableFile(file, target); err != nil {
				return err
			}
		}
	}
	return nil
}

// readVariableFile reads the variables of one file.
func (h *hierarchy) readVariableFile(path string, target variables) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return listKind.New("inventory: %w", err)
	}
	inventoryFile := h.file
	h.file = path
	defer func() { h.file = inventoryFile }()
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return h.errorAt(yamlLine(err), err)
	}
	if len(document.Content) == 0 {
		return nil
	}
	return h.readVariables(document.Content[0], target)
}
