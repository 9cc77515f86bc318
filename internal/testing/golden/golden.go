// Package golden compares the output of a test with files in testdata that an earlier version of the
// program wrote. With RYEPADDLE_WRITE_TESTDATA=1 the tests rewrite the files. Do this once for a version
// whose files are to be kept, and never to make a test pass.
package golden

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
)

// writeVariable is the environment variable that makes tests write testdata.
const writeVariable = "RYEPADDLE_WRITE_TESTDATA"

// Writing reports whether testdata is to be written.
func Writing() bool { return os.Getenv(writeVariable) != "" }

// Check fails the test unless the contents of a file are got.
func Check(t testing.TB, path string, got []byte) {
	t.Helper()
	if Writing() {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want := Read(t, path)
	if utf8.Valid(want) && utf8.Valid(got) {
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("%s (-want +got)\n%s", path, diff)
		}
		return
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got)\n%s", path, diff)
	}
}

// Read returns the bytes of a file.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// CheckDir calls write with an empty directory, and fails the test unless write creates each file of dir
// there with the same bytes.
func CheckDir(t testing.TB, dir string, write func(dir string)) {
	t.Helper()
	if Writing() {
		Clear(t, dir)
		write(dir)
	}
	made := t.TempDir()
	write(made)
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Errorf("%s is empty", dir)
	}
	for _, file := range files {
		got := Read(t, filepath.Join(made, file.Name()))
		if diff := cmp.Diff(Read(t, filepath.Join(dir, file.Name())), got); diff != "" {
			t.Errorf("%s (-want +got)\n%s", filepath.Join(dir, file.Name()), diff)
		}
	}
}

// Clear makes dir an empty directory.
func Clear(t testing.TB, dir string) {
	t.Helper()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
}

// Copy returns a temporary directory with copies of the files of dir, which the test may change.
func Copy(t testing.TB, dir string) string {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	return to
}

// RequireAllSet fails the test for each exported field of a sample, at any depth, that has its zero
// value: the encoding of such a sample would not reveal a change of the field's tag.
func RequireAllSet(t testing.TB, name string, sample any) {
	t.Helper()
	requireAllSet(t, name, reflect.ValueOf(sample))
}

func requireAllSet(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set in the sample", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireAllSet(t, path, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			requireElementSet(t, path, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				requireAllSet(t, path+"."+f.Name, v.Field(i))
			}
		}
	}
}

// requireElementSet checks an element of a slice. A number or a byte may be zero.
func requireElementSet(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	if v.Kind() == reflect.Struct || v.Kind() == reflect.Pointer {
		requireAllSet(t, path, v)
	}
}
