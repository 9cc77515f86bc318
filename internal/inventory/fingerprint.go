package inventory

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Files returns the paths of all files that an inventory is read from: the file itself or the files
// of the folder, and those of the folders host_vars and group_vars.
func Files(path string) ([]string, error) {
	files, dir, err := mainFiles(path)
	if err != nil {
		return nil, err
	}
	for _, name := range []string{groupVariablesDir, hostVariablesDir} {
		err := filepath.WalkDir(filepath.Join(dir, name), func(p string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			files = append(files, p)
			return nil
		})
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	slices.Sort(files)
	return files, nil
}

// Fingerprint returns a hash of the names and contents of an inventory's files. It is never 0.
func Fingerprint(path string) (uint64, error) {
	files, err := Files(path)
	if err != nil {
		return 0, err
	}
	h := xxhash.New()
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return 0, err
		}
		_, _ = h.WriteString(name) // writing to the hash never fails
		_, _ = h.Write([]byte{0})
		_, _ = h.Write(text)
		_, _ = h.Write([]byte{0, 0})
	}
	return max(h.Sum64(), 1), nil
}
