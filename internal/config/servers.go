package config

import (
	"errors"

	"ryepaddle/internal/discovery"
	"ryepaddle/internal/inventory"
)

// InventoryWatch configures how changes of the inventory are found and applied while the program
// runs.
type InventoryWatch struct {
	// IntervalS is the time in s between two checks of the files, beside the notifications of the
	// system; default 5, 0: the inventory is read at SIGHUP only.
	IntervalS float64 `yaml:"every_s"`
	// SettleMs is how long in ms the files have to stay unchanged before they are read; default
	// 1000.
	SettleMs int64 `yaml:"settle_ms"`
	// MaxShrink is the share of its servers that a list may lose without a SIGHUP; default 0.5.
	MaxShrink float64 `yaml:"shrink"`
}

// checkInventory reads the inventory.
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
			return err // it names its own file and line
		}
		return o.document.Errorf("inventory", "%v", err)
	}
	return nil
}

// WithServers returns a copy of the file with another list of servers, checked as a whole.
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
