package cluster

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// A disk is a folder of a runner's that outlives its processes. It can be lost, kept aside and put
// back.

// wipe empties a disk.
func wipe(dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return os.MkdirAll(dir, 0o700)
}

// aside is where what was kept aside of a disk lies.
func aside(dir string) string { return dir + ".aside" }

// keepAside copies a disk, in place of an earlier copy.
func keepAside(dir string) error {
	if err := os.RemoveAll(aside(dir)); err != nil {
		return err
	}
	return os.CopyFS(aside(dir), os.DirFS(dir))
}

// putBack has a disk be what was kept aside.
func putBack(dir string) error {
	if _, err := os.Stat(aside(dir)); errors.Is(err, fs.ErrNotExist) {
		return errors.New("nothing was kept aside")
	}
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return os.CopyFS(dir, os.DirFS(aside(dir)))
}

// limitFiles bounds the files that the runner's process may write: beyond so many bytes its disk
// has no room. A process that has ended is none, and the next one has no bound.
func (n *Node) limitFiles(bytes uint64) error {
	cmd, _ := n.process()
	if cmd == nil {
		return nil
	}
	err := unix.Prlimit(
		cmd.Process.Pid,
		unix.RLIMIT_FSIZE,
		&unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY},
		nil,
	)
	if errors.Is(err, unix.ESRCH) {
		return nil
	}
	return err
}

// hang has the runner's folders not answer, or answer again.
func (n *Node) hang(on bool) (err error) {
	for _, dir := range []string{n.vault(), filepath.Join(n.disk(), "keys")} {
		if mark := dir + ".hangs"; on {
			err = errors.Join(err, os.WriteFile(mark, nil, 0o600))
		} else if e := os.Remove(mark); !errors.Is(e, fs.ErrNotExist) {
			err = errors.Join(err, e)
		}
	}
	return err
}
