// Package discovery decides when a changed inventory is read, and whether what was read is taken.
// It is free of I/O: it is told what files look like, what they were found to mean, and the time.
//
// A list is read once it has stayed as it is for a while, so that what is still being written is
// let alone; one that never rests is read all the same after some time, since its tool may write it
// whole each time. It is taken whole or not at all. One that is wrong, or has lost many of its
// servers at once, is refused once, with the reason, and the last good one stays; a loss that is
// meant is confirmed by whoever says so (HUP).
package discovery

import (
	"fmt"

	"ryepaddle/internal/inventory"
)

// Config is how it decides. Times are microseconds.
type Config struct {
	SettleTime int64   // files have to stay as they are for so long
	MaxShrink  float64 // a list that has lost more than this share of its servers is refused
}

// restless is how many times the time to settle is waited for files that never do.
const restless = 5

// Fingerprint stands for all that is in the files of an inventory: another mark means other files.
type Fingerprint uint64

// Validator is the state of an inventory's files. It is used by one goroutine.
type Validator struct {
	cfg     Config
	seen    Fingerprint // as they look now
	since   int64
	moving  int64 // since when they have not been as they were taken or refused; 0: they are
	taken   Fingerprint
	current []inventory.Server
	refused Fingerprint
	reason  string
	offered Fingerprint // was handed over, and is not yet answered
	version int         // of the list that holds, whoever brought it
	reading int         // the version when the files were last found to be read
}

// New begins with a list that was taken.
func New(cfg Config, mark Fingerprint, servers []inventory.Server) *Validator {
	return &Validator{cfg: cfg, seen: mark, taken: mark, current: servers}
}

// Observe notes how the files look, and tells whether they are to be read now.
func (i *Validator) Observe(mark Fingerprint, now int64) (read bool) {
	if mark != i.seen {
		i.seen, i.since = mark, now
	}
	if mark == i.taken || mark == i.offered && mark != 0 || mark == i.refused && i.reason != "" {
		i.moving = 0
		return false
	}
	if i.moving == 0 {
		i.moving = now
	}
	i.reading = i.version
	return now-i.since >= i.cfg.SettleTime || now-i.moving >= restless*i.cfg.SettleTime
}

// Verdict is what becomes of a list that was read.
type Verdict uint8

// The verdicts.
const (
	Accept Verdict = iota + 1
	Reject         // the reason is told once
	Reread         // it changed while it was read
)

// ErrShrunk is that of a list that has lost too many of its servers.
var ErrShrunk error = shrunk.New("a HUP confirms it, if it is meant")

// Validate decides about what was read, between two looks at the files. A list that was taken
// meanwhile may be newer than what was read.
func (i *Validator) Validate(
	before, after Fingerprint,
	servers []inventory.Server,
	err error,
	now int64,
) (Verdict, error) {
	if before != after || i.reading != i.version {
		i.Observe(after, now)
		return Reread, nil
	}
	if err == nil {
		err = i.checkLoss(servers)
	}
	if err != nil {
		i.Rejected(before, err)
		return Reject, err
	}
	i.offered = before
	return Accept, nil
}

func (i *Validator) checkLoss(servers []inventory.Server) error {
	if len(i.current) == 0 {
		return nil
	}
	in := make(map[string]bool, len(servers))
	for _, s := range servers {
		in[s.Name] = s.Weight > 0
	}
	lost, all, first := 0, 0, ""
	for _, s := range i.current {
		if s.Weight == 0 {
			continue
		}
		if all++; !in[s.Name] {
			if lost++; first == "" {
				first = s.Name
			}
		}
	}
	if float64(lost) > i.cfg.MaxShrink*float64(all) {
		return fmt.Errorf(
			"%d of %d servers are gone from it at once, %s the first of them: %w",
			lost,
			all,
			first,
			ErrShrunk,
		)
	}
	return nil
}

// Rejected notes that what the files hold is not taken.
func (i *Validator) Rejected(mark Fingerprint, why error) {
	i.refused, i.reason, i.moving, i.offered = mark, why.Error(), 0, 0
}

// Accepted notes a list that holds from now on, whoever brought it.
func (i *Validator) Accepted(mark Fingerprint, servers []inventory.Server) {
	i.version++
	i.taken, i.current, i.refused, i.reason, i.moving, i.offered = mark, servers, 0, "", 0, 0
}

// IsPending tells whether a list that was handed over still waits to be taken: a HUP may have brought
// a newer one since.
func (i *Validator) IsPending(mark Fingerprint) bool { return i.offered == mark && mark != 0 }

// RejectReason is why the files as they are now are not taken; empty: they are, or they have not settled.
func (i *Validator) RejectReason() string {
	if i.seen == i.refused {
		return i.reason
	}
	return ""
}

// Difference is what one list has changed of another.
type Difference struct{ Added, Removed, Moved, Changed int }

// Diff compares two lists by the names in use.
func Diff(old, new []inventory.Server) (d Difference) {
	had := make(map[string]*inventory.Server, len(old))
	for k := range old {
		if old[k].Weight > 0 {
			had[old[k].Name] = &old[k]
		}
	}
	for k := range new {
		s := &new[k]
		if s.Weight == 0 {
			continue
		}
		switch o := had[s.Name]; {
		case o == nil:
			d.Added++
		case o.Addr != s.Addr:
			d.Moved++
		case o.Weight != s.Weight || o.Zone != s.Zone || fmt.Sprint(o.Groups) != fmt.Sprint(s.Groups):
			d.Changed++
		}
		delete(had, s.Name)
	}
	d.Removed = len(had)
	return d
}

func (d Difference) String() string {
	return fmt.Sprintf("%d came, %d left, %d moved, %d changed", d.Added, d.Removed, d.Moved, d.Changed)
}
