package inventory

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
)

// resolve adds the servers of all hosts. A host belongs to the groups that list it and to their
// ancestors. It inherits the variables of these groups: a deeper group overrides one above it,
// among groups of the same depth the last by name wins, and the host's own variables override all.
func (h *hierarchy) resolve() error {
	for _, g := range h.groupOrder {
		g.depth = g.maxDepth()
	}
	for _, host := range h.hostOrder {
		var groups []*group
		for _, g := range host.groups {
			groups = g.appendAncestors(groups)
		}
		merged, err := h.mergeVariables(host, groups)
		if err != nil {
			return err
		}
		if err := h.addServer(host, merged, groups); err != nil {
			return err
		}
	}
	return nil
}

// mergeVariables returns the variables of a host merged with those of its groups. Two groups that
// set different zones are an error unless one is below the other or the host sets its own zone:
// Ansible would use the zone of the last group by name.
func (h *hierarchy) mergeVariables(host *host, groups []*group) (variables, error) {
	ordered := slices.Clone(groups)
	slices.SortStableFunc(ordered, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.name, b.name))
	})
	merged := variables{}
	for _, g := range ordered {
		before := merged[columnZone]
		zone := g.variables[columnZone]
		differs := before.text != "" && zone.text != "" && before.text != zone.text
		if differs && host.variables[columnZone].text == "" && !g.overrides(before, ordered) {
			h.file = zone.file
			return nil, h.errorAt(zone.line, fmt.Errorf(
				"server %s is in hall %q by group %s, and in %q on line %d of %s",
				host.name, zone.text, g.name, before.text, before.line, filepath.Base(before.file)))
		}
		maps.Copy(merged, g.variables)
	}
	maps.Copy(merged, host.variables)
	return merged, nil
}

// overrides reports whether g is below the one of the groups that sets the given zone.
func (g *group) overrides(zone variable, groups []*group) bool {
	return slices.ContainsFunc(groups, func(other *group) bool {
		return other != g && other.variables[columnZone] == zone && g.isWithin(other)
	})
}

// maxDepth returns the length of the longest path from g to a group without parents.
func (g *group) maxDepth() (depth int) {
	for _, parent := range g.parents {
		depth = max(depth, parent.maxDepth()+1)
	}
	return depth
}

// appendAncestors appends a group and its ancestors to groups, each once.
func (g *group) appendAncestors(groups []*group) []*group {
	if slices.Contains(groups, g) {
		return groups
	}
	groups = append(groups, g)
	for _, parent := range g.parents {
		groups = parent.appendAncestors(groups)
	}
	return groups
}

// addServer adds the server of a host.
func (h *hierarchy) addServer(host *host, v variables, groups []*group) error {
	h.file = host.file
	address := v.address()
	if address == "" {
		return h.errorAt(host.line, fmt.Errorf("server %s: missing address or ansible_host", host.name))
	}
	names := make([]string, len(groups))
	for i, g := range groups {
		names[i] = g.name
	}
	return h.addRow(host.line, serverRow{
		name:    host.name,
		address: address,
		groups:  names,
		zone:    v[columnZone].text,
		weight:  v[columnWeight].text,
		state:   v[columnState].text,
	})
}

// address returns the address of a host: columnAddress, or variableIP with the port variablePort.
// It is empty if the host has neither.
func (v variables) address() string {
	if address := v[columnAddress].text; address != "" {
		return address
	}
	ip := v[variableIP].text
	if ip == "" {
		return ""
	}
	if strings.Contains(ip, ":") { // IPv6
		ip = "[" + strings.Trim(ip, "[]") + "]"
	}
	return ip + ":" + cmp.Or(v[variablePort].text, defaultPort)
}
