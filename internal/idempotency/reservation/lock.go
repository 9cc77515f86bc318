package reservation

import (
	"os"

	"golang.org/x/sys/unix"
)

// tryLock takes the kernel lock of a file and reports whether it was free. The lock ends with the
// process.
func tryLock(f *os.File) bool { return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil }

func unlock(f *os.File) { _ = unix.Flock(int(f.Fd()), unix.LOCK_UN) }

// isLocked reports whether another process holds the lock of a file.
func isLocked(f *os.File) bool {
	if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil {
		return true
	}
	unlock(f)
	return false
}
