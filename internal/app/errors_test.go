package app

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/fault"
)

// The on-call page's table of errors must match the kinds in the code. To write the table:
// UPDATE=1 go test ./internal/app -run Kinds
func TestOnCallPageListsErrorKinds(t *testing.T) {
	const page, from, to = "../../docs/on-call.md", "| kind | what it tells | what to do |\n| --- | --- " +
		"| --- |\n", "\n## "
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok := strings.Cut(string(text), from)
	table, after, more := strings.Cut(rest, to)
	if !ok || !more {
		t.Fatal("docs/on-call.md has no table of errors")
	}
	var want strings.Builder
	for _, k := range fault.Kinds() {
		for _, s := range []string{k.Description, k.Remedy} {
			if strings.Contains(s, "|") || !strings.HasSuffix(s, ".") || len(s) > 200 {
				t.Errorf("%s: %q: want a sentence of at most 200 bytes with a full stop and without |", k.Name, s)
			}
		}
		fmt.Fprintf(&want, "| `%s` | %s | %s |\n", k.Name, k.Description, k.Remedy)
	}
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(page, []byte(before+from+want.String()+to+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want.String(), table); diff != "" {
		t.Errorf("table of errors (-code +page)\n%s", diff)
	}
}
