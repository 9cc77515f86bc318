package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS gives access to the files of one folder.
type FS interface {
	// Create creates a file. It fails with fs.ErrExist if the file exists.
	Create(name string) (File, error)
	Read(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	// SyncDir makes created, renamed and removed names durable.
	SyncDir() error
	// Lock locks the folder against other processes until unlock is called. It fails with ErrLocked if
	// another process holds the lock.
	Lock() (unlock func() error, err error)
}

// File is a file to which data is appended.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// ErrLocked reports a folder that another process uses.
var ErrLocked error = faultLocked.New("another process uses the folder")

// Dir is the FS of a folder of the operating system.
type Dir string

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	d.stall()
	f, err := os.OpenFile(
		filepath.Join(string(d), name),
		os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND,
		filePermissions,
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
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
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

// Lock implements FS. The lock ends with the process.
func (d Dir) Lock() (func() error, error) {
	f, err := os.OpenFile(filepath.Join(string(d), lockName), os.O_RDWR|os.O_CREATE, filePermissions)
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

// errExists is the error of FS.Create for a file that exists.
var errExists = fs.ErrExist

// isNotExist reports whether an error says that a file does not exist.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
