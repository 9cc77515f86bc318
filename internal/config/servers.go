package config

import (
	"errors"
	"path/filepath"

	"ryepaddle/internal/discovery"
	"ryepaddle/internal/inventory"
)

// InventoryWatch is how the inventory is taken when it changes.
type InventoryWatch struct {
	// it is looked at so often, beside what the system tells of it; 0: at HUP alone
	IntervalS float64 `yaml:"every_s"`
	SettleMs  int64   `yaml:"settle_ms"` // it has to stay as it is for so long
	// a list that lost more than this share of its servers waits for a HUP
	MaxShrink float64 `yaml:"shrink"`
}

func (o *Operator) checkInventory(*Platform) (err error) {
	if o.Inventory == "" {
		return nil
	}
	path := o.Inventory
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(o.file), path)
	}
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

// WithServers is the same file with another list of servers, checked as a whole.
func (o *Operator) WithServers(
	mark discovery.Fingerprint,
	servers []inventory.Server,
	p *Platform,
) (*Operator, error) {
	next := *o
	next.InventoryFingerprint, next.Servers, next.GroupByClass = mark, servers, map[string]string{}
	if err := next.checkRoutes(p); err != nil {
		return nil, err
	}
	return &next, nil
}
