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
func (p *Platform) CheckSameKeys(previous *Platform) error {
	if previous.decoded == nil { // it was not read from a file
		return nil
	}
	if err := checkContains(p.decoded, previous.decoded, ""); err != nil {
		return changedKind.New("config: %s: %w", p.file, err).At(p.file, 0, "")
	}
	return nil
}

// checkContains returns an error for a key at or below path that the previous value has and the
// next one lacks, or whose value has another kind.
func checkContains(next, previous any, path string) error {
	if previous == nil {
		return nil
	}
	if kindOf(next) != kindOf(previous) {
		return fmt.Errorf("field %s: %s, where there was %s", path, kindOf(next), kindOf(previous))
	}
	switch previous := previous.(type) {
	case map[string]any:
		next := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(previous)) {
			at := key
			if path != "" {
				at = path + "." + key
			}
			value, ok := next[key]
			if !ok {
				return fmt.Errorf("field %s: missing", at)
			}
			if err := checkContains(value, previous[key], at); err != nil {
				return err
			}
		}
	case []any:
		common := commonKeys(previous)
		if common == nil {
			return nil
		}
		for i, entry := range next.([]any) {
			if err := checkContains(entry, common, path+"."+strconv.Itoa(i)); err != nil {
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
	common := maps.Clone(first)
	for _, entry := range list[1:] {
		object, _ := entry.(map[string]any) // nil: it has no keys
		maps.DeleteFunc(common, func(key string, value any) bool {
			other, ok := object[key]
			return !ok || kindOf(other) != kindOf(value)
		})
	}
	return common
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
