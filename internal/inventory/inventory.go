// Package inventory reads the list of servers as configuration tools keep it: a CSV table with a header row, or YAML
// in the layout of Ansible, groups of hosts with variables.
package inventory

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

const (
	maxWeight   = 1000
	defaultPort = "3031" // by custom that of uwsgi
)

// Server is one server of the inventory.
type Server struct {
	Name   string
	Addr   netip.AddrPort
	Groups []string
	Weight int // its part of the work beside the others'; 0 takes it out of use
	Line   int
}

// Error names the place of what is wrong.
type Error struct {
	File string
	Line int
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("inventory: %s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns what is wrong.
func (e *Error) Unwrap() error { return e.Err }

// Read reads a file by its ending: .csv, .yaml or .yml.
func Read(path string) ([]Server, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	return Parse(path, text)
}

// Parse reads the text of a file by that name.
func Parse(path string, text []byte) ([]Server, error) {
	text = bytes.TrimPrefix(text, []byte("\ufeff")) // as spreadsheets write it
	t := &table{file: path, byName: map[string]int{}}
	var err error
	switch strings.ToLower(filepath.Ext(path)) {
	case ".csv":
		err = t.csv(text)
	case ".yaml", ".yml":
		err = t.yaml(text)
	default:
		return nil, fmt.Errorf("inventory: %s: neither .csv nor .yaml", path)
	}
	if err == nil && len(t.servers) == 0 {
		err = t.at(1, errors.New("no servers"))
	}
	return t.servers, err
}

// table is an inventory as it is read.
type table struct {
	file    string
	servers []Server
	byName  map[string]int
}

func (t *table) at(line int, err error) error { return &Error{t.file, line, err} }

// row checks one server of the file. A host may stand in several groups of a YAML file, with the same address.
func (t *table) row(line int, name, address, group, weight, state string, again bool) error {
	s := Server{Name: name, Groups: []string{group}, Weight: 1, Line: line}
	if name == "" {
		return t.at(line, errors.New("column name is empty"))
	}
	var err error
	if s.Addr, err = netip.ParseAddrPort(address); err != nil || s.Addr.Port() == 0 {
		return t.at(line, fmt.Errorf("server %s: bad address %q: want IP:PORT", name, address))
	}
	if weight != "" {
		if s.Weight, err = strconv.Atoi(weight); err != nil || s.Weight < 0 || s.Weight > maxWeight {
			return t.at(line, fmt.Errorf("server %s: bad weight %q: want 0 to %d", name, weight, maxWeight))
		}
	}
	switch strings.ToLower(state) {
	case "", "enabled", "up", "active", "true":
	case "disabled", "down", "maintenance", "inactive", "false":
		s.Weight = 0
	default:
		return t.at(line, fmt.Errorf("server %s: bad state %q", name, state))
	}
	i, known := t.byName[name]
	switch {
	case known && (!again || slices.Contains(t.servers[i].Groups, group)):
		return t.at(line, fmt.Errorf("duplicate name %s, first on line %d", name, t.servers[i].Line))
	case known && t.servers[i].Addr != s.Addr:
		return t.at(line, fmt.Errorf("server %s has another address on line %d", name, t.servers[i].Line))
	case known:
		t.servers[i].Groups = append(t.servers[i].Groups, group)
	default:
		t.byName[name] = len(t.servers)
		t.servers = append(t.servers, s)
	}
	return nil
}

// csv reads a table with a header row. Columns may stand in any order, others are skipped, # begins a comment.
func (t *table) csv(text []byte) error {
	r := csv.NewReader(bytes.NewReader(text))
	r.Comment, r.TrimLeadingSpace, r.FieldsPerRecord = '#', true, -1
	columns := map[string]int{}
	for first := true; ; first = false {
		rec, err := r.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			line := 1
			var p *csv.ParseError
			if errors.As(err, &p) {
				line, err = p.Line, p.Err
			}
			return t.at(line, err)
		}
		line, _ := r.FieldPos(0)
		if first {
			for i, name := range rec {
				columns[strings.ToLower(strings.TrimSpace(name))] = i
			}
			for _, must := range []string{"name", "address", "group"} {
				if _, ok := columns[must]; !ok {
					return t.at(line, fmt.Errorf("missing column %s", must))
				}
			}
			continue
		}
		get := func(name string) string {
			if i, ok := columns[name]; ok && i < len(rec) {
				return strings.TrimSpace(rec[i])
			}
			return ""
		}
		for _, must := range []string{"name", "address", "group"} {
			if get(must) == "" {
				return t.at(line, fmt.Errorf("column %s is empty or missing", must))
			}
		}
		if err := t.row(line, get("name"), get("address"), get("group"), get("weight"), get("state"), false); err != nil {
			return err
		}
	}
}

// yaml reads groups of hosts: each group has hosts, vars that hold for them, and children, which are groups.
func (t *table) yaml(text []byte) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return t.at(yamlLine(err), err)
	}
	if len(doc.Content) == 0 {
		return t.at(1, errors.New("empty"))
	}
	return t.groups(doc.Content[0], nil)
}

// yamlLine digs the line out of an error of the library, which tells it in words only.
func yamlLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	n, _ := strconv.Atoi(strings.TrimRight(strings.SplitN(rest+" ", " ", 2)[0], ":"))
	return max(n, 1)
}

// each calls fn for the pairs of a mapping, and finds names that stand twice.
func (t *table) each(n *yaml.Node, what string, fn func(key, value *yaml.Node) error) error {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return t.at(n.Line, fmt.Errorf("%s is not a mapping", what))
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		if first := seen[k.Value]; first > 0 {
			return t.at(k.Line, fmt.Errorf("duplicate name %s, first on line %d", k.Value, first))
		}
		seen[k.Value] = k.Line
		if err := fn(k, n.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}

func (t *table) groups(n *yaml.Node, vars map[string]string) error {
	return t.each(n, "the list of groups", func(name, group *yaml.Node) error { return t.group(name.Value, group, vars) })
}

func (t *table) group(name string, n *yaml.Node, outer map[string]string) error {
	vars := map[string]string{}
	for k, v := range outer {
		vars[k] = v
	}
	var hosts, children *yaml.Node
	err := t.each(n, "group "+name, func(k, v *yaml.Node) error {
		switch k.Value {
		case "hosts":
			hosts = v
		case "children":
			children = v
		case "vars":
			return t.vars(v, vars)
		default:
			return t.at(k.Line, fmt.Errorf("group %s: unknown field %s: want hosts, vars or children", name, k.Value))
		}
		return nil
	})
	if err == nil && hosts != nil {
		err = t.each(hosts, "hosts of "+name, func(k, v *yaml.Node) error { return t.host(name, k, v, vars) })
	}
	if err == nil && children != nil {
		err = t.groups(children, vars)
	}
	return err
}

func (t *table) vars(n *yaml.Node, into map[string]string) error {
	return t.each(n, "vars", func(k, v *yaml.Node) error {
		if v.Kind == yaml.ScalarNode { // others are for other programs
			into[k.Value] = v.Value
		}
		return nil
	})
}

// host reads one host. Its address is in address, or in ansible_host with the port in uwsgi_port.
func (t *table) host(group string, k, v *yaml.Node, outer map[string]string) error {
	vars := map[string]string{}
	for k, v := range outer {
		vars[k] = v
	}
	if err := t.vars(v, vars); err != nil {
		return err
	}
	address := vars["address"]
	if address == "" {
		host := vars["ansible_host"]
		if host == "" {
			return t.at(k.Line, fmt.Errorf("server %s: missing address or ansible_host", k.Value))
		}
		if strings.Contains(host, ":") {
			host = "[" + strings.Trim(host, "[]") + "]"
		}
		address = host + ":" + cmp.Or(vars["uwsgi_port"], defaultPort)
	}
	return t.row(k.Line, k.Value, address, group, vars["weight"], vars["state"], true)
}
