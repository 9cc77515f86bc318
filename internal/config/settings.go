package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simwire"
)

// parseSettings flattens the nested object of the settings into the dotted paths of the simulator's
// protocol, so that one decoder reads both formats.
func parseSettings(raw json.RawMessage) (admission.Settings, []simwire.Gauge, error) {
	if len(raw) == 0 {
		return admission.Settings{}, nil, fmt.Errorf("missing")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var settings any
	if err := decoder.Decode(&settings); err != nil {
		return admission.Settings{}, nil, err
	}
	values := map[string]string{} // by dotted path
	flatten(values, "", settings)
	return simwire.DecodeSettings(values)
}

// flatten adds the scalars below v to out by their dotted paths. A list of scalars becomes one value,
// separated by commas; a list of objects has its length at path.count and each object at path.INDEX.
func flatten(out map[string]string, path string, v any) {
	join := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch v := v.(type) {
	case map[string]any:
		for key, value := range v {
			flatten(out, join(key), value)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, entry := range v {
			if _, isObject := entry.(map[string]any); isObject {
				out[join("count")] = strconv.Itoa(len(v))
				flatten(out, join(strconv.Itoa(i)), entry)
			} else {
				plain = append(plain, scalar(entry))
			}
		}
		if len(plain) > 0 {
			out[path] = strings.Join(plain, ",")
		}
	default:
		out[path] = scalar(v)
	}
}

// scalar returns the text of a JSON scalar, which is empty for null.
func scalar(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
