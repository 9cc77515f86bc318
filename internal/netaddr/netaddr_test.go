package netaddr

import (
	"strings"
	"testing"
)

func TestOnlyAddressesAndAbsolutePathsAreParsed(t *testing.T) {
	for text, good := range map[string]bool{
		"127.0.0.1:3031":                    true,
		"[::1]:80":                          true,
		"unix:/run/a.sock":                  true,
		"unix:a.sock":                       false,
		"unix:":                             false,
		"host:80":                           false,
		"":                                  false,
		"unix:/" + strings.Repeat("a", 107): false,
		"unix:/a\x00b":                      false,
	} {
		a, err := Parse(text)
		if (err == nil) != good || good && (a.String() != text || !a.IsValid()) {
			t.Errorf("Parse(%q) = %v, %v, want it accepted: %t", text, a, err, good)
		}
	}
	if (Addr{}).IsValid() {
		t.Error("the zero Addr is valid")
	}
}
