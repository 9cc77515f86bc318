//go:build faults

package store

import (
	"os"
	"time"
)

// stall stands for a disk that hangs: it does so as long as there is a file beside the folder, of
// its name with .hangs behind it.
func (d Dir) stall() {
	for {
		if _, err := os.Stat(string(d) + ".hangs"); err != nil {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

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
