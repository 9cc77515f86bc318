//go:build faults

package store

import (
	"os"
	"time"
)

// stallPollInterval is how often a simulated hang checks whether it is over.
const stallPollInterval = 2 * time.Millisecond

// stall simulates a disk that hangs: it blocks as long as a file exists whose path is that of the folder
// with the suffix .hangs.
func (d Dir) stall() {
	for {
		if _, err := os.Stat(string(d) + ".hangs"); err != nil {
			return
		}
		time.Sleep(stallPollInterval)
	}
}

// stallingFile is a file whose writes and syncs hang as stall does.
type stallingFile struct {
	*os.File
	dir Dir
}

func (d Dir) opened(f *os.File) File { return stallingFile{f, d} }

func (f stallingFile) Write(b []byte) (int, error) {
	f.dir.stall()
	return f.File.Write(b)
}

func (f stallingFile) Sync() error {
	f.dir.stall()
	return f.File.Sync()
}
