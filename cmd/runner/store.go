package main

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/wallclock"
)

// maxReadAttempts bounds the number of reads of a folder whose files are deleted meanwhile.
const maxReadAttempts = 20

// shownHashBytes is how many bytes of a body's hash are printed.
const shownHashBytes = 8

type storeCmd struct {
	Inspect storeInspectCmd `cmd:"" help:"${store_inspect}"`
	Verify  storeVerifyCmd  `cmd:"" help:"${store_verify}"`
	Compact storeCompactCmd `cmd:"" help:"${store_compact}"`
	Copy    storeCopyCmd    `cmd:"" help:"${store_copy}"`
}

// readStore reads a folder that may be in use. A running program deletes old files when it has
// written a new snapshot. If a file is deleted before it is read, the folder is read again.
func readStore(dir string) (*store.Recovery, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, inputError{err}
	}
	if !info.IsDir() {
		return nil, inputError{fmt.Errorf("%s is not a folder", dir)}
	}
	for range maxReadAttempts {
		recovery, err := store.Read(store.Dir(dir), wallclock.FromTime(time.Now()), store.DefaultOptions())
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		var format *store.FormatError
		if errors.As(err, &format) {
			err = inputError{err}
		}
		return recovery, err
	}
	return nil, fmt.Errorf("%s: its files are deleted faster than they are read", dir)
}

// checkDamage returns an error if a folder is damaged.
func checkDamage(recovery *store.Recovery) error {
	if len(recovery.Damage) > 0 {
		return inputError{&store.DamageError{Damage: recovery.Damage}}
	}
	return nil
}

type storeInspectCmd struct {
	Dir  string `arg:"" help:"The folder of the store: store.dir of the operator's file."`
	JSON bool   `help:"Print the keys as JSON."`
}

// storeRow describes a stored key. It is printed as JSON or as a row of a table.
type storeRow struct {
	Class  string    `json:"class"`
	Tenant string    `json:"tenant,omitempty"`
	Key    string    `json:"key"`
	State  string    `json:"state"`
	Until  time.Time `json:"until"` // when the key expires
	Bytes  int       `json:"bytes"` // size of the result
	Owner  string    `json:"owner"`
	Body   string    `json:"body"` // first bytes of its hash, in hexadecimal
}

// Run prints the stored keys.
func (c *storeInspectCmd) Run(s *streams) error {
	recovery, err := readStore(c.Dir)
	if err != nil {
		return err
	}
	rows := []storeRow{}
	for _, key := range recovery.Keys {
		rows = append(rows, newStoreRow(key))
	}
	if c.JSON {
		return printJSON(s, rows)
	}
	t := newTable("class", "tenant", "key", "state", "until", "bytes", "owner", "body")
	for _, r := range rows {
		until := r.Until.Format(time.RFC3339)
		t.AppendRow(table.Row{r.Class, r.Tenant, r.Key, r.State, until, r.Bytes, r.Owner, r.Body})
	}
	_, err = fmt.Fprintf(
		s.out,
		"%s\n%d keys, %d expired; snapshot %d, %d segments with %d records\n",
		t.Render(),
		len(rows),
		recovery.Expired,
		recovery.Snapshot,
		recovery.Segments,
		recovery.Records,
	)
	return err
}

func newStoreRow(key *store.Key) storeRow {
	row := storeRow{
		Class:  key.Name.Class,
		Tenant: key.Name.Tenant,
		Key:    key.Name.Key,
		State:  "begun",
		Until:  key.ExpiresAt.Time().UTC(),
		Owner:  fmt.Sprintf("%x", key.Owner),
		Body:   hex.EncodeToString(key.BodyHash[:shownHashBytes]),
	}
	switch {
	case key.Result != nil:
		row.State = fmt.Sprintf("ended, status %d", key.Result.Status)
		row.Bytes = len(key.Result.Body)
	case key.Ended:
		row.State = "ended without a result"
	}
	return row
}

type storeVerifyCmd struct {
	Dir  string `arg:"" help:"The folder of the store."`
	JSON bool   `help:"Print the summary, including any damage, as JSON."`
}

// storeSummary summarizes what a folder holds. It is printed as JSON.
type storeSummary struct {
	Keys     int    `json:"keys"`
	Expired  int    `json:"expired"`
	Snapshot uint64 `json:"snapshot"`
	Segments int    `json:"segments"`
	Records  int    `json:"records"`
	// bytes of an incomplete write at the end of the journal, which was never acknowledged
	TornBytes int64          `json:"cut_bytes"`
	Damage    []store.Damage `json:"damage,omitempty"`
}

func summarizeStore(recovery *store.Recovery) storeSummary {
	return storeSummary{
		Keys:      len(recovery.Keys),
		Expired:   recovery.Expired,
		Snapshot:  recovery.Snapshot,
		Segments:  recovery.Segments,
		Records:   recovery.Records,
		TornBytes: recovery.TornBytes,
		Damage:    recovery.Damage,
	}
}

// Run reports damaged files of a folder, or prints a summary if there are none.
func (c *storeVerifyCmd) Run(s *streams) error {
	recovery, err := readStore(c.Dir)
	if err != nil {
		return err
	}
	if c.JSON {
		return errors.Join(printJSON(s, summarizeStore(recovery)), checkDamage(recovery))
	}
	for _, damage := range recovery.Damage {
		fmt.Fprintf(s.err, "%s: bytes %d to %d\n", damage.File, damage.From, damage.To)
	}
	if err := checkDamage(recovery); err != nil {
		return err
	}
	_, err = fmt.Fprintf(
		s.out,
		"whole: %d keys; snapshot %d, %d segments with %d records, %d bytes at the end that were never promised\n",
		len(recovery.Keys),
		recovery.Snapshot,
		recovery.Segments,
		recovery.Records,
		recovery.TornBytes,
	)
	return err
}

type storeCompactCmd struct {
	Dir    string `arg:"" help:"The folder of the store, which must not be in use."`
	Repair bool   `help:"Compact although files are damaged: rename them, and keep what can be read."`
	JSON   bool   `help:"Print the summary as JSON."`
}

// Run replaces the journal by a snapshot.
func (c *storeCompactCmd) Run(s *streams) error {
	if _, err := readStore(c.Dir); err != nil {
		return err
	}
	dir := store.Dir(c.Dir)
	unlock, err := dir.Lock()
	if err != nil {
		return inputError{err}
	}
	return errors.Join(c.compact(s, dir), unlock())
}

// compact opens the journal of a folder, which writes a snapshot, and closes it.
func (c *storeCompactCmd) compact(s *streams, dir store.Dir) error {
	options := store.DefaultOptions()
	options.Repair = c.Repair
	journal, recovery, err := store.OpenJournal(dir, wallclock.FromTime(time.Now()), options)
	var damage *store.DamageError
	if errors.As(err, &damage) {
		err = inputError{err}
	}
	if journal == nil || err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(s, summarizeStore(recovery))
	} else {
		_, err = fmt.Fprintf(s.out, "%d keys in one snapshot, %d expired\n", len(recovery.Keys), recovery.Expired)
	}
	return errors.Join(err, journal.Close())
}

type storeCopyCmd struct {
	Dir  string `arg:"" help:"The folder of the store."`
	To   string `arg:"" help:"The folder to create, which must not exist."`
	JSON bool   `help:"Print the summary as JSON."`
}

// Run writes a backup from which a program can start.
func (c *storeCopyCmd) Run(s *streams) error {
	recovery, err := readStore(c.Dir)
	if err == nil {
		err = checkDamage(recovery)
	}
	if err != nil {
		return err
	}
	if err := os.Mkdir(c.To, 0o700); err != nil {
		return inputError{err}
	}
	err = store.WriteSnapshot(store.Dir(c.To), recovery.Keys, wallclock.FromTime(time.Now()))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, summarizeStore(recovery))
	}
	_, err = fmt.Fprintf(s.out, "%d keys\n", len(recovery.Keys))
	return err
}
