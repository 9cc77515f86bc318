// Package discovery watches the files of the server inventory, reads them when they have changed,
// and decides whether the new list is accepted. The Validator makes these decisions and does no
// I/O. The Watcher applies it to the files of a running program, the command "runner inventory
// check" to two files that an operator names.
//
// The files are read once they have not changed for a settle time, so that a file is not read while
// it is written; files that keep changing are read after several settle times. A list is accepted
// as a whole or not at all. A list that is invalid, or that lacks many of the accepted servers, is
// rejected, the reason is logged once, and the accepted list stays in force. If the loss of servers is
// intended, SIGHUP makes the program accept the list.
package discovery

import (
	"cmp"
	"fmt"
	"time"

	"ryepaddle/internal/inventory"
)

// Config configures a Validator.
type Config struct {
	// SettleTime is how long the files must stay unchanged before they are read.
	SettleTime time.Duration
	// MaxShrink is the largest share of the accepted servers, from 0 to 1, that a new list may lack.
	MaxShrink float64
}

// maxSettleFactor is the number of settle times after which files are read even if they keep
// changing.
const maxSettleFactor = 5

// Fingerprint identifies the contents of an inventory's files; 0 means that they cannot be read.
type Fingerprint uint64

// Validator is the state machine that decides when the files are read and which lists are accepted.
// Times are monotonic and above 0. It is not safe for concurrent use.
type Validator struct {
	config     Config
	observed   Fingerprint   // last observed fingerprint
	observedAt time.Duration // when observed was first seen
	// unsettledSince is when the files began to differ from the accepted, rejected or pending list;
	// 0: they do not differ.
	unsettledSince time.Duration

	acceptedFingerprint Fingerprint
	accepted            []inventory.Server
	rejectedFingerprint Fingerprint
	rejectReason        string
	// pending is the fingerprint of a list for which Validate returned Accept, until Accepted or
	// Rejected is called; 0: none.
	pending     Fingerprint
	version     int // of the accepted list
	readVersion int // version when Observe last recorded a change
}

// New returns a Validator whose accepted list is servers, read from files with that fingerprint.
func New(config Config, fingerprint Fingerprint, servers []inventory.Server) *Validator {
	return &Validator{
		config:              config,
		observed:            fingerprint,
		acceptedFingerprint: fingerprint,
		accepted:            servers,
	}
}

// Observe records the current fingerprint of the files, and reports whether they are due to be read
// now.
func (v *Validator) Observe(fingerprint Fingerprint, now time.Duration) (due bool) {
	if fingerprint != v.observed {
		v.observed = fingerprint
		v.observedAt = now
	}
	if v.isSettled(fingerprint) {
		v.unsettledSince = 0
		return false
	}
	if v.unsettledSince == 0 {
		v.unsettledSince = now
	}
	v.readVersion = v.version
	settled := now-v.observedAt >= v.config.SettleTime
	overdue := now-v.unsettledSince >= maxSettleFactor*v.config.SettleTime
	return settled || overdue
}

// isSettled reports whether the files with this fingerprint need not be read: their list is
// accepted, rejected or pending.
func (v *Validator) isSettled(fingerprint Fingerprint) bool {
	return fingerprint == v.acceptedFingerprint ||
		fingerprint == v.pending && fingerprint != 0 ||
		fingerprint == v.rejectedFingerprint && v.rejectReason != ""
}

// Verdict is the decision on a list that was read.
type Verdict uint8

// Verdicts of Validate.
const (
	Accept Verdict = iota + 1
	Reject
	Reread // the files changed while they were read
)

// ErrShrunk reports a list that lacks too many of the accepted servers.
var ErrShrunk error = shrunkKind.New("send SIGHUP to accept the list if this is intended")

// Validate decides on a list that was read, or on the error of reading it. before and after are the
// fingerprints of the files before and after they were read. The verdict is Reread if the files
// changed meanwhile, or if a list was accepted since Observe found the files due: that list may be
// newer than this one.
func (v *Validator) Validate(
	before, after Fingerprint,
	servers []inventory.Server,
	err error,
	now time.Duration,
) (Verdict, error) {
	if before != after || v.readVersion != v.version {
		v.Observe(after, now)
		return Reread, nil
	}
	if err == nil {
		err = v.checkShrink(servers)
	}
	if err != nil {
		v.Rejected(before, err)
		return Reject, err
	}
	v.pending = before
	return Accept, nil
}

// checkShrink returns an error if a list lacks too many of the accepted servers. Disabled servers
// are not counted.
func (v *Validator) checkShrink(servers []inventory.Server) error {
	enabled := make(map[string]bool, len(servers))
	for _, server := range servers {
		enabled[server.Name] = server.Weight > 0
	}
	total := 0
	missing := 0
	firstMissing := ""
	for _, server := range v.accepted {
		if server.Weight == 0 {
			continue
		}
		total++
		if enabled[server.Name] {
			continue
		}
		missing++
		firstMissing = cmp.Or(firstMissing, server.Name)
	}
	if float64(missing) > v.config.MaxShrink*float64(total) {
		return fmt.Errorf("%d of %d servers are missing from the new list, the first is %s: %w",
			missing, total, firstMissing, ErrShrunk)
	}
	return nil
}

// Rejected records that the list with this fingerprint is rejected, and why.
func (v *Validator) Rejected(fingerprint Fingerprint, reason error) {
	v.rejectedFingerprint = fingerprint
	v.rejectReason = reason.Error()
	v.unsettledSince = 0
	v.pending = 0
}

// Accepted records the list that is in force from now on, whether it was read by the Watcher or at
// SIGHUP.
func (v *Validator) Accepted(fingerprint Fingerprint, servers []inventory.Server) {
	v.version++
	v.acceptedFingerprint = fingerprint
	v.accepted = servers
	v.rejectedFingerprint = 0
	v.rejectReason = ""
	v.unsettledSince = 0
	v.pending = 0
}

// IsPending reports whether the list with this fingerprint is still to be accepted or rejected. It
// is not pending any more if a list was accepted at SIGHUP meanwhile.
func (v *Validator) IsPending(fingerprint Fingerprint) bool {
	return v.pending == fingerprint && fingerprint != 0
}

// RejectReason returns why the list in the files is rejected, or an empty string.
func (v *Validator) RejectReason() string {
	if v.observed == v.rejectedFingerprint {
		return v.rejectReason
	}
	return ""
}
