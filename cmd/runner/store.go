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

type storeCmd struct {
	Inspect storeInspectCmd `cmd:"" help:"List the keys that a folder holds. It may be in use."`
	Verify  storeVerifyCmd  `cmd:"" help:"Say whether a folder is whole, and if not, where. It may be in use."`
	Compact storeCompactCmd `cmd:"" help:"Cut the journal of a folder that is not in use."`
	Copy    storeCopyCmd    `cmd:"" help:"Write what a folder holds into another one, as a backup. It may be in use."`
}

// Help implements kong.HelpProvider.
func (storeCmd) Help() string {
	return `Keys of hand-ins are kept where store.dir of the operator's file says. Files are never changed but by compact.

Examples:
  runner store inspect /var/lib/ryepaddle/keys --json
  runner store verify /var/lib/ryepaddle/keys || echo damaged
  runner store copy /var/lib/ryepaddle/keys /backup/keys-tuesday
  runner store compact /var/lib/ryepaddle/keys --repair`
}

// readStore reads a folder that may be in use: a file that a snapshot has just made needless may go
// meanwhile.
func readStore(dir string) (*store.Recovery, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, badInput{err}
	}
	if !info.IsDir() {
		return nil, badInput{fmt.Errorf("%s is no folder", dir)}
	}
	for range 20 {
		f, err := store.Read(store.Dir(dir), wallclock.FromTime(time.Now()), store.DefaultOptions())
		if !errors.Is(err, os.ErrNotExist) {
			var format *store.FormatError
			if errors.As(err, &format) {
				err = badInput{err}
			}
			return f, err
		}
	}
	return nil, fmt.Errorf("%s changes too fast to be read", dir)
}

// whole is an error if a folder is damaged.
func whole(f *store.Recovery) error {
	if len(f.Damage) > 0 {
		return badInput{&store.DamageError{Damage: f.Damage}}
	}
	return nil
}

type storeInspectCmd struct {
	Dir  string `arg:"" help:"The folder, as store.dir of the operator's file names it."`
	JSON bool   `help:"Print the keys as JSON."`
}

// Run lists keys.
func (c *storeInspectCmd) Run(sh *shell) error {
	f, err := readStore(c.Dir)
	if err != nil {
		return err
	}
	type row struct {
		Class  string    `json:"class"`
		Tenant string    `json:"tenant,omitempty"`
		Key    string    `json:"key"`
		State  string    `json:"state"`
		Until  time.Time `json:"until"`
		Bytes  int       `json:"bytes"`
		Owner  string    `json:"owner"`
		Body   string    `json:"body"`
	}
	rows := []row{}
	for _, k := range f.Keys {
		r := row{
			k.Name.Class,
			k.Name.Tenant,
			k.Name.Key,
			"begun",
			time.UnixMicro(int64(k.ExpiresAt)).UTC(),
			0,
			fmt.Sprintf("%x", k.Owner),
			hex.EncodeToString(k.BodyHash[:8]),
		}
		switch {
		case k.Result != nil:
			r.State, r.Bytes = fmt.Sprintf("ended, status %d", k.Result.Status), len(k.Result.Body)
		case k.Ended:
			r.State = "ended without a result"
		}
		rows = append(rows, r)
	}
	if c.JSON {
		return printJSON(sh, rows)
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"class", "tenant", "key", "state", "until", "bytes", "owner", "body"})
	for _, r := range rows {
		t.AppendRow(
			table.Row{
				r.Class,
				r.Tenant,
				r.Key,
				r.State,
				r.Until.Format(time.RFC3339),
				r.Bytes,
				r.Owner,
				r.Body,
			},
		)
	}
	_, err = fmt.Fprintf(
		sh.out,
		"%s\n%d keys, %d expired; snapshot %d, %d segments with %d records\n",
		t.Render(),
		len(rows),
		f.Expired,
		f.Snapshot,
		f.Segments,
		f.Records,
	)
	return err
}

type storeVerifyCmd struct {
	Dir  string `arg:"" help:"The folder."`
	JSON bool   `help:"Print what was found as JSON."`
}

// storeSum is what a folder holds.
type storeSum struct {
	Keys     int            `json:"keys"`
	Expired  int            `json:"expired"`
	Snapshot uint64         `json:"snapshot"`
	Segments int            `json:"segments"`
	Records  int            `json:"records"`
	Cut      int64          `json:"cut_bytes"` // at the end, which were never promised
	Damage   []store.Damage `json:"damage,omitempty"`
}

func sumOf(f *store.Recovery) storeSum {
	return storeSum{len(f.Keys), f.Expired, f.Snapshot, f.Segments, f.Records, f.TornBytes, f.Damage}
}

// Run looks for damage.
func (c *storeVerifyCmd) Run(sh *shell) error {
	f, err := readStore(c.Dir)
	if err != nil {
		return err
	}
	if c.JSON {
		return errors.Join(printJSON(sh, sumOf(f)), whole(f))
	}
	for _, d := range f.Damage {
		fmt.Fprintf(sh.err, "%s: bytes %d to %d\n", d.File, d.From, d.To)
	}
	if err := whole(f); err != nil {
		return err
	}
	_, err = fmt.Fprintf(
		sh.out,
		"whole: %d keys; snapshot %d, %d segments with %d records, %d bytes at the end that were never "+
			"promised\n",
		len(f.Keys),
		f.Snapshot,
		f.Segments,
		f.Records,
		f.TornBytes,
	)
	return err
}

type storeCompactCmd struct {
	Dir    string `arg:"" help:"The folder. No process may use it."`
	Repair bool   `help:"Keep damaged files aside and go on."`
	JSON   bool   `help:"Print what is left as JSON."`
}

// Run begins a journal anew, which leaves a snapshot.
func (c *storeCompactCmd) Run(sh *shell) error {
	if _, err := readStore(c.Dir); err != nil {
		return err
	}
	dir := store.Dir(c.Dir)
	unlock, err := dir.Lock()
	if err != nil {
		return badInput{err}
	}
	opt := store.DefaultOptions()
	opt.Repair = c.Repair
	j, f, err := store.OpenJournal(dir, wallclock.FromTime(time.Now()), opt)
	var damage *store.DamageError
	if errors.As(err, &damage) {
		err = badInput{err}
	}
	if j == nil || err != nil {
		return errors.Join(err, unlock())
	}
	if c.JSON {
		err = printJSON(sh, sumOf(f))
	} else {
		_, err = fmt.Fprintf(sh.out, "%d keys in one snapshot, %d expired\n", len(f.Keys), f.Expired)
	}
	return errors.Join(err, j.Close(), unlock())
}

type storeCopyCmd struct {
	Dir  string `arg:"" help:"The folder."`
	To   string `arg:"" help:"A folder that is not there yet."`
	JSON bool   `help:"Print what was copied as JSON."`
}

// Run writes a backup that a program can start from.
func (c *storeCopyCmd) Run(sh *shell) error {
	f, err := readStore(c.Dir)
	if err == nil {
		err = whole(f)
	}
	if err != nil {
		return err
	}
	if err := os.Mkdir(c.To, 0o700); err != nil {
		return badInput{err}
	}
	if err := store.WriteSnapshot(store.Dir(c.To), f.Keys, wallclock.FromTime(time.Now())); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(sh, sumOf(f))
	}
	_, err = fmt.Fprintf(sh.out, "%d keys\n", len(f.Keys))
	return err
}
