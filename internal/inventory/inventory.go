// Package inventory reads lists of servers in the formats of configuration tools: a CSV table with
// a header row, or YAML in the layout of an Ansible inventory, with groups of hosts and variables.
// Package config reads the inventory at start and at SIGHUP, package discovery when its files
// change.
package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"ryepaddle/internal/fault"
	"ryepaddle/internal/netaddr"
)

const (
	maxWeight     = 1000
	defaultWeight = 1
	defaultPort   = "3031" // of uwsgi
)

// Columns of a CSV file. All but name and group are variables of a YAML file too.
const (
	columnName    = "name"
	columnGroup   = "group"
	columnAddress = "address"
	columnZone    = "hall"
	columnWeight  = "weight"
	columnState   = "state"
)

// Variables of a YAML file that give the address of a host without the variable columnAddress.
const (
	variableIP   = "ansible_host"
	variablePort = "uwsgi_port"
)

// Names of the folders with variables beside a YAML file, as in Ansible.
const (
	groupVariablesDir = "group_vars"
	hostVariablesDir  = "host_vars"
)

// Server is one server of the inventory.
type Server struct {
	Name   string
	Addr   netaddr.Addr
	Groups []string
	Zone   string // empty: unknown
	Weight int    // share of the requests relative to other servers; 0: disabled
	Line   int    // line of the file that names the server, from 1
}

// Error reports what is wrong with an inventory, and where.
type Error struct {
	File string
	Line int // from 1
	Err  error
}

var listKind = fault.Define(
	"inventory.list",
	"An inventory cannot be read, is invalid, or may be truncated.",
	"Correct the line that is named, or let the tool that maintains the list write it again; the list in "+
		"force stays meanwhile.",
)

// Fault implements fault.Classified.
func (e *Error) Fault() (*fault.Kind, fault.Location) {
	return listKind, fault.Location{File: e.File, Line: e.Line}
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("inventory: %s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNotDir is the system's error for a path with a file where a folder should be.
var errNotDir = syscall.ENOTDIR

// Read reads an inventory: a file, whose format follows from its extension .csv, .yaml or .yml, or
// a folder of such files. For YAML, the folders host_vars and group_vars beside the file or in the
// folder are read as Ansible reads them. All errors have the kind inventory.list.
func Read(path string) ([]Server, error) {
	files, dir, err := mainFiles(path)
	if err != nil {
		return nil, listKind.New("inventory: %w", err)
	}
	t := newTable()
	groups := newHierarchy(t)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, listKind.New("inventory: %w", err)
		}
		if err := t.read(file, text, groups); err != nil {
			return nil, err
		}
	}
	if err := groups.readVariableFolders(dir); err != nil {
		return nil, err
	}
	return t.finish(path, groups)
}

// mainFiles returns the files of an inventory without those of its variable folders, and the folder
// that contains the variable folders.
func mainFiles(path string) (files []string, dir string, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, "", err
	}
	if !info.IsDir() {
		return []string{path}, filepath.Dir(path), nil
	}
	files, err = listFiles(path)
	return files, path, err
}

// ignoredExtensions are the extensions of copies that editors and tools leave in a folder.
var ignoredExtensions = []string{".bak", ".orig", ".swp", ".tmp", ".rpmsave", ".cfg", ".retry"}

// listFiles returns the files of a folder, ordered by name, without hidden files and the copies that
// editors and tools leave.
func listFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var files []string
	for _, entry := range entries {
		name := entry.Name()
		hidden := strings.HasPrefix(name, ".") || strings.HasSuffix(name, "~")
		ignored := slices.Contains(ignoredExtensions, filepath.Ext(name))
		if !hidden && !ignored && !entry.IsDir() {
			files = append(files, filepath.Join(dir, name))
		}
	}
	return files, nil
}

// Parse parses the text of a single file. Its format follows from the extension of path.
func Parse(path string, text []byte) ([]Server, error) {
	t := newTable()
	groups := newHierarchy(t)
	if err := t.read(path, text, groups); err != nil {
		return nil, err
	}
	return t.finish(path, groups)
}

// read reads one file of an inventory.
func (t *table) read(path string, text []byte, groups *hierarchy) error {
	t.file = path
	text = bytes.TrimPrefix(text, []byte("\ufeff")) // byte order mark, which spreadsheets write
	extension := strings.ToLower(filepath.Ext(path))
	if extension != ".csv" && extension != ".yaml" && extension != ".yml" {
		return listKind.New("inventory: %s: neither .csv nor .yaml", path)
	}
	// A file that was truncated within a line may still be valid, with part of a name.
	if len(text) > 0 && text[len(text)-1] != '\n' {
		return t.errorAt(
			1+bytes.Count(text, []byte("\n")),
			errors.New("the last line has no newline: the file may be truncated"),
		)
	}
	if extension == ".csv" {
		return t.readCSV(text)
	}
	return groups.readYAML(text)
}

// finish resolves the hosts of the YAML files and returns all servers.
func (t *table) finish(path string, groups *hierarchy) ([]Server, error) {
	if err := groups.resolve(); err != nil {
		return nil, err
	}
	if len(t.servers) == 0 {
		t.file = path
		return nil, t.errorAt(1, errors.New("no servers"))
	}
	return t.servers, nil
}
