package config

import (
	"bytes"
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

	"shalesail"
	"shalesail/internal/inventory"
)

// Operator is the operator's file: the second front and the servers that it reaches.
type Operator struct {
	Listen      string `yaml:"listen"`
	HealthPath  string `yaml:"health_path"`
	Tenant      tenant `yaml:"tenant"`
	KeyVar      string `yaml:"key_var"`
	Limits      Limits `yaml:"limits"`
	Inventory   string `yaml:"inventory"`
	Routes      []Path `yaml:"routes"`
	file        string
	doc         yaml.Node
	ListenAddr  netip.AddrPort     `yaml:"-"`
	Servers     []inventory.Server `yaml:"-"`
	GroupsByUse map[string]string  `yaml:"-"` // class name to group, for classes that run on uwsgi servers
}

type tenant struct {
	Var     string `yaml:"var"`
	Default string `yaml:"default"`
}

// Limits bound what the second front and its servers may take.
type Limits struct {
	Connections int     `yaml:"connections"`
	ServerConns int     `yaml:"server_connections"`
	VarsKB      int     `yaml:"vars_kb"`
	BodyKB      int     `yaml:"body_kb"`
	ResponseKB  int     `yaml:"response_kb"`
	RequestKB   float64 `yaml:"request_kb"`
	ReadMs      int64   `yaml:"read_ms"`
	ConnectMs   int64   `yaml:"connect_ms"`
	Tries       int     `yaml:"tries"`
}

// Path leads the paths below a prefix to a class, and its requests to a group of servers. Without a group they run
// on the platform's engine.
type Path struct {
	Path       string `yaml:"path"`
	Class      string `yaml:"class"`
	Group      string `yaml:"group"`
	DeadlineMs int64  `yaml:"deadline_ms"`
}

// ReadOperator reads and checks the operator's file beside what the platform has told.
func ReadOperator(path string, p *Platform) (*Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return parseOperator(path, text, p)
}

func parseOperator(path string, text []byte, p *Platform) (*Operator, error) {
	o := &Operator{file: path, KeyVar: "HTTP_X_DEDUPE_KEY", Tenant: tenant{Var: "HTTP_X_CUSTOMER"},
		Limits: Limits{Connections: 128, ServerConns: 64, VarsKB: 16, BodyKB: 64, ResponseKB: 64, RequestKB: 32,
			ReadMs: 2500, ConnectMs: 1000, Tries: 2}, GroupsByUse: map[string]string{}}
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(o); err == io.EOF {
		return nil, fmt.Errorf("config: %s: empty", path)
	} else if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	if err := yaml.Unmarshal(text, &o.doc); err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	for _, check := range []func(*Platform) error{o.checkFront, o.checkLimits, o.checkInventory, o.checkRoutes} {
		if err := check(p); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// Whole reports what is missing for each class to run somewhere. The operator's file may be nil.
func Whole(p *Platform, o *Operator) error {
	for _, c := range p.Settings.Classes {
		switch {
		case o != nil && o.GroupsByUse[c.Name] != "":
		case !p.Engine.IsValid():
			return fmt.Errorf("config: field engine: missing, and class %s runs on no other servers", c.Name)
		case c.Calls && p.Settings.Dependency != shalesail.DependencyNone && !p.Backend.IsValid():
			return fmt.Errorf("config: field backend: missing, and class %s calls it", c.Name)
		}
	}
	return nil
}

// bad is an error that names the file, the line and the field.
func (o *Operator) bad(field, format string, v ...any) error {
	return fmt.Errorf("config: %s:%d: field %s: %s", o.file, o.line(field), field, fmt.Sprintf(format, v...))
}

// line is where a field such as routes.0.class stands, or the nearest thing round it that does.
func (o *Operator) line(field string) int {
	n, line := &o.doc, 1
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

func (o *Operator) checkFront(p *Platform) (err error) {
	if o.ListenAddr, err = netip.ParseAddrPort(o.Listen); err != nil {
		return o.bad("listen", "%v", err)
	}
	if o.HealthPath != "" && !strings.HasPrefix(o.HealthPath, "/") {
		return o.bad("health_path", "%q does not begin with /", o.HealthPath)
	}
	known := func(t shalesail.Tenant) bool { return t.Name == o.Tenant.Default }
	if o.Tenant.Default != "" && !slices.ContainsFunc(p.Settings.Tenants, known) {
		return o.bad("tenant.default", "unknown tenant %q", o.Tenant.Default)
	}
	return nil
}

func (o *Operator) checkLimits(p *Platform) error {
	l := &o.Limits
	for _, f := range []struct {
		name           string
		v, least, most float64
	}{
		{"connections", float64(l.Connections), 1, 10_000},
		{"server_connections", float64(l.ServerConns), 1, 10_000},
		{"vars_kb", float64(l.VarsKB), 1, 64},
		{"body_kb", float64(l.BodyKB), 1, 64 << 10},
		{"response_kb", float64(l.ResponseKB), 1, 64 << 10},
		{"request_kb", l.RequestKB, 0.1, 1999},
		{"read_ms", float64(l.ReadMs), 10, 600_000},
		{"connect_ms", float64(l.ConnectMs), 1, 60_000},
		{"tries", float64(l.Tries), 1, 10},
	} {
		if !(f.v >= f.least && f.v <= f.most) {
			return o.bad("limits."+f.name, "%v is not from %v to %v", f.v, f.least, f.most)
		}
	}
	// Each caller may have a request, its body, and a response on the way in and out.
	need := l.Connections * (l.VarsKB + 2*l.BodyKB + 2*l.ResponseKB) / 1024
	if need > p.MemoryMB/4 {
		return o.bad("limits", "connections of that size may need %d MB, over a quarter of memory_mb", need)
	}
	// The platform's balancers may open half; a quarter is for this front and as many connections to servers.
	if l.Connections > p.Sockets/8 {
		return o.bad("limits.connections", "%d is over an eighth of the %d sockets", l.Connections, p.Sockets)
	}
	return nil
}

func (o *Operator) checkInventory(*Platform) (err error) {
	if o.Inventory == "" {
		return nil
	}
	path := o.Inventory
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(o.file), path)
	}
	if o.Servers, err = inventory.Read(path); err != nil {
		var at *inventory.Error
		if errors.As(err, &at) {
			return err // it names its own file and line
		}
		return o.bad("inventory", "%v", err)
	}
	return nil
}

func (o *Operator) checkRoutes(p *Platform) error {
	if len(o.Routes) == 0 {
		return o.bad("routes", "missing")
	}
	seen := map[string]bool{}
	byClass := map[string]string{}
	for i, r := range o.Routes {
		at := "routes." + strconv.Itoa(i)
		class := slices.IndexFunc(p.Settings.Classes, func(c shalesail.Class) bool { return c.Name == r.Class })
		group, known := byClass[r.Class]
		inGroup := func(s inventory.Server) bool { return s.Weight > 0 && slices.Contains(s.Groups, r.Group) }
		switch {
		case !strings.HasPrefix(r.Path, "/"):
			return o.bad(at+".path", "%q does not begin with /", r.Path)
		case seen[r.Path]:
			return o.bad(at+".path", "%s stands twice", r.Path)
		case class < 0:
			return o.bad(at+".class", "unknown class %q", r.Class)
		case known && group != r.Group:
			return o.bad(at+".group", "class %s goes to %q elsewhere: its keys need one place", r.Class, group)
		case r.Group != "" && !slices.ContainsFunc(o.Servers, inGroup):
			return o.bad(at+".group", "no enabled server of the inventory is in %q", r.Group)
		case r.Group == "" && !p.Engine.IsValid():
			return o.bad(at+".group", "missing, and the platform names no engine")
		case r.DeadlineMs < 0 || r.DeadlineMs*1000 > p.Settings.Classes[class].Deadline.Microseconds():
			return o.bad(at+".deadline_ms", "%d is not from 1 to the class's %d", r.DeadlineMs,
				p.Settings.Classes[class].Deadline.Milliseconds())
		}
		seen[r.Path], byClass[r.Class] = true, r.Group
		if r.Group != "" {
			o.GroupsByUse[r.Class] = r.Group
		}
	}
	return nil
}
