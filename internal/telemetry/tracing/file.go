package tracing

import (
	"fmt"
	"os"
)

// file is one of bounded size: when it is full it becomes FILE.1, in place of an older one, and
// begins anew.
type file struct {
	path string
	most int64
	f    *os.File
	size int64
}

func openFile(path string, most int64) (*file, error) {
	w := &file{path: path, most: most}
	return w, w.begin()
}

func (w *file) begin() error {
	if info, err := os.Stat(w.path); err == nil && info.Size() > 0 {
		if err := os.Rename(w.path, w.path+".1"); err != nil {
			return fmt.Errorf("traces: %w", err)
		}
	}
	f, err := os.OpenFile(w.path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return fmt.Errorf("traces: %w", err)
	}
	w.f, w.size = f, 0
	return nil
}

// write adds all of b or nothing, so that what stands in the file is whole lines.
func (w *file) write(b []byte) error {
	if w.f != nil && w.size > 0 && w.size+int64(len(b)) > w.most {
		w.f.Close()
		w.f = nil
	}
	if w.f == nil {
		if err := w.begin(); err != nil {
			return err
		}
	}
	if _, err := w.f.Write(b); err != nil {
		w.f.Truncate(w.size)
		w.f.Seek(w.size, 0)
		return fmt.Errorf("traces: %w", err)
	}
	w.size += int64(len(b))
	return nil
}
