// Package yamldoc decodes YAML files strictly: unknown fields are errors, and an error about a
// value names the file, the line and the field.
package yamldoc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"ryepaddle/internal/fault"
)

// Document is a decoded file.
type Document struct {
	component string
	file      string
	root      yaml.Node
}

// Error reports a file that cannot be decoded, or an invalid value in it.
type Error struct {
	Component string // part of the program that decodes the file
	File      string
	Line      int    // from 1; 0: unknown
	Field     string // such as routes.0.class; empty: the whole file
	Reason    string
}

var kind = fault.Define(
	"file.field",
	"A YAML file is empty or malformed, has an unknown field, or a field has an invalid value.",
	"Correct the field or line that is named; runner check checks the files without starting the program, and "+
		"runner schema lists the fields.",
)

// Fault implements fault.Classified.
func (e *Error) Fault() (*fault.Kind, fault.Location) {
	return kind, fault.Location{File: e.File, Line: e.Line, Field: e.Field}
}

// Error implements error.
func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %s: %s", e.Component, at, e.Reason)
	}
	return fmt.Sprintf("%s: %s: field %s: %s", e.Component, at, e.Field, e.Reason)
}

// Decode decodes text into v, a pointer to a struct that holds the default values. Errors are of type
// *Error, and name the component and the file.
func Decode(component, file string, text []byte, v any) (*Document, error) {
	doc := &Document{component: component, file: file}
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	err := d.Decode(v)
	if errors.Is(err, io.EOF) {
		return nil, &Error{Component: component, File: file, Reason: "empty"}
	}
	if err != nil {
		return nil, doc.fromYAML(err)
	}
	if err := yaml.Unmarshal(text, &doc.root); err != nil {
		return nil, doc.fromYAML(err)
	}
	return doc, nil
}

// fromYAML converts the first error that the YAML library reports, with its line and field if it names
// them.
func (d *Document) fromYAML(err error) error {
	text := strings.TrimPrefix(strings.TrimPrefix(err.Error(), "yaml: "), "unmarshal errors:\n")
	text, _, _ = strings.Cut(strings.TrimSpace(text), "\n")
	e := &Error{Component: d.component, File: d.file, Reason: text}
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if n, reason, ok := strings.Cut(rest, ": "); ok {
			if line, err := strconv.Atoi(n); err == nil {
				e.Line = line
				e.Reason = reason
			}
		}
	}
	if rest, ok := strings.CutPrefix(e.Reason, "field "); ok {
		if name, reason, ok := strings.Cut(rest, " "); ok {
			e.Field = name
			e.Reason = reason
			if strings.HasPrefix(reason, "not found") {
				e.Reason = "unknown"
			}
		}
	}
	return e
}

// Errorf returns an *Error for a field of the document, with its line.
func (d *Document) Errorf(field, format string, v ...any) error {
	return &Error{
		Component: d.component,
		File:      d.file,
		Line:      d.Line(field),
		Field:     field,
		Reason:    fmt.Sprintf(format, v...),
	}
}

// Line returns the line of a field such as routes.0.class, or of the innermost part of it that
// exists.
func (d *Document) Line(field string) int {
	node := &d.root
	line := 1
	if len(node.Content) > 0 {
		node = node.Content[0]
	}
	for _, part := range strings.Split(field, ".") {
		key, value := child(node, part)
		if value == nil {
			return line
		}
		node = value
		line = key.Line
	}
	return line
}

// child returns the value of an entry of a list or a mapping, and as key the node that has its line: the
// key of the mapping, or the entry itself in a list. Both are nil if there is no such entry.
func child(node *yaml.Node, part string) (key, value *yaml.Node) {
	switch node.Kind {
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(part); err == nil && i < len(node.Content) {
			return node.Content[i], node.Content[i]
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == part {
				key = node.Content[i]
				value = node.Content[i+1]
			}
		}
	}
	return key, value
}
