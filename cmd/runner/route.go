package main

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/app"
	"ryepaddle/internal/config"
	"ryepaddle/internal/protocol/cgi"
)

// unknownLength is the value of --length for a request without CONTENT_LENGTH.
const unknownLength = -1

type routeCmd struct {
	configFlags
	Path   string   `arg:"" help:"The path of the request, with its query string if it has one."`
	Method string   `default:"POST" help:"The method of the request."`
	Host   string   `help:"The Host header of the request; without it, the request has none."`
	Remote string   `placeholder:"ADDRESS" help:"The IP address of the caller; without it, REMOTE_ADDR is not set."`
	Length int64    `default:"-1" help:"The length of the body in bytes; -1: CONTENT_LENGTH is not set."`
	Var    []string `sep:"none" placeholder:"NAME=VALUE" help:"A further CGI variable of the request; may be repeated."`
	JSON   bool     `help:"Print the route as JSON."`
}

// routeAnswer describes the route that a request would take. It is printed as JSON.
type routeAnswer struct {
	Route  int    `json:"route"` // index in the operator's file
	Path   string `json:"path"`
	When   string `json:"when,omitempty"` // condition of the route
	Class  string `json:"class"`
	Group  string `json:"group,omitempty"`
	School string `json:"school"`
	Key    string `json:"key,omitempty"`
	Cost   int    `json:"cost"` // upper limit of the condition's cost, in evaluation steps
}

// Run prints the route that a request would take.
func (c *routeCmd) Run(s *streams) error {
	platform, operator, err := app.Check(app.Options{PlatformFile: c.Config, OperatorFile: c.Operator})
	if err != nil {
		return inputError{err}
	}
	if operator == nil || !operator.HasUWSGIFrontend() {
		return inputError{errors.New("the operator's file configures no uwsgi frontend")}
	}
	variables, err := c.variables()
	if err != nil {
		return inputError{err}
	}
	answer, err := findRoute(platform, operator, variables)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, answer)
	}
	fmt.Fprintf(
		s.out,
		"route %d, %s: class %s, %s, school %q, key %q\n",
		answer.Route,
		strings.TrimSpace(answer.Path+" "+answer.When),
		answer.Class,
		describeTarget(answer.Group),
		answer.School,
		answer.Key,
	)
	return nil
}

// variables returns the CGI variables of the request that the flags describe.
func (c *routeCmd) variables() ([]cgi.Variable, error) {
	path, query, _ := strings.Cut(c.Path, "?")
	variables := []cgi.Variable{
		{Name: "PATH_INFO", Value: path},
		{Name: "QUERY_STRING", Value: query},
		{Name: "REQUEST_METHOD", Value: c.Method},
	}
	if c.Host != "" {
		variables = append(variables, cgi.Variable{Name: "HTTP_HOST", Value: c.Host})
	}
	if c.Remote != "" {
		if _, err := netip.ParseAddr(c.Remote); err != nil {
			return nil, err
		}
		variables = append(variables, cgi.Variable{Name: "REMOTE_ADDR", Value: c.Remote})
	}
	if c.Length > unknownLength {
		variables = append(variables, cgi.Variable{Name: "CONTENT_LENGTH", Value: fmt.Sprint(c.Length)})
	}
	for _, v := range c.Var {
		name, value, ok := strings.Cut(v, "=")
		if !ok {
			return nil, fmt.Errorf("--var %q is not of the form NAME=VALUE", v)
		}
		variables = append(variables, cgi.Variable{Name: name, Value: value})
	}
	return variables, nil
}

// findRoute parses a request as the uwsgi frontend does, and finds its route.
func findRoute(
	platform *config.Platform,
	operator *config.Operator,
	variables []cgi.Variable,
) (*routeAnswer, error) {
	request, err := cgi.Read(variables, operator.KeyVariable, operator.Tenant.Variable,
		operator.FirstAttemptVariable)
	if err != nil {
		return nil, err
	}
	matched := request.MatchRequest()
	index := operator.Matcher.Match(matched)
	if !isTenant(platform, matched.Tenant) {
		return nil, fmt.Errorf("unknown tenant %q", matched.Tenant)
	}
	if index < 0 {
		return nil, fmt.Errorf("no class at %q", request.Path)
	}
	route := operator.Routes[index]
	answer := &routeAnswer{
		Route:  index,
		Path:   route.Path,
		When:   route.Condition,
		Class:  route.Class,
		Group:  route.Group,
		School: matched.Tenant,
		Key:    request.Get(operator.KeyVariable),
	}
	if route.KeyExpression != nil {
		answer.Key = route.KeyExpression.Text(matched)
	}
	if route.Condition != "" {
		answer.Cost = operator.Matcher.Rules.Cost(index)
	}
	return answer, nil
}

// isTenant reports whether the settings have a tenant of that name. Settings without tenants accept
// any name.
func isTenant(platform *config.Platform, name string) bool {
	tenants := platform.Settings.Tenants
	named := func(tenant admission.Tenant) bool { return tenant.Name == name }
	return len(tenants) == 0 || slices.ContainsFunc(tenants, named)
}

func describeTarget(group string) string {
	if group == "" {
		return "on the platform's engine"
	}
	return "on group " + group
}
