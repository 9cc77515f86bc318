package metering

import (
	"errors"
	"io/fs"

	"ryepaddle/internal/idempotency/store"
)

// writeSynced creates a file, writes b and syncs it. If an earlier attempt left a file with that name, it
// is removed first.
func writeSynced(fsys store.FS, name string, b []byte) error {
	if err := removeIfExists(fsys, name); err != nil {
		return err
	}
	f, err := fsys.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// renameSynced renames a file and syncs the folder, even if the rename fails.
func renameSynced(fsys store.FS, from, to string) error {
	return errors.Join(fsys.Rename(from, to), fsys.SyncDir())
}

func removeIfExists(fsys store.FS, name string) error {
	if err := fsys.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
