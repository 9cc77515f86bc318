// Package yamldoc reads YAML files that are checked: unknown fields are refused, and what is wrong
// with a value is told with the file, the line and the field.
package yamldoc

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"ryepaddle/internal/fault"
)

// Document is one file that was read.
type Document struct {
	part, file string
	root       yaml.Node
}

// Error is what is wrong with a file.
type Error struct {
	Component string // which part of the program says so
	File      string
	Line      int    // 0: none is known
	Field     string // such as routes.0.class; empty: the file as a whole
	Reason    string
}

var kind = fault.Define(
	"file.field",
	"A YAML file has a field that is not known, or a value that the field cannot have.",
	"Correct the line that is named; runner check reads the files without starting anything, and runner "+
		"schema lists the fields.",
)

// Fault implements fault.Classified.
func (e *Error) Fault() (*fault.Kind, fault.Location) {
	return kind, fault.Location{File: e.File, Line: e.Line, Field: e.Field}
}

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

// Decode reads text into v, a pointer to a struct that holds the defaults. part names who asks, for
// errors.
func Decode(part, file string, text []byte, v any) (*Document, error) {
	doc := &Document{part: part, file: file}
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(v); err == io.EOF {
		return nil, &Error{Component: part, File: file, Reason: "empty"}
	} else if err != nil {
		return nil, doc.fromYAML(err)
	}
	if err := yaml.Unmarshal(text, &doc.root); err != nil {
		return nil, doc.fromYAML(err)
	}
	return doc, nil
}

// fromYAML takes the line out of the library's first complaint, where it names one.
func (d *Document) fromYAML(err error) error {
	text := strings.TrimPrefix(strings.TrimPrefix(err.Error(), "yaml: "), "unmarshal errors:\n")
	text, _, _ = strings.Cut(strings.TrimSpace(text), "\n")
	e := &Error{Component: d.part, File: d.file, Reason: text}
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if n, what, ok := strings.Cut(rest, ": "); ok {
			if line, err := strconv.Atoi(n); err == nil {
				e.Line, e.Reason = line, what
			}
		}
	}
	if rest, ok := strings.CutPrefix(e.Reason, "field "); ok {
		if name, what, ok := strings.Cut(rest, " "); ok {
			if e.Field, e.Reason = name, what; strings.HasPrefix(what, "not found") {
				e.Reason = "unknown"
			}
		}
	}
	return e
}

// Errorf is an error that names the file, the line and the field.
func (d *Document) Errorf(field, format string, v ...any) error {
	return &Error{
		Component: d.part,
		File:      d.file,
		Line:      d.Line(field),
		Field:     field,
		Reason:    fmt.Sprintf(format, v...),
	}
}

// Line is where a field such as routes.0.class stands, or the nearest thing round it that does.
func (d *Document) Line(field string) int {
	n, line := &d.root, 1
	if len(n.Content) > 0 {
		n = n.Content[0]
	}
	for _, part := range strings.Split(field, ".") {
		var next *yaml.Node
		if i, err := strconv.Atoi(part); err == nil && n.Kind == yaml.SequenceNode && i < len(n.Content) {
			next = n.Content[i]
			line = next.Line
		}
		for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == part {
				next = n.Content[i+1]
				line = n.Content[i].Line
			}
		}
		if next == nil {
			return line
		}
		n = next
	}
	return line
}
