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

// ReconcileUsage drains all runners, reconciles their statements of usage to a bill, and compares
// the bill with the history of the clients.
func (c *Cluster) ReconcileUsage() (historychecker.Verdict, *ledger.Bill, error) {
	for _, n := range c.Nodes {
		if err := n.Drain(); err != nil {
			return nil, nil, err
		}
	}
	var statements []*ledger.Statement
	for _, n := range c.Nodes {
		ofNode, err := readStatements(n.usageDir())
		if err != nil {
			return nil, nil, err
		}
		statements = append(statements, ofNode...)
	}
	bill, err := ledger.Reconcile(statements, ledger.BillingTerms{})
	if err != nil {
		return nil, nil, err
	}
	hash := func(key string) uint64 { return ledger.HashKey(tenantName, keyedClass, key) }
	return c.History.CheckBill(keyedClass, bill, statements, c.RunCounts(), hash), bill, nil
}

// readStatements returns the exported statements of a directory, and those that are still in its state
// file.
func readStatements(dir string) ([]*ledger.Statement, error) {
	exported, err := exportedStatements(dir)
	if err != nil {
		return nil, err
	}
	rest, err := unexportedStatements(filepath.Join(dir, "state"))
	if err != nil {
		return nil, err
	}
	return append(exported, rest...), nil
}

// exportedStatements returns the statements in the JSON files of a directory.
func exportedStatements(dir string) ([]*ledger.Statement, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var statements []*ledger.Statement
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), ".json") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return nil, err
		}
		statement, err := ledger.ParseStatement(f.Name(), text)
		if err != nil {
			return nil, err
		}
		statements = append(statements, statement)
	}
	return statements, nil
}

// unexportedStatements finishes the account of a state file and returns its remaining statements; none
// if the file does not exist.
func unexportedStatements(stateFile string) ([]*ledger.Statement, error) {
	state, err := os.ReadFile(stateFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	account, err := ledger.Inspect(state)
	if err != nil {
		return nil, err
	}
	account.Finish()
	var statements []*ledger.Statement
	for {
		statement, _ := account.NextStatement()
		if statement == nil {
			return statements, nil
		}
		statements = append(statements, statement)
		account.MarkExported(statement)
	}
}
