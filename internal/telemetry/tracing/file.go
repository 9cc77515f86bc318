package tracing

import (
	"fmt"
	"io"
	"os"
)

// rotatingFile is a file of bounded size. When it is full it is renamed to FILE.1, which replaces an older
// one, and a new file is created.
type rotatingFile struct {
	path     string
	maxBytes int64
	file     *os.File // nil: the last rotation failed
	size     int64
}

func openFile(path string, maxBytes int64) (*rotatingFile, error) {
	f := &rotatingFile{path: path, maxBytes: maxBytes}
	return f, f.begin()
}

// begin creates an empty file. One that exists and has contents is renamed first.
func (f *rotatingFile) begin() error {
	if info, err := os.Stat(f.path); err == nil && info.Size() > 0 {
		if err := os.Rename(f.path, f.path+".1"); err != nil {
			return fmt.Errorf("traces: %w", err)
		}
	}
	file, err := os.OpenFile(f.path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return fmt.Errorf("traces: %w", err)
	}
	f.file = file
	f.size = 0
	return nil
}

// write appends all of b or nothing, so that the file holds complete lines.
func (f *rotatingFile) write(b []byte) error {
	if f.file != nil && f.size > 0 && f.size+int64(len(b)) > f.maxBytes {
		_ = f.file.Close() // the writes to it succeeded
		f.file = nil
	}
	if f.file == nil {
		if err := f.begin(); err != nil {
			return err
		}
	}
	if _, err := f.file.Write(b); err != nil {
		f.truncate()
		return fmt.Errorf("traces: %w", err)
	}
	f.size += int64(len(b))
	return nil
}

// truncate removes what a failed write left. Its errors are ignored, because the caller reports the error
// of the write.
func (f *rotatingFile) truncate() {
	_ = f.file.Truncate(f.size)
	_, _ = f.file.Seek(f.size, io.SeekStart)
}

// close closes the file, if it is open.
func (f *rotatingFile) close() {
	if f.file != nil {
		_ = f.file.Close() // there is nowhere to report it: the recorder ends
	}
}
