package cluster

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"ryepaddle/internal/testing/historychecker"
	"ryepaddle/internal/usage/ledger"
)

// usageDir is the folder of a runner's account of usage.
func (n *Node) usageDir() string { return filepath.Join(n.disk(), "usage") }

// peersDir is the folder of a runner's part among its peers.
func (n *Node) peersDir() string { return filepath.Join(n.disk(), "peers") }

// ReconcileUsage drains all runners, puts together what their folders have of uses, and holds it against
// what callers saw.
func (c *Cluster) ReconcileUsage() (historychecker.Verdict, *ledger.Bill, error) {
	var list []*ledger.Statement
	for _, n := range c.Nodes {
		if err := n.Drain(); err != nil {
			return nil, nil, err
		}
	}
	for _, n := range c.Nodes {
		its, err := readStatements(n.usageDir())
		if err != nil {
			return nil, nil, err
		}
		list = append(list, its...)
	}
	b, err := ledger.Reconcile(list, ledger.BillingTerms{})
	if err != nil {
		return nil, nil, err
	}
	return c.History.CheckBill(
		"hand-in",
		b,
		list,
		c.RunCounts(),
		func(key string) uint64 { return ledger.HashKey("north", "hand-in", key) },
	), b, nil
}

// readStatements are those of a folder, and the one that its account would be ended with.
func readStatements(dir string) (list []*ledger.Statement, err error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), ".json") {
			continue
		}
		b, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return nil, err
		}
		s, err := ledger.ParseStatement(f.Name(), b)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	b, err := os.ReadFile(filepath.Join(dir, "state"))
	if errors.Is(err, fs.ErrNotExist) {
		return list, nil
	}
	if err != nil {
		return nil, err
	}
	led, err := ledger.Inspect(b)
	if err != nil {
		return nil, err
	}
	led.Finish()
	for s, _ := led.NextStatement(); s != nil; s, _ = led.NextStatement() {
		list = append(list, s)
		led.MarkExported(s)
	}
	return list, nil
}
