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

// parseSettings flattens the nested object into the dotted paths of the simulator's protocol, so
// that one decoder reads both.
func parseSettings(raw json.RawMessage) (admission.Settings, []simwire.Gauge, error) {
	if len(raw) == 0 {
		return admission.Settings{}, nil, fmt.Errorf("missing")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return admission.Settings{}, nil, err
	}
	pairs := map[string]string{}
	flatten(pairs, "", v)
	return simwire.DecodeSettings(pairs)
}

// flatten adds the scalars below v to out by their dotted paths.
func flatten(out map[string]string, path string, v any) {
	join := func(k string) string { return strings.TrimPrefix(path+"."+k, ".") }
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(out, join(k), x)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, x := range v {
			if _, ok := x.(map[string]any); ok {
				out[join("count")] = strconv.Itoa(len(v))
				flatten(out, join(strconv.Itoa(i)), x)
			} else {
				plain = append(plain, scalar(x))
			}
		}
		if len(plain) > 0 {
			out[path] = strings.Join(plain, ",")
		}
	default:
		out[path] = scalar(v)
	}
}

// scalar returns the text of a JSON scalar.
func scalar(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
