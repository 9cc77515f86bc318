package app

import (
	"time"

	"ryepaddle/internal/config"
	"ryepaddle/internal/discovery"
	"ryepaddle/internal/inventory"
)

// watchInventory watches the inventory's files as a new operator's file says, and stops watching those
// of the previous operator's file. If the file watches the same inventory, the watcher is kept.
func (p *Program) watchInventory(next *config.Operator) {
	if p.uwsgi.inventory != nil && sameInventory(p.operator, next) {
		p.uwsgi.inventory.Accepted(next.InventoryFingerprint, next.Servers)
		return
	}
	if watcher := p.uwsgi.inventory; watcher != nil {
		p.uwsgi.inventory = nil
		go watcher.Stop() // in a goroutine, because it waits for a read that is in progress
	}
	if next == nil || next.InventoryPath == "" || next.InventoryWatch.IntervalS == 0 {
		return
	}
	p.uwsgi.inventory = p.startWatcher(next)
}

// sameInventory reports whether two operator's files have the same inventory, with the same settings of
// the watch.
func sameInventory(a, b *config.Operator) bool {
	return a != nil && b != nil && a.InventoryPath == b.InventoryPath && a.InventoryWatch == b.InventoryWatch
}

// startWatcher starts a watcher of the inventory, which delivers what it finds to the loop.
func (p *Program) startWatcher(operator *config.Operator) *discovery.Watcher {
	settings := &operator.InventoryWatch
	var watcher *discovery.Watcher
	found := func(fingerprint discovery.Fingerprint, servers []inventory.Server) {
		p.loop.Deliver(func() { p.applyFound(watcher, fingerprint, servers) })
	}
	watcher = discovery.Watch(
		operator.InventoryPath,
		discovery.Config{
			SettleTime: time.Duration(settings.SettleMs) * time.Millisecond,
			MaxShrink:  settings.MaxShrink,
		},
		time.Duration(settings.IntervalS*float64(time.Second)),
		operator.InventoryFingerprint,
		operator.Servers,
		found,
	)
	return watcher
}

// applyFound applies a list of servers that a watcher has found, unless the watcher was replaced or a
// HUP has applied a newer list in the meantime.
func (p *Program) applyFound(
	watcher *discovery.Watcher,
	fingerprint discovery.Fingerprint,
	servers []inventory.Server,
) {
	if p.uwsgi.inventory == watcher && watcher.IsPending(fingerprint) {
		p.applyInventory(fingerprint, servers)
	}
}

// applyInventory applies a new list of servers. It rejects the list if the rest of the operator's file
// is not valid with it.
func (p *Program) applyInventory(fingerprint discovery.Fingerprint, servers []inventory.Server) {
	next, err := p.operator.WithServers(fingerprint, servers, p.config)
	if err != nil {
		p.uwsgi.inventory.Rejected(fingerprint, err)
		discovery.EventRejected.Log(err)
		return
	}
	eventInventoryApplied.Log(len(servers), discovery.Diff(p.operator.Servers, servers))
	p.operator = next
	p.applyRoutes(next)
	p.uwsgi.inventory.Accepted(fingerprint, servers)
}
