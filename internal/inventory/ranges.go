package inventory

import (
	"fmt"
	"strconv"
	"strings"
)

// mostHosts bounds what one pattern may stand for.
const mostHosts = 10_000

// expand gives the hosts that a name stands for, as configuration tools read it:
// runner-[01:17].example.org is runner-01 to runner-17, [a:f] is letters, and a third figure is a
// step. Several ranges give all combinations. A bracket that is no range is an error: taken for a
// name, it would be one host that nobody has.
func expand(name string) ([]string, error) {
	open := strings.IndexByte(name, '[')
	if open < 0 {
		if strings.IndexByte(name, ']') >= 0 {
			return nil, fmt.Errorf("name %q: ] without [", name)
		}
		return []string{name}, nil
	}
	end := strings.IndexByte(name[open:], ']')
	if end < 0 {
		return nil, fmt.Errorf("name %q: [ without ]", name)
	}
	values, err := span(name[open+1 : open+end])
	if err != nil {
		return nil, fmt.Errorf("name %q: %w", name, err)
	}
	rest, err := expand(name[open+end+1:])
	if err != nil {
		return nil, err
	}
	if len(values)*len(rest) > mostHosts {
		return nil, fmt.Errorf("name %q: over %d hosts", name, mostHosts)
	}
	var out []string
	for _, v := range values {
		for _, r := range rest {
			out = append(out, name[:open]+v+r)
		}
	}
	return out, nil
}

// span gives the values of a range, both ends in it.
func span(text string) ([]string, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 2 || len(parts) > 3 {
		return nil, fmt.Errorf("range [%s]: want [first:last] or [first:last:step]", text)
	}
	step := 1
	if len(parts) == 3 {
		var err error
		if step, err = strconv.Atoi(parts[2]); err != nil || step < 1 {
			return nil, fmt.Errorf("range [%s]: bad step", text)
		}
	}
	first, last := parts[0], parts[1]
	if letter(first) && letter(last) {
		if first[0] > last[0] {
			return nil, fmt.Errorf("range [%s]: it ends before it begins", text)
		}
		var out []string
		for c := int(first[0]); c <= int(last[0]); c += step {
			out = append(out, string(rune(c)))
		}
		return out, nil
	}
	from, err := strconv.ParseUint(first, 10, 31)
	to, err2 := strconv.ParseUint(last, 10, 31)
	switch {
	case err != nil || err2 != nil:
		return nil, fmt.Errorf("range [%s]: want numbers, or letters of one case", text)
	case len(first) > 1 && first[0] == '0' && len(first) != len(last):
		return nil, fmt.Errorf("range [%s]: both ends have to be of one width", text)
	case from > to:
		return nil, fmt.Errorf("range [%s]: it ends before it begins", text)
	case (to-from)/uint64(step) >= mostHosts:
		return nil, fmt.Errorf("range [%s]: over %d hosts", text, mostHosts)
	}
	width := 0
	if first[0] == '0' {
		width = len(first)
	}
	var out []string
	for n := from; n <= to; n += uint64(step) {
		out = append(out, fmt.Sprintf("%0*d", width, n))
	}
	return out, nil
}

func letter(s string) bool {
	return len(s) == 1 && (s[0] >= 'a' && s[0] <= 'z' || s[0] >= 'A' && s[0] <= 'Z')
}
