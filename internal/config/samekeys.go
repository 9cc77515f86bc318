package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// CheckSameKeys reports a key that the file has not, and the one in force had, or whose value is of another
// kind. Whatever the platform tells it tells each time: a file that lacks something was cut short,
// or is another's.
func (p *Platform) CheckSameKeys(was *Platform) error {
	if was.decoded == nil { // it was put together by other means
		return nil
	}
	if err := checkContains(p.decoded, was.decoded, ""); err != nil {
		return changedKind.New("config: %s: %w", p.file, err).At(p.file, 0, "")
	}
	return nil
}

func checkContains(is, was any, path string) error {
	if was == nil {
		return nil
	}
	if kindOf(is) != kindOf(was) {
		return fmt.Errorf("field %s: %s, where there was %s", path, kindOf(is), kindOf(was))
	}
	switch was := was.(type) {
	case map[string]any:
		is := is.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(was)) {
			at := key
			if path != "" {
				at = path + "." + key
			}
			v, ok := is[key]
			if !ok {
				return fmt.Errorf("field %s: missing", at)
			}
			if err := checkContains(v, was[key], at); err != nil {
				return err
			}
		}
	case []any:
		all := commonKeys(was)
		if all == nil {
			return nil
		}
		for i, v := range is.([]any) {
			if err := checkContains(v, all, path+"."+strconv.Itoa(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys is what all entries of a list have: the first one's keys that are in each of them with the
// same kind of value. For lists of plain values it is their kind.
func commonKeys(list []any) any {
	if len(list) == 0 {
		return nil
	}
	first, ok := list[0].(map[string]any)
	if !ok {
		for _, v := range list {
			if kindOf(v) != kindOf(list[0]) {
				return nil
			}
		}
		if _, nested := list[0].([]any); nested {
			return nil
		}
		return list[0]
	}
	all := maps.Clone(first)
	for _, v := range list[1:] {
		m, _ := v.(map[string]any)
		maps.DeleteFunc(all, func(key string, one any) bool {
			other, ok := m[key]
			return !ok || kindOf(other) != kindOf(one)
		})
	}
	return all
}

func kindOf(v any) string {
	switch v.(type) {
	case nil:
		return "nothing"
	case bool:
		return "true or false"
	case float64:
		return "a number"
	case string:
		return "a text"
	case []any:
		return "a list"
	}
	return "an object"
}
