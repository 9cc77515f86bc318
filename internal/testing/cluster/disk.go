package cluster

import (
	"errors"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// errNoBackup is the error of restore for a disk that was not backed up.
var errNoBackup = errors.New("there is no backup of the disk")

// emptyDir removes the contents of a directory, and creates it if it does not exist.
func emptyDir(dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return os.MkdirAll(dir, 0o700)
}

// backupOf returns the directory of the backup of a disk.
func backupOf(dir string) string { return dir + ".aside" }

// maxBackupAttempts bounds the attempts of a backup. An attempt fails if the running process renames or
// removes a file after the folder was listed and before the file is copied.
const maxBackupAttempts = 20

// backUp copies a disk to its backup, which replaces an earlier one.
func backUp(dir string) error {
	var err error
	for range maxBackupAttempts {
		if err = os.RemoveAll(backupOf(dir)); err != nil {
			return err
		}
		if err = os.CopyFS(backupOf(dir), os.DirFS(dir)); !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return err
}

// restore replaces a disk by its backup.
func restore(dir string) error {
	if _, err := os.Stat(backupOf(dir)); errors.Is(err, fs.ErrNotExist) {
		return errNoBackup
	}
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return os.CopyFS(dir, os.DirFS(backupOf(dir)))
}

// limitFileSize bounds the size of the files that the runner's process may write, in bytes. Writes
// beyond it fail as on a full disk. It has no effect on a process that has ended, or on the next one.
// From then on the process may exit without being counted as a failure.
func (n *Node) limitFileSize(bytes uint64) error {
	command, _ := n.expectExit()
	if command == nil {
		return nil
	}
	limit := &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	err := unix.Prlimit(command.Process.Pid, unix.RLIMIT_FSIZE, limit, nil)
	if errors.Is(err, unix.ESRCH) {
		return nil
	}
	return err
}

// setDiskHang makes operations on the runner's peers and keys directories block, or lets them complete
// again. The program must be built with the tag faults.
func (n *Node) setDiskHang(isHanging bool) error {
	var errs []error
	for _, dir := range []string{n.peersDir(), n.keysDir()} {
		marker := dir + ".hangs"
		if isHanging {
			errs = append(errs, os.WriteFile(marker, nil, 0o600))
			continue
		}
		err := os.Remove(marker)
		if !errors.Is(err, fs.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
