package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// deployList returns a list of strings in the deploy file.
func deployList(t *testing.T, key string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^` + key + ` = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatalf("deploy/balancer.toml has no list %s on one line", key)
	}
	var values []string
	for _, quoted := range regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(line[1], -1) {
		values = append(values, string(quoted[1]))
	}
	return values
}

func TestPolicyListsAllFilesOfTheAdmissionModule(t *testing.T) {
	const folder = "internal/admission"
	entries, err := os.ReadDir(filepath.Join(root, folder))
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, entry := range entries {
		name := entry.Name()
		if filepath.Ext(name) == ".go" && !strings.HasSuffix(name, "_test.go") {
			want = append(want, folder+"/"+name)
		}
	}
	got := deployList(t, "policy")
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("policy in deploy/balancer.toml (-want +got)\n%s", diff)
	}
}

func TestNodeListsAllPackagesOfTheRunner(t *testing.T) {
	const module = "ryepaddle/"
	list := exec.Command("go", "list", "-deps", "./cmd/runner")
	list.Dir = root
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	folders := deployList(t, "node")
	used := map[string]bool{}
	for path := range strings.Lines(string(out)) {
		path, own := strings.CutPrefix(strings.TrimSpace(path), module)
		if !own {
			continue
		}
		covers := func(folder string) bool { return path == folder || strings.HasPrefix(path, folder+"/") }
		i := slices.IndexFunc(folders, covers)
		if i < 0 {
			t.Errorf("node in deploy/balancer.toml lacks %s", path)
			continue
		}
		used[folders[i]] = true
	}
	for _, folder := range folders {
		if !used[folder] {
			t.Errorf("node in deploy/balancer.toml lists %s, which the runner does not use", folder)
		}
	}
}
