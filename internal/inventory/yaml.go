package inventory

import (
	"fmt"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// yamlLine returns the line number in the text of an error of the YAML library, as in "yaml: line
// 3: ", or 1 if the text has none.
func yamlLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	word, _, _ := strings.Cut(rest, " ")
	line, _ := strconv.Atoi(strings.TrimRight(word, ":")) // 0 if it is not a number
	return max(line, 1)
}

// eachPair calls fn for each pair of a mapping. A duplicate key is an error. what describes the
// mapping in errors.
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
	firstLines := map[string]int{} // line of each key
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		value := n.Content[i+1]
		if first := firstLines[key.Value]; first > 0 {
			return t.errorAt(key.Line, fmt.Errorf("duplicate name %s, first on line %d", key.Value, first))
		}
		firstLines[key.Value] = key.Line
		if err := fn(key, value); err != nil {
			return err
		}
	}
	return nil
}
