// Package config reads what the runner is told: the platform's JSON and the operator's file. Both
// are checked at the start, and an error names the file, the field and, where it can, the line.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/fault"
	"ryepaddle/internal/simwire"
)

// What can be wrong with what the program is told.
var (
	unreadableKind = fault.Define(
		"config.unreadable",
		"A file that the program is told of is not there, or may not be read.",
		"See that the path is right and that the program's user may read the file.",
	)
	syntaxKind = fault.Define(
		"config.syntax",
		"The platform's file is not JSON, or a field has a value of another kind.",
		"Write the file anew, whole: it may be cut off at the line that is named.",
	)
	fieldKind = fault.Define("config.field", "A field is missing, or has a value that it cannot have.",
		"Correct the field that is named; runner check reads the files without starting anything.")
	settingsKind = fault.Define(
		"config.settings",
		"The settings lack what the module cannot do without, or contradict themselves.",
		"Correct the setting that is named where the platform's configuration is made; the value is "+
			"told beside it.",
	)
	changedKind = fault.Define(
		"config.changed",
		"A file at HUP lacks a key that the one in force has, or changes what holds for the life of the "+
			"program.",
		"Give the key its value again, or start the program anew if the change is meant.",
	)
)

// Platform is what the platform tells a runner.
type Platform struct {
	Name           string
	Listen         netip.AddrPort
	Engine         netip.AddrPort
	Registry       netip.AddrPort
	Backend        netip.AddrPort
	Admin          netip.AddrPort // the operators' door; not valid: there is none
	Seed           uint64
	StopTimeout    int64 // microseconds from the notice to leave to the end
	MaxDescriptors int
	MemoryMB       int
	Settings       admission.Settings
	Gauges         []simwire.Gauge
	file           string
	decoded        any // the file as it was decoded
}

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

type platformLimits struct {
	MemoryMB       float64 `json:"memory_mb"`
	MaxDescriptors int     `json:"sockets"`
}

// adminAddressVariable names the operators' door where the file does not.
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
	if door := os.Getenv(adminAddressVariable); door != "" && !p.Admin.IsValid() {
		if p.Admin, err = netip.ParseAddrPort(door); err != nil {
			return nil, fieldKind.New("config: %s: %w", adminAddressVariable, err).At("", 0, adminAddressVariable)
		}
	}
	return p, nil
}

// ParsePlatform checks what the platform's file says.
func ParsePlatform(text []byte) (*Platform, error) {
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, jsonError(text, err)
	}
	p := &Platform{
		Name:           f.Name,
		StopTimeout:    int64(f.StopMs * 1000),
		MaxDescriptors: f.Limits.MaxDescriptors,
		MemoryMB:       int(f.Limits.MemoryMB),
	}
	if p.Name == "" {
		return nil, fieldError(text, "name", "missing")
	}
	for _, a := range []struct {
		name, text string
		to         *netip.AddrPort
		must       bool
	}{
		{"listen", f.Listen, &p.Listen, true},
		{"engine", f.Engine, &p.Engine, false},
		{"roster", f.Roster, &p.Registry, false},
		{"backend", f.Backend, &p.Backend, false},
		{"ops", f.Ops, &p.Admin, false},
	} {
		if a.text == "" && !a.must {
			continue
		}
		addr, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return nil, fieldError(text, a.name, err.Error())
		}
		*a.to = addr
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fieldError(text, "seed", "not a number in hex")
		}
		p.Seed = seed
	}
	if !(f.StopMs > 0) {
		return nil, fieldError(text, "stop_ms", "not above 0")
	}
	if p.MaxDescriptors < 32 || p.MemoryMB < 16 {
		return nil, fieldError(text, "limits", "sockets under 32 or memory_mb under 16")
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

// jsonError adds the line to an error of the decoder.
func jsonError(text []byte, err error) error {
	at := int64(-1)
	switch e := err.(type) {
	case *json.SyntaxError:
		at = e.Offset
	case *json.UnmarshalTypeError:
		at = e.Offset
	}
	if at < 0 {
		return syntaxKind.Wrap(err)
	}
	line := lineOf(text, int(at))
	return syntaxKind.New("line %d: %w", line, err).At("", line, "")
}

func fieldError(text []byte, name, what string) error {
	if i := bytes.Index(text, []byte(`"`+name+`"`)); i >= 0 {
		line := lineOf(text, i)
		return fieldKind.New("line %d: field %s: %s", line, name, what).At("", line, name)
	}
	return fieldKind.New("field %s: %s", name, what).At("", 0, name)
}

func lineOf(text []byte, at int) int {
	return 1 + bytes.Count(text[:max(min(at, len(text)), 0)], []byte("\n"))
}
