package config

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"ryepaddle/internal/match"
)

// compileExpressions compiles the expressions of the file and builds the matcher of the routes.
// Named expressions are checked even if no other expression uses them.
func (o *Operator) compileExpressions(*Platform) error {
	names := match.Definitions(o.Expressions)
	for _, name := range slices.Sorted(maps.Keys(o.Expressions)) {
		if err := match.CheckDefinition(name, names); err != nil {
			return o.document.Errorf("expressions."+name, "%v", err)
		}
	}
	compile := func(field, text string, want match.Type, without ...string) (*match.Expression, error) {
		if text == "" {
			return nil, nil
		}
		e, err := match.Compile(text, want, names, without...)
		if err != nil {
			return nil, o.document.Errorf(field, "%v", err)
		}
		return e, nil
	}
	var err error
	o.Matcher.TenantVariable = o.Tenant.Variable
	o.Matcher.DefaultTenant = o.Tenant.Default
	if o.Matcher.TenantExpression, err = compile("tenant.from", o.Tenant.Expression, match.Text, "school"); err != nil {
		return err
	}
	rules := make([]match.Rule, len(o.Routes))
	for i := range o.Routes {
		r := &o.Routes[i]
		at := "routes." + strconv.Itoa(i)
		rules[i].Prefix = r.Path
		if rules[i].Condition, err = compile(at+".when", r.Condition, match.Bool); err != nil {
			return err
		}
		if r.KeyExpression, err = compile(at+".key", r.Key, match.Text); err != nil {
			return err
		}
	}
	if o.Matcher.Rules, err = match.NewRuleTable(rules); err != nil {
		var unreachable *match.UnreachableRuleError
		if errors.As(err, &unreachable) {
			return o.document.Errorf("routes."+strconv.Itoa(unreachable.Rule)+".path", "%v", err)
		}
		return o.document.Errorf("routes", "%v", err)
	}
	return nil
}
