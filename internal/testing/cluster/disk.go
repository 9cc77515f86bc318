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

// emptyDir empties a disk.
func emptyDir(dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return os.MkdirAll(dir, 0o700)
}

// backupOf is where what was kept aside of a disk lies.
func backupOf(dir string) string { return dir + ".aside" }

// backUp copies a disk, in place of an earlier copy.
func backUp(dir string) error {
	if err := os.RemoveAll(backupOf(dir)); err != nil {
		return err
	}
	return os.CopyFS(backupOf(dir), os.DirFS(dir))
}

// restore has a disk be what was kept aside.
func restore(dir string) error {
	if _, err := os.Stat(backupOf(dir)); errors.Is(err, fs.ErrNotExist) {
		return errors.New("nothing was kept aside")
	}
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return os.CopyFS(dir, os.DirFS(backupOf(dir)))
}

// limitFileSize bounds the files that the runner's process may write: beyond so many bytes its disk
// has no room. A process that has ended is none, and the next one has no bound.
func (n *Node) limitFileSize(bytes uint64) error {
	cmd, _ := n.expectExit()
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

// setDiskHang has the runner's folders not answer, or answer again.
func (n *Node) setDiskHang(on bool) (err error) {
	for _, dir := range []string{n.peersDir(), filepath.Join(n.disk(), "keys")} {
		if mark := dir + ".hangs"; on {
			err = errors.Join(err, os.WriteFile(mark, nil, 0o600))
		} else if e := os.Remove(mark); !errors.Is(e, fs.ErrNotExist) {
			err = errors.Join(err, e)
		}
	}
	return err
}
