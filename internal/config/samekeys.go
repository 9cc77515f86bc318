package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// CheckSameKeys returns an error for a key that the file in force has and p lacks, or whose value
// has another kind. The platform writes all keys each time: a file that lacks one was truncated, or
// belongs to another runner.
func (p *Platform) CheckSameKeys(was *Platform) error {
	if was.decoded == nil { // it was not read from a file
		return nil
	}
	if err := checkContains(p.decoded, was.decoded, ""); err != nil {
		return changedKind.New("config: %s: %w", p.file, err).At(p.file, 0, "")
	}
	return nil
}

// checkContains returns an error for a key at or below path that was has and is lacks, or whose
// value has another kind.
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

// commonKeys returns what all entries of a list have in common: for objects, the keys that each has
// with the same kind of value; for plain values of one kind, one of them; else nil.
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

// kindOf returns the kind of a decoded JSON value, as error texts name it.
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
