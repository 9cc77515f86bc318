package config

import (
	"slices"
	"strconv"
	"strings"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/inventory"
	"ryepaddle/internal/match"
)

// Route assigns the requests below a path prefix to a class and to a group of servers. Without a
// group the requests run on the platform's engine.
type Route struct {
	Path  string `yaml:"path"`
	Class string `yaml:"class"`
	Group string `yaml:"group"`
	// DeadlineMs is the time in ms that callers wait for an answer; default 0: the timeout of the
	// class.
	DeadlineMs int64 `yaml:"deadline_ms"`
	// Condition is an expression that must be true for a request; empty: the route takes all
	// requests below the path.
	Condition string `yaml:"when"`
	// Key is an expression for the idempotency key; empty: the variable key_var holds it.
	Key           string            `yaml:"key"`
	KeyExpression *match.Expression `yaml:"-"` // Key, compiled; nil: it is empty
}

// checkRoutes checks the routes against classes, groups and deadlines, and sets GroupByClass.
func (o *Operator) checkRoutes(p *Platform) error {
	if !o.HasUWSGIFrontend() && len(o.Routes) == 0 {
		return nil
	}
	if len(o.Routes) == 0 {
		return o.document.Errorf("routes", "missing")
	}
	byClass := map[string]string{}
	for i, r := range o.Routes {
		at := "routes." + strconv.Itoa(i)
		class := slices.IndexFunc(
			p.Settings.Classes,
			func(c admission.Class) bool { return c.Name == r.Class },
		)
		group, known := byClass[r.Class]
		inGroup := func(s inventory.Server) bool { return s.Weight > 0 && slices.Contains(s.Groups, r.Group) }
		switch {
		case !strings.HasPrefix(r.Path, "/"):
			return o.document.Errorf(at+".path", "%q does not begin with /", r.Path)
		case class < 0:
			return o.document.Errorf(at+".class", "unknown class %q", r.Class)
		case known && group != r.Group:
			return o.document.Errorf(
				at+".group",
				"class %s goes to group %q in another route: all runs of a key must be in one group",
				r.Class,
				group,
			)
		case r.Group != "" && !slices.ContainsFunc(o.Servers, inGroup):
			return o.document.Errorf(at+".group", "no enabled server of the inventory is in %q", r.Group)
		case r.Group == "" && !p.Engine.IsValid():
			return o.document.Errorf(at+".group", "missing, and the platform names no engine")
		case r.DeadlineMs < 0 || r.DeadlineMs*1000 > p.Settings.Classes[class].Timeout.Microseconds():
			return o.document.Errorf(at+".deadline_ms", "%d is not from 1 to the class's %d", r.DeadlineMs,
				p.Settings.Classes[class].Timeout.Milliseconds())
		}
		byClass[r.Class] = r.Group
		if r.Group != "" {
			o.GroupByClass[r.Class] = r.Group
		}
	}
	return nil
}

// CheckComplete returns an error for a class that runs on the engine if the platform's file has no
// address of the engine, or none of the back end that the class calls. The operator's file may be
// nil.
func CheckComplete(p *Platform, o *Operator) error {
	for _, c := range p.Settings.Classes {
		switch {
		case o != nil && o.GroupByClass[c.Name] != "":
		case !p.Engine.IsValid():
			return fieldKind.New(
				"config: field engine: missing, but class %s has no group of servers",
				c.Name,
			)
		case c.CallsDependency && p.Settings.Dependency != admission.DependencyNone && !p.Backend.IsValid():
			return fieldKind.New("config: field backend: missing, but class %s calls the back end", c.Name)
		}
	}
	return nil
}
