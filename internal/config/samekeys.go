package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// CheckSameKeys returns an error if p lacks a key that previous, the file in force, has, or if the
// value of a key has another type. The platform writes all keys each time: a file that lacks one was
// truncated, or belongs to another runner.
func (p *Platform) CheckSameKeys(previous *Platform) error {
	if previous.decoded == nil { // previous was not read from a file
		return nil
	}
	if err := checkContains(p.decoded, previous.decoded, ""); err != nil {
		return changedKind.New("config: %s: %w", p.file, err).At(p.file, 0, "")
	}
	return nil
}

// checkContains returns an error for a key at or below path that the previous value has and the next
// one lacks, or whose value has another type.
func checkContains(next, previous any, path string) error {
	if previous == nil {
		return nil
	}
	if typeName(next) != typeName(previous) {
		return fmt.Errorf("field %s: %s, previously %s", path, typeName(next), typeName(previous))
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

// commonKeys returns a value with what all entries of a list have in common: for objects, the keys
// that all of them have with the same type of value; for scalars of one type, the first of them; else
// nil.
func commonKeys(list []any) any {
	if len(list) == 0 {
		return nil
	}
	first, ok := list[0].(map[string]any)
	if !ok {
		for _, v := range list {
			if typeName(v) != typeName(list[0]) {
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
		object, _ := entry.(map[string]any) // nil if it is not an object, and so has no keys
		maps.DeleteFunc(common, func(key string, value any) bool {
			other, ok := object[key]
			return !ok || typeName(other) != typeName(value)
		})
	}
	return common
}

// typeName returns the type of a decoded JSON value for error messages.
func typeName(v any) string {
	switch v.(type) {
	case nil:
		return "nothing"
	case bool:
		return "a boolean"
	case float64:
		return "a number"
	case string:
		return "a string"
	case []any:
		return "an array"
	}
	return "an object"
}
