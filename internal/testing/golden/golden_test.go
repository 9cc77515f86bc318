package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// recorder is a testing.TB that records its errors.
type recorder struct {
	testing.TB
	errors []string
}

func (r *recorder) Helper()                           {}
func (r *recorder) Errorf(format string, args ...any) { r.errors = append(r.errors, format) }

func TestOtherBytesFail(t *testing.T) {
	t.Setenv(writeVariable, "")
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte("as before"), 0o600); err != nil {
		t.Fatal(err)
	}
	for got, fails := range map[string]bool{"as before": false, "as befor": true, "\xff": true} {
		r := &recorder{TB: t}
		Check(r, path, []byte(got))
		if (len(r.errors) > 0) != fails {
			t.Errorf("unexpected errors of Check() for %q: %v", got, r.errors)
		}
	}
}

func TestOtherFilesOfAFolderFail(t *testing.T) {
	t.Setenv(writeVariable, "")
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "file"), []byte("as before"), 0o600); err != nil {
		t.Fatal(err)
	}
	for text, fails := range map[string]bool{"as before": false, "other": true} {
		r := &recorder{TB: t}
		CheckDir(r, dir, func(dir string) {
			if err := os.WriteFile(filepath.Join(dir, "file"), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		})
		if (len(r.errors) > 0) != fails {
			t.Errorf("unexpected errors of CheckDir() for %q: %v", text, r.errors)
		}
	}
}

func TestUnsetFieldFails(t *testing.T) {
	type inner struct{ A, B int }
	type outer struct {
		Inner []inner
		Ptr   *inner
		Bytes []byte
		Text  string
	}
	complete := outer{Inner: []inner{{1, 2}}, Ptr: &inner{3, 4}, Bytes: []byte{0}, Text: "x"}
	for name, change := range map[string]func(*outer){
		"":      func(*outer) {},
		"Inner": func(o *outer) { o.Inner = []inner{{1, 0}} },
		"Ptr":   func(o *outer) { o.Ptr = &inner{0, 1} },
		"Bytes": func(o *outer) { o.Bytes = nil },
		"Text":  func(o *outer) { o.Text = "" },
	} {
		r, sample := &recorder{TB: t}, complete
		change(&sample)
		RequireAllSet(r, "sample", sample)
		if (len(r.errors) > 0) != (name != "") || name != "" && !strings.Contains(r.errors[0], "is not set") {
			t.Errorf("unexpected errors of RequireAllSet() for the zero field %q: %v", name, r.errors)
		}
	}
}
