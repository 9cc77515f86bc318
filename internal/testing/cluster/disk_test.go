package cluster

import (
	"os"
	"path/filepath"
	"testing"
)

// A backup succeeds while files are renamed, as the key store renames a new snapshot. A file could
// otherwise be gone between the listing of the folder and its copy.
func TestBackUpWhileFilesAreRenamed(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for name := filepath.Join(dir, "snapshot"); ; {
			select {
			case <-done:
				return
			default:
				_ = os.WriteFile(name+".tmp", []byte("x"), 0o600)
				_ = os.Rename(name+".tmp", name)
			}
		}
	}()
	for i := range 500 {
		if err := backUp(dir); err != nil {
			t.Errorf("backup %d: %v", i, err)
			break
		}
	}
	close(done)
	<-stopped
}
