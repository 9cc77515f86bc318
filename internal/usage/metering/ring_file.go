package metering

import (
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// currentBootID returns the ID of the current boot of the machine, or "" if it is not known.
func currentBootID() string {
	b, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(b))
}

// mapNewFile creates a file of zeros and maps it. It allocates the file's blocks, because a write to a
// mapped page for which the disk has no room kills the process. It reads the pages into memory in
// advance, so that the event loop does not wait for them.
func mapNewFile(path string, size int) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := unix.Fallocate(int(f.Fd()), 0, 0, int64(size)); err != nil {
		return nil, kindAccount.New("usage: %s: %w", path, err)
	}
	const flags = unix.MAP_SHARED | unix.MAP_POPULATE
	return unix.Mmap(int(f.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, flags)
}
