package inventory

import (
	"fmt"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// yamlLine returns the line in the text of an error of the YAML library, or 1.
func yamlLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	n, _ := strconv.Atoi(strings.TrimRight(strings.SplitN(rest+" ", " ", 2)[0], ":"))
	return max(n, 1)
}

// eachPair calls fn for the pairs of a mapping. A duplicate key is an error. what names the mapping in
// errors.
func (t *table) eachPair(n *yaml.Node, what string, fn func(key, value *yaml.Node) error) error {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return t.errorAt(n.Line, fmt.Errorf("%s is not a mapping", what))
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		if first := seen[k.Value]; first > 0 {
			return t.errorAt(k.Line, fmt.Errorf("duplicate name %s, first on line %d", k.Value, first))
		}
		seen[k.Value] = k.Line
		if err := fn(k, n.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}
