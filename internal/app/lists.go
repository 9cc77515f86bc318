package app

import (
	"time"

	"ryepaddle/internal/config"
	"ryepaddle/internal/discovery"
	"ryepaddle/internal/inventory"
)

// watchList has the inventory's files watched as the operator's file says, in place of those that
// were.
func (r *Program) watchList(op *config.Operator) {
	var was *config.Operator
	if r.watch != nil {
		was = r.op
	}
	if was != nil && op != nil && was.InventoryPath == op.InventoryPath && was.InventoryWatch == op.InventoryWatch {
		r.watch.Accepted(op.InventoryFingerprint, op.Servers)
		return
	}
	if r.watch != nil {
		w := r.watch
		r.watch = nil
		go w.Stop() // it may be reading
	}
	if op == nil || op.InventoryPath == "" || op.InventoryWatch.IntervalS == 0 {
		return
	}
	var w *discovery.Watcher
	found := func(mark discovery.Fingerprint, servers []inventory.Server) {
		r.loop.Deliver(func() { r.takeFound(w, mark, servers) })
	}
	cfg := discovery.Config{SettleTime: time.Duration(op.InventoryWatch.SettleMs) * time.Millisecond, MaxShrink: op.InventoryWatch.MaxShrink}
	w = discovery.Watch(
		op.InventoryPath,
		cfg,
		time.Duration(op.InventoryWatch.IntervalS*float64(time.Second)),
		op.InventoryFingerprint,
		op.Servers,
		found,
	)
	r.watch = w
}

// takeFound takes a list that a watcher has found, unless that was replaced or a HUP has brought a
// newer list meanwhile.
func (r *Program) takeFound(w *discovery.Watcher, mark discovery.Fingerprint, servers []inventory.Server) {
	if r.watch == w && w.IsPending(mark) {
		r.takeList(mark, servers)
	}
}

// takeList moves to another list of servers, where the rest of the operator's file still goes with
// it.
func (r *Program) takeList(mark discovery.Fingerprint, servers []inventory.Server) {
	next, err := r.op.WithServers(mark, servers, r.cfg)
	if err != nil {
		r.watch.Rejected(mark, err)
		discovery.EventRejected.Log(err)
		return
	}
	evListTaken.Log(len(servers), discovery.Diff(r.op.Servers, servers))
	r.op = next
	r.route(next)
	r.watch.Accepted(mark, servers)
}
