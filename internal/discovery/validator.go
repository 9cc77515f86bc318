// Package discovery watches the inventory of servers for the program, and validates the lists that
// it reads: it decides when changed files are read, and whether the list is accepted. The Validator
// does no I/O; the Watcher applies it to files, and runner inventory check to two files of an
// operator.
//
// The files are read when they have not changed for a settle time, so that a file is not read while
// it is written, or after some settle times if they keep changing. A list is accepted as a whole or
// not at all. A list that is invalid, or that lacks many of the accepted servers, is rejected once,
// with the reason, and the accepted list stays; SIGHUP confirms a loss that is intended.
package discovery

import (
	"cmp"
	"fmt"
	"time"

	"ryepaddle/internal/inventory"
)

// Config configures a Validator.
type Config struct {
	// SettleTime is how long the files have to stay unchanged before they are read.
	SettleTime time.Duration
	// MaxShrink is the largest share of the accepted servers, from 0 to 1, that a list may lack.
	MaxShrink float64
}

// maxSettleFactor is after how many settle times files that keep changing are read all the same.
const maxSettleFactor = 5

// Fingerprint identifies the contents of an inventory's files; 0: they cannot be read.
type Fingerprint uint64

// Validator is the state machine that decides when the files are read and which lists are accepted.
// Times are monotonic and above 0. It is not safe for concurrent use.
type Validator struct {
	config     Config
	observed   Fingerprint // of the last observation
	observedAt time.Duration
	// unsettledSince is when the files began to differ from what was accepted or rejected; 0: they
	// do not.
	unsettledSince time.Duration

	acceptedFingerprint Fingerprint
	accepted            []inventory.Server
	rejectedFingerprint Fingerprint
	rejectReason        string
	// of a list that was handed over and is neither accepted nor rejected
	pending     Fingerprint
	version     int // of the accepted list
	readVersion int // version when the files were last found to be due
}

// New returns a Validator with an accepted list.
func New(config Config, fingerprint Fingerprint, servers []inventory.Server) *Validator {
	return &Validator{
		config:              config,
		observed:            fingerprint,
		acceptedFingerprint: fingerprint,
		accepted:            servers,
	}
}

// Observe records the fingerprint of the files, and reports whether they are to be read now.
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

// isSettled reports whether a list with that fingerprint was accepted, rejected or handed over.
func (v *Validator) isSettled(fingerprint Fingerprint) bool {
	return fingerprint == v.acceptedFingerprint ||
		fingerprint == v.pending && fingerprint != 0 ||
		fingerprint == v.rejectedFingerprint && v.rejectReason != ""
}

// Verdict is the decision about a list that was read.
type Verdict uint8

// Verdicts.
const (
	Accept Verdict = iota + 1
	Reject
	Reread // the files changed while they were read
)

// ErrShrunk reports a list that lacks too many of the accepted servers.
var ErrShrunk error = shrunkKind.New("a HUP confirms it, if it is meant")

// Validate decides about a list that was read, or could not be read because of err, between two
// fingerprints of the files. A list that was accepted since the files were found to be due may be
// newer than this one, so that they are read again.
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
// do not count.
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
		return fmt.Errorf("%d of %d servers are gone from it at once, %s the first of them: %w",
			missing, total, firstMissing, ErrShrunk)
	}
	return nil
}

// Rejected records that the list with a fingerprint is rejected.
func (v *Validator) Rejected(fingerprint Fingerprint, reason error) {
	v.rejectedFingerprint = fingerprint
	v.rejectReason = reason.Error()
	v.unsettledSince = 0
	v.pending = 0
}

// Accepted records the list that is in force from now on, wherever it comes from.
func (v *Validator) Accepted(fingerprint Fingerprint, servers []inventory.Server) {
	v.version++
	v.acceptedFingerprint = fingerprint
	v.accepted = servers
	v.rejectedFingerprint = 0
	v.rejectReason = ""
	v.unsettledSince = 0
	v.pending = 0
}

// IsPending reports whether a list that was handed over is still to be accepted or rejected. A
// SIGHUP may have brought a newer one.
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
