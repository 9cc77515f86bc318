package inventory

import (
	"fmt"
	"strconv"
	"strings"
)

// maxHosts is the largest number of hosts of one pattern.
const maxHosts = 10_000

// expand returns the hosts of a pattern as Ansible expands it: runner-[01:17].example.org is
// runner-01 to runner-17, [a:f] are letters, and a third number is a step. Several ranges give all
// combinations. A bracket that is not a range is an error.
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
	values, err := expandRange(name[open+1 : open+end])
	if err != nil {
		return nil, fmt.Errorf("name %q: %w", name, err)
	}
	suffixes, err := expand(name[open+end+1:])
	if err != nil {
		return nil, err
	}
	if len(values)*len(suffixes) > maxHosts {
		return nil, fmt.Errorf("name %q: over %d hosts", name, maxHosts)
	}
	var hosts []string
	for _, value := range values {
		for _, suffix := range suffixes {
			hosts = append(hosts, name[:open]+value+suffix)
		}
	}
	return hosts, nil
}

// expandRange returns the values of a range, both ends included.
func expandRange(text string) ([]string, error) {
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
	first := parts[0]
	last := parts[1]
	if isLetter(first) && isLetter(last) {
		return expandLetters(text, first[0], last[0], step)
	}
	return expandNumbers(text, first, last, step)
}

// expandLetters returns the letters of a range.
func expandLetters(text string, first, last byte, step int) ([]string, error) {
	if first > last {
		return nil, fmt.Errorf("range [%s]: it ends before it begins", text)
	}
	var letters []string
	for c := int(first); c <= int(last); c += step {
		letters = append(letters, string(rune(c)))
	}
	return letters, nil
}

// expandNumbers returns the numbers of a range. Leading zeros of the first number set the width of
// all numbers.
func expandNumbers(text, first, last string, step int) ([]string, error) {
	from, fromErr := strconv.ParseUint(first, 10, 31)
	to, toErr := strconv.ParseUint(last, 10, 31)
	switch {
	case fromErr != nil || toErr != nil:
		return nil, fmt.Errorf("range [%s]: want numbers, or letters of one case", text)
	case len(first) > 1 && first[0] == '0' && len(first) != len(last):
		return nil, fmt.Errorf("range [%s]: both ends must have the same width", text)
	case from > to:
		return nil, fmt.Errorf("range [%s]: it ends before it begins", text)
	case (to-from)/uint64(step) >= maxHosts:
		return nil, fmt.Errorf("range [%s]: over %d hosts", text, maxHosts)
	}
	width := 0
	if first[0] == '0' {
		width = len(first)
	}
	var numbers []string
	for n := from; n <= to; n += uint64(step) {
		numbers = append(numbers, fmt.Sprintf("%0*d", width, n))
	}
	return numbers, nil
}

// isLetter reports whether s is a single ASCII letter.
func isLetter(s string) bool {
	return len(s) == 1 && (s[0] >= 'a' && s[0] <= 'z' || s[0] >= 'A' && s[0] <= 'Z')
}
