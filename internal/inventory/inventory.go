// Package inventory reads the list of servers as configuration tools keep it: a CSV table with a
// header row, or YAML in the layout of Ansible, groups of hosts with variables.
package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"go.yaml.in/yaml/v3"

	"ryepaddle/internal/fault"
	"ryepaddle/internal/netaddr"
)

const (
	maxWeight   = 1000
	defaultPort = "3031" // by custom that of uwsgi
)

// Server is one server of the inventory.
type Server struct {
	Name   string
	Addr   netaddr.Addr
	Groups []string
	Zone   string // where it stands; empty: it is not said
	Weight int    // its part of the work beside the others'; 0 takes it out of use
	Line   int
}

// Error names the place of what is wrong.
type Error struct {
	File string
	Line int
	Err  error
}

var kind = fault.Define(
	"inventory.list",
	"An inventory cannot be read, names what cannot be, or may be cut off.",
	"Correct the line that is named, or have the tool that keeps the list write it anew; the list in "+
		"force stays meanwhile.",
)

// Fault implements fault.Classified.
func (e *Error) Fault() (*fault.Kind, fault.Location) {
	return kind, fault.Location{File: e.File, Line: e.Line}
}

func (e *Error) Error() string { return fmt.Sprintf("inventory: %s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns what is wrong.
func (e *Error) Unwrap() error { return e.Err }

// errNotDir is what the system says of a path below a file.
var errNotDir = syscall.ENOTDIR

// Read reads an inventory: a file by its ending, .csv, .yaml or .yml, or a folder of such files,
// taken as one. For YAML, host_vars and group_vars beside the file, or in the folder, are read as
// the tool that wrote it reads them.
func Read(path string) ([]Server, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, kind.New("inventory: %w", err)
	}
	files, dir := []string{path}, filepath.Dir(path)
	if info.IsDir() {
		dir = path
		if files, err = listFiles(path); err != nil {
			return nil, kind.New("inventory: %w", err)
		}
	}
	t := &table{byName: map[string]int{}, byAddr: map[netaddr.Addr]int{}}
	tree := newTree(t)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, kind.New("inventory: %w", err)
		}
		if err := t.read(file, text, tree); err != nil {
			return nil, err
		}
	}
	if err := tree.beside(dir); err != nil {
		return nil, err
	}
	return t.done(path, tree)
}

// listFiles gives the files of a folder in the order of their names, without those that editors and
// tools leave: hidden ones and copies.
func listFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		name := e.Name()
		hidden := strings.HasPrefix(name, ".") || strings.HasSuffix(name, "~")
		for _, end := range []string{".bak", ".orig", ".swp", ".tmp", ".rpmsave", ".cfg", ".retry"} {
			hidden = hidden || strings.HasSuffix(name, end)
		}
		if !hidden && !e.IsDir() {
			out = append(out, filepath.Join(dir, name))
		}
	}
	return out, nil
}

// Parse reads the text of a file by that name alone.
func Parse(path string, text []byte) ([]Server, error) {
	t := &table{byName: map[string]int{}, byAddr: map[netaddr.Addr]int{}}
	tree := newTree(t)
	if err := t.read(path, text, tree); err != nil {
		return nil, err
	}
	return t.done(path, tree)
}

// read reads one file of an inventory.
func (t *table) read(path string, text []byte, tree *tree) error {
	t.file = path
	text = bytes.TrimPrefix(text, []byte("\ufeff")) // as spreadsheets write it
	ending := strings.ToLower(filepath.Ext(path))
	if ending != ".csv" && ending != ".yaml" && ending != ".yml" {
		return kind.New("inventory: %s: neither .csv nor .yaml", path)
	}
	// What is cut off in the middle of a line may still read well, with half a name for a name.
	if len(text) > 0 && text[len(text)-1] != '\n' {
		return t.at(
			1+bytes.Count(text, []byte("\n")),
			errors.New("the last line has no end: the file may be cut off"),
		)
	}
	if ending == ".csv" {
		return t.csv(text)
	}
	return tree.add(text)
}

// done settles what was read.
func (t *table) done(path string, tree *tree) ([]Server, error) {
	if err := tree.settle(); err != nil {
		return nil, err
	}
	if len(t.servers) == 0 {
		t.file = path
		return nil, t.at(1, errors.New("no servers"))
	}
	return t.servers, nil
}

// table is an inventory as it is read.
type table struct {
	file    string
	servers []Server
	byName  map[string]int
	byAddr  map[netaddr.Addr]int
}

func (t *table) at(line int, err error) error { return &Error{t.file, line, err} }

// row checks one server.
func (t *table) row(line int, name, address string, groups []string, hall, weight, state string) error {
	s := Server{Name: name, Groups: groups, Zone: hall, Weight: 1, Line: line}
	if name == "" {
		return t.at(line, errors.New("column name is empty"))
	}
	var err error
	if s.Addr, err = netaddr.Parse(address); err != nil || !s.Addr.IsUnix() && s.Addr.IP.Port() == 0 {
		return t.at(line, fmt.Errorf("server %s: bad address %q: want IP:PORT or unix:PATH", name, address))
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
	if i, known := t.byName[name]; known {
		if other := t.servers[i]; other.Zone != hall {
			return t.at(
				line,
				fmt.Errorf(
					"server %s is in hall %q, and in %q on line %d",
					name,
					hall,
					other.Zone,
					other.Line,
				),
			)
		}
		return t.at(line, fmt.Errorf("duplicate name %s, first on line %d", name, t.servers[i].Line))
	}
	// One process under two names would get two parts of the work, and a hand-in that it had a
	// second time.
	if i, known := t.byAddr[s.Addr]; known {
		return t.at(
			line,
			fmt.Errorf(
				"server %s has the address of %s on line %d",
				name,
				t.servers[i].Name,
				t.servers[i].Line,
			),
		)
	}
	t.byName[name], t.byAddr[s.Addr] = len(t.servers), len(t.servers)
	t.servers = append(t.servers, s)
	return nil
}

// csv reads a table with a header row. Columns may stand in any order, others are skipped, # begins
// a comment.
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
		names, err := expand(get("name"))
		if err == nil && len(names) > 1 {
			err = fmt.Errorf("name %q stands for %d hosts, and one address", get("name"), len(names))
		}
		if err != nil {
			return t.at(line, err)
		}
		if err := t.row(
			line,
			get("name"),
			get("address"),
			[]string{get("group")},
			get("hall"),
			get("weight"),
			get("state"),
		); err != nil {
			return err
		}
	}
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
