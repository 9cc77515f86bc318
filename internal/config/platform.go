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
	"strings"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/fault"
	"ryepaddle/internal/simwire"
)

// What can be wrong with what the program is told.
var (
	unreadable = fault.Define(
		"config.unreadable",
		"A file that the program is told of is not there, or may not be read.",
		"See that the path is right and that the program's user may read the file.",
	)
	syntax = fault.Define(
		"config.syntax",
		"The platform's file is not JSON, or a field has a value of another kind.",
		"Write the file anew, whole: it may be cut off at the line that is named.",
	)
	field = fault.Define("config.field", "A field is missing, or has a value that it cannot have.",
		"Correct the field that is named; runner check reads the files without starting anything.")
	settings = fault.Define(
		"config.settings",
		"The settings lack what the module cannot do without, or contradict themselves.",
		"Correct the setting that is named where the platform's configuration is made; the value is "+
			"told beside it.",
	)
	changed = fault.Define(
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
	shape          any // the file as it was decoded
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
	Limits   limits          `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

type limits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// doorVar names the operators' door where the file does not.
const doorVar = "ROUTER_OPS"

// ReadPlatform reads and checks the platform's file.
func ReadPlatform(path string) (*Platform, error) {
	if path == "" {
		return nil, unreadable.New("config: ROUTER_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadable.New("config: %w", err).At(path, 0, "")
	}
	p, err := ParsePlatform(text)
	if err != nil {
		if e := fault.Find(err); e != nil {
			e.Location.File = path
		}
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	p.file = path
	if door := os.Getenv(doorVar); door != "" && !p.Admin.IsValid() {
		if p.Admin, err = netip.ParseAddrPort(door); err != nil {
			return nil, field.New("config: %s: %w", doorVar, err).At("", 0, doorVar)
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
		MaxDescriptors: f.Limits.Sockets,
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
	err := json.Unmarshal(text, &p.shape)
	if err != nil {
		return nil, jsonError(text, err)
	}
	if p.Settings, p.Gauges, err = parseSettings(f.Settings); err != nil {
		line := lineOf(text, bytes.Index(text, []byte(`"settings"`)))
		return nil, settings.New("line %d: field settings: %w", line, err).At("", line, "settings")
	}
	return p, nil
}

// parseSettings lays the nested object out as the paths of the bench's wire, which are read in one
// place for both.
func parseSettings(raw json.RawMessage) (admission.Settings, []simwire.Gauge, error) {
	if len(raw) == 0 {
		return admission.Settings{}, nil, fmt.Errorf("missing")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return admission.Settings{}, nil, err
	}
	pairs := map[string]string{}
	flatten(pairs, "", v)
	return simwire.Settings(pairs)
}

func flatten(out map[string]string, path string, v any) {
	join := func(k string) string { return strings.TrimPrefix(path+"."+k, ".") }
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(out, join(k), x)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, x := range v {
			if _, ok := x.(map[string]any); ok {
				out[join("count")] = strconv.Itoa(len(v))
				flatten(out, join(strconv.Itoa(i)), x)
			} else {
				plain = append(plain, scalar(x))
			}
		}
		if len(plain) > 0 {
			out[path] = strings.Join(plain, ",")
		}
	default:
		out[path] = scalar(v)
	}
}

func scalar(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
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
		return syntax.Wrap(err)
	}
	line := lineOf(text, int(at))
	return syntax.New("line %d: %w", line, err).At("", line, "")
}

func fieldError(text []byte, name, what string) error {
	if i := bytes.Index(text, []byte(`"`+name+`"`)); i >= 0 {
		line := lineOf(text, i)
		return field.New("line %d: field %s: %s", line, name, what).At("", line, name)
	}
	return field.New("field %s: %s", name, what).At("", 0, name)
}

func lineOf(text []byte, at int) int {
	return 1 + bytes.Count(text[:max(min(at, len(text)), 0)], []byte("\n"))
}
