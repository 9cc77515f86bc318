package inventory

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestPatternsOfHostsAreExpanded(t *testing.T) {
	for name, want := range map[string]string{
		"one":                  "one",
		"n[1:3]":               "n1 n2 n3",
		"runner-[08:11].x.org": "runner-08.x.org runner-09.x.org runner-10.x.org runner-11.x.org",
		"[a:c]":                "a b c",
		"n[1:9:4]":             "n1 n5 n9",
		"h[a:b]-[1:2]":         "ha-1 ha-2 hb-1 hb-2",
		"n[1:3":                "error [ without ]",
		"n1]":                  "error ] without [",
		"n[1]":                 "error want [first:last]",
		"n[3:1]":               "error ends before it begins",
		"n[a:3]":               "error want numbers",
		"n[a:C]":               "error ends before it begins",
		"n[01:100]":            "error both ends must have the same width",
		"n[1:3:0]":             "error bad step",
		"n[0:99999999]":        "error over 10000 hosts",
		"n[1:200][1:200]":      "error over 10000 hosts",
		"n[:]":                 "error want numbers",
	} {
		got, err := expand(name)
		if text, bad := strings.CutPrefix(want, "error "); bad {
			if err == nil || !strings.Contains(err.Error(), text) {
				t.Errorf("expand(%q): error = %v, want %s", name, err, text)
			}
		} else if err != nil || strings.Join(got, " ") != want {
			t.Errorf("expand(%q) = %q, %v", name, got, err)
		}
	}
}

// writeFiles writes files into a new temporary folder and returns its path.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// summaries returns one string for each server, with its name, address, groups and weight.
func summaries(servers []Server) (out []string) {
	for _, s := range servers {
		out = append(
			out,
			s.Name+" "+s.Addr.String()+" "+strings.Join(s.Groups, ",")+" "+string(rune('0'+s.Weight)),
		)
	}
	return out
}

const nestedGroups = `
all:
  vars: {uwsgi_port: 4000, weight: 1}
  children:
    runners:
      vars: {weight: 2}
      children:
        haninge:
          hosts:
            runner-[01:02].haninge.example.org:
        solna:
          hosts:
            runner-03.solna.example.org: {ansible_host: 127.0.0.3, weight: 4}
    spare:
      hosts: {runner-03.solna.example.org: }
`

// Ranges, nested groups and variables beside the file must be resolved as Ansible resolves them: operators
// keep the same inventory for Ansible.
func TestVariablesAreResolvedAsAnsibleDoes(t *testing.T) {
	files := map[string]string{"hosts.yaml": nestedGroups,
		"host_vars/runner-01.haninge.example.org.yml":      "ansible_host: 127.0.0.1\n",
		"host_vars/runner-02.haninge.example.org/main.yml": "ansible_host: 127.0.0.2\nweight: 5\n",
		"group_vars/haninge.yml":                           "uwsgi_port: 4001\n",
		"group_vars/all/ports.yaml":                        "uwsgi_port: 4002\n",
		"host_vars/nobody.yml":                             "ansible_host: 127.0.0.9\n"}
	want := []string{"runner-01.haninge.example.org 127.0.0.1:4001 haninge,runners,all 2",
		"runner-02.haninge.example.org 127.0.0.2:4001 haninge,runners,all 5",
		"runner-03.solna.example.org 127.0.0.3:4002 solna,runners,all,spare 4"}
	got, err := Read(filepath.Join(writeFiles(t, files), "hosts.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, summaries(got)); diff != "" {
		t.Errorf("servers of a file (-want +got)\n%s", diff)
	}
	// The same files in a folder, with a CSV file and with copies that editors leave, which are ignored.
	files["more.csv"] = "name,address,group\nnine,127.0.0.9:9,solna\n"
	files["hosts.yaml~"], files[".hosts.yaml.swp"], files["old.bak"] = "nonsense", "nonsense", "nonsense"
	got, err = Read(writeFiles(t, files))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(append([]string{"nine 127.0.0.9:9 solna 1"}, want...), summaries(got)); diff != "" {
		t.Errorf("servers of a folder (-want +got)\n%s", diff)
	}
}

// invalidListsAreRejectedWithFileAndLineCases are cases of TestInvalidListsAreRejectedWithFileAndLine.
var invalidListsAreRejectedWithFileAndLineCases = []struct {
	name, text, want string
}{
	{
		"a.csv",
		"name,address,group\na,127.0.0.1:1,g\nb,127.0.0.1:2,to",
		"a.csv:3: the last line has no newline: the file may be truncated",
	},
	{"a.yaml", "g:\n  hosts:\n    a: {address: \"127.0.0.1:1\"}", "a.yaml:3: the last line has no newline"},
	{
		"a.csv",
		"name,address,group\na,127.0.0.1:1,g\nb,127.0.0.1:1,g\n",
		"a.csv:3: server b has the address of a on line 2",
	},
	{
		"a.yaml",
		"g:\n  vars: {ansible_host: 127.0.0.1}\n  hosts:\n    n[1:2]:\n",
		"a.yaml:4: server n2 has the address of n1 on line 4",
	},
	{
		"a.csv",
		"name,address,group\nn[1:2],127.0.0.1:1,g\n",
		`a.csv:2: name "n[1:2]" stands for 2 hosts, but the row has one address`,
	},
	{"a.yaml", "g:\n  hosts:\n    n[1:: {address: \"127.0.0.1:1\"}\n", "a.yaml:3: "},
	{
		"a.yaml",
		"g:\n  hosts:\n    n1: {address: \"127.0.0.1:1\"}\n    n[1:2]: {}\n",
		"a.yaml:4: duplicate name n1 in group g, first on line 3",
	},
	{
		"a.yaml",
		"g:\n  children:\n    h:\n      children:\n        g:\n",
		"a.yaml:5: group g is a child of itself",
	},
	{
		"a.csv",
		"name,address,group,hall\na,127.0.0.1:1,g,solna\na,127.0.0.1:1,g,haninge\n",
		`a.csv:3: server a is in hall "haninge", and in "solna" on line 2`,
	},
	{"a.yaml", "h:\n  vars: {hall: haninge}\n  hosts: {runner-09: {address: \"127.0.0.1:9\"}}\ns:\n " +
		" vars: {hall: solna}\n  hosts: {runner-09: }\n",
		`a.yaml:5: server runner-09 is in hall "solna" by group s, and in "haninge" on line 2 of a.yaml`},
	{
		"a.yaml",
		"g:\n  hosts:\n    a: {address: \"127.0.0.1:1\", weight: 1}\nh:\n  hosts:\n    a: {weight: 2}\n",
		"a.yaml:6: server a has another weight on line 3",
	},
}

// Lists that are truncated, ambiguous or contradictory must be rejected with file, line and reason: they
// would be read as other servers than were meant.
func TestInvalidListsAreRejectedWithFileAndLine(t *testing.T) {
	for _, c := range invalidListsAreRejectedWithFileAndLineCases {
		_, err := Parse(c.name, []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Parse(%q): error = %v, want %s", c.text, err, c.want)
		}
	}
	dir := writeFiles(
		t,
		map[string]string{
			"hosts.yml":       "g:\n  hosts:\n    a: {ansible_host: 127.0.0.1}\n",
			"host_vars/a.yml": "weight: [\n",
		},
	)
	if _, err := Read(filepath.Join(dir, "hosts.yml")); err == nil ||
		!strings.Contains(err.Error(), "host_vars/a.yml:") {
		t.Errorf("Read() with an invalid file in host_vars: error = %v, want its file and line", err)
	}
	if _, err := Read(t.TempDir()); err == nil || !strings.Contains(err.Error(), "no servers") {
		t.Errorf("Read() of an empty folder: error = %v, want no servers", err)
	}
}

// A server's zone is its own variable hall, or that of its group; a group overrides the groups above it.
// A server in two groups with different zones is an error.
func TestZonesFollowFromHostsAndGroups(t *testing.T) {
	text := "all:\n  vars: {hall: somewhere}\n  children:\n    h:\n      vars: {hall: haninge}\n      " +
		"hosts:\n        a: {address: \"127.0.0.1:1\"}\n" +
		"    s:\n      vars: {hall: solna}\n      hosts:\n        b: {address: \"127.0.0.1:2\"}\n       " +
		" a:\n        c: {address: \"127.0.0.1:3\", hall: own}\n" +
		"    t:\n      hosts:\n        d: {address: \"127.0.0.1:4\"}\n"
	if _, err := Parse("a.yaml", []byte(text)); err == nil ||
		!strings.Contains(err.Error(), "server a is in hall") {
		t.Errorf("Parse() of a server in two halls: error = %v, want server a is in hall", err)
	}
	servers, err := Parse("a.yaml", []byte(strings.Replace(text, "        a:\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, x := range servers {
		got[x.Name] = x.Zone
	}
	if diff := cmp.Diff(
		map[string]string{"a": "haninge", "b": "solna", "c": "own", "d": "somewhere"},
		got,
	); diff != "" {
		t.Errorf("zones (-want +got)\n%s", diff)
	}
}

// Parse must return for any text. Names and addresses of the servers must be valid and unique, and parsing
// the text again must give the same servers.
func FuzzParse(f *testing.F) {
	f.Add("a.yaml", []byte(nestedGroups))
	f.Add("a.csv", []byte("name,address,group\na,127.0.0.1:1,g\n"))
	f.Fuzz(func(t *testing.T, name string, text []byte) {
		servers, err := Parse(name, text)
		if err != nil {
			return
		}
		names, addrs := map[string]bool{}, map[string]bool{}
		for _, s := range servers {
			if names[s.Name] || addrs[s.Addr.String()] || len(s.Groups) == 0 || !s.Addr.IsValid() {
				t.Fatalf("duplicate or invalid server %+v", s)
			}
			names[s.Name], addrs[s.Addr.String()] = true, true
		}
		again, err := Parse(name, text)
		if diff := cmp.Diff(servers, again, cmpopts.EquateComparable(netip.AddrPort{})); err != nil ||
			diff != "" {
			t.Fatalf("second Parse(): error = %v, servers (-first +second)\n%s", err, diff)
		}
	})
}
