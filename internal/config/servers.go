package config

import (
	"errors"

	"ryepaddle/internal/discovery"
	"ryepaddle/internal/inventory"
)

// InventoryWatch configures how changes of the inventory are noticed and applied while the program
// runs.
type InventoryWatch struct {
	// IntervalS is the time in s between two checks of the files, which are also checked after change
	// notifications of the system; default 5, 0: the inventory is read at SIGHUP only.
	IntervalS float64 `yaml:"every_s"`
	// SettleMs is the time in ms for which the files must stay unchanged before they are read; default
	// 1000.
	SettleMs int64 `yaml:"settle_ms"`
	// MaxShrink is the largest share of the servers in force that a new list may lack without a
	// SIGHUP; default 0.5.
	MaxShrink float64 `yaml:"shrink"`
}

// checkInventory reads the inventory and its fingerprint.
func (o *Operator) checkInventory(*Platform) (err error) {
	if o.Inventory == "" {
		return nil
	}
	path := o.resolvePath(o.Inventory)
	o.InventoryPath = path
	if o.InventoryFingerprint, err = discovery.FingerprintOf(path); err != nil {
		return o.document.Errorf("inventory", "%v", err)
	}
	if o.Servers, err = inventory.Read(path); err != nil {
		var at *inventory.Error
		if errors.As(err, &at) {
			return err // it names the file and line of the inventory
		}
		return o.document.Errorf("inventory", "%v", err)
	}
	return nil
}

// WithServers returns a copy with another list of servers, after checking the routes against it.
func (o *Operator) WithServers(
	fingerprint discovery.Fingerprint,
	servers []inventory.Server,
	p *Platform,
) (*Operator, error) {
	next := *o
	next.InventoryFingerprint = fingerprint
	next.Servers = servers
	next.GroupByClass = map[string]string{} // checkRoutes fills it
	if err := next.checkRoutes(p); err != nil {
		return nil, err
	}
	return &next, nil
}
