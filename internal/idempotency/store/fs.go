package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the files of one folder, as the store uses them.
type FS interface {
	// Create makes a file that must not be there.
	Create(name string) (File, error)
	Read(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	// SyncDir has the names on the disk that were made, changed and removed.
	SyncDir() error
	// Lock keeps other processes out until it is closed.
	Lock() (unlock func() error, err error)
}

// File is one that is appended to.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// ErrLocked is that of a folder that another process uses.
var ErrLocked error = faultLocked.New("another process uses it")

// Dir is the files of a folder of the system's.
type Dir string

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	d.stall()
	f, err := os.OpenFile(
		filepath.Join(string(d), name),
		os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND,
		0o600,
	)
	if err != nil {
		return nil, err
	}
	return d.opened(f), nil
}

// Read implements FS.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), name)) }

// Rename implements FS.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			out = append(out, e.Name())
		}
	}
	return out, nil
}

// SyncDir implements FS.
func (d Dir) SyncDir() error {
	d.stall()
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FS. The lock is the process's and ends with it.
func (d Dir) Lock() (func() error, error) {
	f, err := os.OpenFile(filepath.Join(string(d), "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("store: %s: %w", string(d), ErrLocked)
		}
		return nil, err
	}
	return f.Close, nil
}

// errExists is that of a file that is to be made and is there.
var errExists = fs.ErrExist

// isNotExist tells whether an error is that there is no such file.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
