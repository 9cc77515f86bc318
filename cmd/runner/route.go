package main

import (
	"fmt"
	"net/netip"
	"strings"

	"ryepaddle/internal/app"
	"ryepaddle/internal/protocol/cgi"
)

type routeCmd struct {
	told
	Path   string   `arg:"" help:"The path, with the query if there is one."`
	Method string   `default:"POST" help:"The method."`
	Host   string   `help:"The host that the caller names."`
	Remote string   `placeholder:"ADDRESS" help:"The address that the caller has."`
	Length int64    `default:"-1" help:"The length of the body."`
	Var    []string `sep:"none" placeholder:"NAME=VALUE" help:"A variable. May be given again."`
	JSON   bool     `help:"Print it as JSON."`
}

// Help implements kong.HelpProvider.
func (routeCmd) Help() string {
	return `The request is read as the second front reads one. Exit status 1: it would be refused.

Examples:
  runner route '/ops/exam?exercise=exam-1' --host north.example.org --operator deploy/operator.yaml --config platform.json
  runner route /ops/hand-in --var HTTP_X_DEDUPE_KEY=k1 --var HTTP_X_CUSTOMER=north --operator deploy/operator.yaml --json`
}

// routed is where a request would go.
type routed struct {
	Route  int    `json:"route"` // in the operator's file, from 0
	Path   string `json:"path"`
	When   string `json:"when,omitempty"`
	Class  string `json:"class"`
	Group  string `json:"group,omitempty"`
	School string `json:"school"`
	Key    string `json:"key,omitempty"`
	Cost   int    `json:"cost"` // of its condition at worst, in steps
}

// Run tells where a request would go.
func (c *routeCmd) Run(sh *shell) error {
	cfg, op, err := app.Check(app.Options{PlatformFile: c.Config, OperatorFile: c.Operator})
	if err != nil {
		return badInput{err}
	}
	if op == nil || !op.HasUWSGIFrontend() {
		return badInput{fmt.Errorf("the operator's file sets up no second front")}
	}
	path, query, _ := strings.Cut(c.Path, "?")
	vars := []cgi.Variable{
		{Name: "PATH_INFO", Value: path},
		{Name: "QUERY_STRING", Value: query},
		{Name: "REQUEST_METHOD", Value: c.Method},
	}
	for name, value := range map[string]string{"HTTP_HOST": c.Host, "REMOTE_ADDR": c.Remote} {
		if value != "" {
			vars = append(vars, cgi.Variable{Name: name, Value: value})
		}
	}
	if c.Remote != "" {
		if _, err := netip.ParseAddr(c.Remote); err != nil {
			return badInput{err}
		}
	}
	if c.Length >= 0 {
		vars = append(vars, cgi.Variable{Name: "CONTENT_LENGTH", Value: fmt.Sprint(c.Length)})
	}
	for _, v := range c.Var {
		name, value, ok := strings.Cut(v, "=")
		if !ok {
			return badInput{fmt.Errorf("--var %q is no NAME=VALUE", v)}
		}
		vars = append(vars, cgi.Variable{Name: name, Value: value})
	}
	r, err := cgi.Read(vars, op.KeyVariable, op.Tenant.Variable, op.FirstAttemptVariable)
	if err != nil {
		return err
	}
	m := r.MatchRequest()
	n := op.Matcher.Match(m)
	known := len(cfg.Settings.Tenants) == 0
	for _, t := range cfg.Settings.Tenants {
		known = known || t.Name == m.School
	}
	if !known {
		return fmt.Errorf("unknown tenant %q", m.School)
	}
	if n < 0 {
		return fmt.Errorf("no class at %q", r.Path)
	}
	p := op.Routes[n]
	out := routed{
		Route:  n,
		Path:   p.Path,
		When:   p.Condition,
		Class:  p.Class,
		Group:  p.Group,
		School: m.School,
		Key:    r.Get(op.KeyVariable),
	}
	if p.KeyExpression != nil {
		out.Key = p.KeyExpression.Text(m)
	}
	if p.Condition != "" {
		out.Cost = op.Matcher.Rules.Cost(n)
	}
	if c.JSON {
		return printJSON(sh, out)
	}
	fmt.Fprintf(
		sh.out,
		"route %d, %s: class %s, %s, school %q, key %q\n",
		n,
		strings.TrimSpace(p.Path+" "+p.Condition),
		p.Class,
		runsOn(p.Group),
		m.School,
		out.Key,
	)
	return nil
}

func runsOn(group string) string {
	if group == "" {
		return "on the platform's engine"
	}
	return "on group " + group
}
