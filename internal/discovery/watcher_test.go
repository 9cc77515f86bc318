package discovery

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ryepaddle/internal/inventory"
)

// watchedInventory is a folder with an inventory and a watcher whose lists are all accepted.
type watchedInventory struct {
	dir     string
	watcher *Watcher

	mu       sync.Mutex
	accepted []string // lists as NAME@ADDRESS ...
}

// write writes a file of the folder.
func (w *watchedInventory) write(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join(w.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// path returns the path of the inventory.
func (w *watchedInventory) path() string { return filepath.Join(w.dir, "hosts.yml") }

// start starts the watcher.
func (w *watchedInventory) start(t *testing.T) {
	t.Helper()
	fingerprint, err := FingerprintOf(w.path())
	if err != nil {
		t.Fatal(err)
	}
	first, err := inventory.Read(w.path())
	if err != nil {
		t.Fatal(err)
	}
	ready := make(chan struct{})
	w.watcher = Watch(
		w.path(),
		Config{SettleTime: 20 * time.Millisecond, MaxShrink: 0.5},
		200*time.Millisecond,
		fingerprint,
		first,
		func(f Fingerprint, servers []inventory.Server) {
			<-ready
			w.accept(f, servers)
		},
	)
	close(ready)
	t.Cleanup(w.watcher.Stop)
}

// accept records a list and tells the watcher that it is accepted.
func (w *watchedInventory) accept(f Fingerprint, servers []inventory.Server) {
	var names []string
	for _, s := range servers {
		names = append(names, s.Name+"@"+s.Addr.String())
	}
	w.mu.Lock()
	w.accepted = append(w.accepted, strings.Join(names, " "))
	w.mu.Unlock()
	w.watcher.Accepted(f, servers)
}

// await waits until a condition holds. what names it in the error.
func (w *watchedInventory) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.mu.Lock()
			defer w.mu.Unlock()
			t.Fatalf("timeout waiting for %s: accepted lists = %q, reject reason = %q",
				what, w.accepted, w.watcher.RejectReason())
		}
	}
}

// awaitList waits until the last accepted list ends with a server, given as NAME@ADDRESS.
func (w *watchedInventory) awaitList(t *testing.T, what, ending string) {
	t.Helper()
	w.await(t, what, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.accepted) > 0 && strings.HasSuffix(w.accepted[len(w.accepted)-1], ending)
	})
}

// awaitReason waits until a list is rejected for a reason.
func (w *watchedInventory) awaitReason(t *testing.T, what, reason string) {
	t.Helper()
	w.await(t, what, func() bool { return strings.Contains(w.watcher.RejectReason(), reason) })
}

// hostsFile returns the text of an inventory of n hosts.
func hostsFile(n int) string {
	return fmt.Sprintf("g:\n  vars: {ansible_host: 127.0.0.1}\n  hosts:\n    n[1:%d]: {}\n", n)
}

// The watcher must notice files that are written in place, replaced, truncated, removed and restored, and
// changed variables beside them.
func TestWatcherFollowsEachWayOfWriting(t *testing.T) {
	w := &watchedInventory{dir: t.TempDir()}
	for i := range 9 {
		w.write(t, fmt.Sprintf("host_vars/n%d.yml", i), fmt.Sprintf("uwsgi_port: %d\n", 4000+i))
	}
	w.write(t, "hosts.yml", hostsFile(3))
	w.start(t)
	w.write(t, "hosts.yml", hostsFile(4))
	w.awaitList(t, "the list of a file written in place", "n4@127.0.0.1:4004")
	w.write(t, "new", hostsFile(5))
	if err := os.Rename(filepath.Join(w.dir, "new"), w.path()); err != nil {
		t.Fatal(err)
	}
	w.awaitList(t, "the list of a file that was replaced", "n5@127.0.0.1:4005")
	w.write(t, "host_vars/n5.yml", "uwsgi_port: 5005\n")
	w.awaitList(t, "the list after a change in host_vars", "n5@127.0.0.1:5005")
	w.write(t, "hosts.yml", hostsFile(6)[:40])
	w.awaitReason(t, "the reject reason of a truncated file", "the last line has no newline")
	if err := os.Remove(w.path()); err != nil {
		t.Fatal(err)
	}
	w.awaitReason(t, "the reject reason of a missing file", "no such file")
	w.write(t, "hosts.yml", hostsFile(1))
	w.awaitReason(t, "the reject reason of a list that shrank", "servers are missing from the new list")
	w.write(t, "hosts.yml", hostsFile(6))
	w.awaitList(t, "the list of the restored file", "n6@127.0.0.1:4006")
	if reason := w.watcher.RejectReason(); reason != "" {
		t.Errorf("RejectReason() = %q, want none", reason)
	}
}
