// Package config reads and checks the configuration of the runner: the platform's file (JSON) and
// the operator's file (YAML). It maps the names in these files to the terms of the code. An error
// names the file, the field and, if it is known, the line.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/fault"
	"ryepaddle/internal/simwire"
	"ryepaddle/internal/wallclock"
)

// Kinds of errors.
var (
	unreadableKind = fault.Define(
		"config.unreadable",
		"A configuration file is not named, does not exist, or cannot be read.",
		"Check the path, and that the program's user may read the file.",
	)
	syntaxKind = fault.Define(
		"config.syntax",
		"The platform's file is not valid JSON, or a field has a value of the wrong type.",
		"Write the whole file again: it may be truncated at the line that is named.",
	)
	fieldKind = fault.Define("config.field", "A field is missing or has an invalid value.",
		"Correct the field that is named; runner check checks the files without starting the program.")
	settingsKind = fault.Define(
		"config.settings",
		"A required setting is missing, a value is invalid, or settings contradict each other.",
		"Correct the named setting where the platform's configuration is generated; the error gives its "+
			"value.",
	)
	changedKind = fault.Define(
		"config.changed",
		"The platform's file at SIGHUP lacks a key of the file in force, or the value of a "+
			"key has another type.",
		"Write the whole file again with the named key, or restart the program if the change is intended.",
	)
)

// Platform is the platform's file, decoded and checked.
type Platform struct {
	Name           string
	Listen         netip.AddrPort
	Engine         netip.AddrPort
	Registry       netip.AddrPort
	Backend        netip.AddrPort
	Admin          netip.AddrPort // admin listener; invalid: none
	Seed           uint64
	StopTimeout    time.Duration // from the notice to stop until the platform kills the process
	MaxDescriptors int
	MemoryMB       int
	Settings       admission.Settings
	Gauges         []simwire.Gauge
	file           string
	decoded        any // the JSON value of the file, to compare its keys with those of the next file
}

// platformFile is the platform's file as it is encoded in JSON.
type platformFile struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Engine   string          `json:"engine"`
	Roster   string          `json:"roster"`
	Backend  string          `json:"backend"`
	Ops      string          `json:"ops"`
	Seed     string          `json:"seed"`
	StopMs   float64         `json:"stop_ms"`
	Limits   platformLimits  `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

// Lower bounds of the process limits. The program does not start with less.
const (
	minDescriptors = 32
	minMemoryMB    = 16
)

// platformLimits holds the limits that the platform sets for the process.
type platformLimits struct {
	MemoryMB       float64 `json:"memory_mb"`
	MaxDescriptors int     `json:"sockets"`
}

// adminAddressVariable is the environment variable with the address of the admin listener. It is used
// if the platform's file has no such address.
const adminAddressVariable = "ROUTER_OPS"

// ReadPlatform reads and checks the platform's file.
func ReadPlatform(path string) (*Platform, error) {
	if path == "" {
		return nil, unreadableKind.New("config: ROUTER_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadableKind.New("config: %w", err).At(path, 0, "")
	}
	p, err := ParsePlatform(text)
	if err != nil {
		if e := fault.Find(err); e != nil {
			e.Location.File = path
		}
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	p.file = path
	if address := os.Getenv(adminAddressVariable); address != "" && !p.Admin.IsValid() {
		if p.Admin, err = netip.ParseAddrPort(address); err != nil {
			invalid := fieldKind.New("config: %s: %w", adminAddressVariable, err)
			return nil, invalid.At("", 0, adminAddressVariable)
		}
	}
	return p, nil
}

// ParsePlatform decodes and checks the text of a platform's file.
func ParsePlatform(text []byte) (*Platform, error) {
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, jsonError(text, err)
	}
	p := &Platform{
		Name:           f.Name,
		StopTimeout:    wallclock.Micros(f.StopMs * 1000).Duration(),
		MaxDescriptors: f.Limits.MaxDescriptors,
		MemoryMB:       int(f.Limits.MemoryMB),
	}
	if p.Name == "" {
		return nil, fieldError(text, "name", "missing")
	}
	if err := p.parseAddresses(text, &f); err != nil {
		return nil, err
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fieldError(text, "seed", "not a hexadecimal number")
		}
		p.Seed = seed
	}
	if !(f.StopMs > 0) {
		return nil, fieldError(text, "stop_ms", "not above 0")
	}
	if p.MaxDescriptors < minDescriptors || p.MemoryMB < minMemoryMB {
		reason := fmt.Sprintf("sockets under %d or memory_mb under %d", minDescriptors, minMemoryMB)
		return nil, fieldError(text, "limits", reason)
	}
	err := json.Unmarshal(text, &p.decoded)
	if err != nil {
		return nil, jsonError(text, err)
	}
	if p.Settings, p.Gauges, err = parseSettings(f.Settings); err != nil {
		line := lineOf(text, bytes.Index(text, []byte(`"settings"`)))
		return nil, settingsKind.New("line %d: field settings: %w", line, err).At("", line, "settings")
	}
	return p, nil
}

// parseAddresses parses the addresses of a platform's file. All of them except listen are optional.
func (p *Platform) parseAddresses(text []byte, f *platformFile) error {
	for _, field := range []struct {
		name     string
		address  string
		target   *netip.AddrPort
		required bool
	}{
		{"listen", f.Listen, &p.Listen, true},
		{"engine", f.Engine, &p.Engine, false},
		{"roster", f.Roster, &p.Registry, false},
		{"backend", f.Backend, &p.Backend, false},
		{"ops", f.Ops, &p.Admin, false},
	} {
		if field.address == "" && !field.required {
			continue
		}
		addr, err := netip.ParseAddrPort(field.address)
		if err != nil {
			return fieldError(text, field.name, err.Error())
		}
		*field.target = addr
	}
	return nil
}

// jsonError adds the line to an error of the JSON decoder, if the error has an offset.
func jsonError(text []byte, err error) error {
	at := int64(-1)
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		at = syntaxError.Offset
	case errors.As(err, &typeError):
		at = typeError.Offset
	}
	if at < 0 {
		return syntaxKind.Wrap(err)
	}
	line := lineOf(text, int(at))
	return syntaxKind.New("line %d: %w", line, err).At("", line, "")
}

// fieldError returns an error for a field, with its line if the text has the field.
func fieldError(text []byte, name, reason string) error {
	if i := bytes.Index(text, []byte(`"`+name+`"`)); i >= 0 {
		line := lineOf(text, i)
		return fieldKind.New("line %d: field %s: %s", line, name, reason).At("", line, name)
	}
	return fieldKind.New("field %s: %s", name, reason).At("", 0, name)
}

// lineOf returns the line, from 1, of the byte at an offset in the text.
func lineOf(text []byte, at int) int {
	return 1 + bytes.Count(text[:max(min(at, len(text)), 0)], []byte("\n"))
}
