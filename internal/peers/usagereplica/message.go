// Package accounts has what schools used known to more than one runner. A runner tells the steps of
// its account, in order, to heirs, who play them on an account of their own: the same steps make
// the same statements. Where it is lost, each heir ends the account as far as it knows it, and a
// bill takes the statement that knew most. It is free of I/O: messages, steps and tables come in,
// messages and statements go out. Times are microseconds of a monotonic clock, but for those within
// steps, which are those of the account.
package usagereplica

import (
	"cmp"
	"hash/fnv"
	"slices"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// Operation is one thing that happens to an account; one of its parts is there.
type Operation struct {
	Use        *ledger.Record     `cbor:"1,keyasint,omitempty"`
	Correction *ledger.Correction `cbor:"2,keyasint,omitempty"`
	LostUses   uint64             `cbor:"3,keyasint,omitempty"` // uses that were never counted
	// the digest of the statement that settles what has ended
	SealDigest string `cbor:"4,keyasint,omitempty"`
	// Unix time of a correction or a settlement
	At int64 `cbor:"5,keyasint,omitempty"`
}

// apply takes the step. It reports the statement of a settlement, and whether the account comes to
// the same.
func (s *Operation) apply(l *ledger.Ledger) (told *ledger.Statement, same bool) {
	switch {
	case s.Use != nil:
		l.Add(*s.Use)
	case s.Correction != nil:
		_, err := l.Correct(*s.Correction, wallclock.UnixMicro(s.At))
		return nil, err == nil
	case s.SealDigest != "":
		told = l.Seal(wallclock.UnixMicro(s.At))
		if told == nil || told.Digest() != s.SealDigest {
			return nil, false
		}
		l.MarkExported(told)
	default:
		l.AddLost(s.LostUses)
	}
	return told, true
}

// MessageType is what a message is for.
type MessageType uint8

// The kinds of messages.
const (
	MsgAppend          MessageType = iota + 1 // steps, from its runner
	MsgSnapshot                               // the account as it stands, a piece of it
	MsgStatement                              // a statement; without its bytes, whether it is there
	MsgDrop                                   // others have it now
	MsgProgress                               // how far an heir has come
	MsgStatementStored                        // that statement lies here
	MsgStatementWanted                        // it does not
)

// Message goes between a runner and one of its heirs.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	// its name; that of the runner is From, or To of a word of an heir
	Ledger  string `cbor:"4,keyasint"`
	Process uint32 `cbor:"5,keyasint,omitempty"` // of the runner
	// MsgProgress and Had: of the heir's membership, in which it knows what it says
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// MsgAppend: the number before the first; State: up to which it goes; Held: up to which all is known
	Seq        uint64      `cbor:"7,keyasint,omitempty"`
	Operations []Operation `cbor:"8,keyasint,omitempty"`
	// MsgSnapshot: which piece; Held: how many are here
	Part     int             `cbor:"9,keyasint,omitempty"`
	Parts    int             `cbor:"10,keyasint,omitempty"`
	Bytes    []byte          `cbor:"11,keyasint,omitempty"` // of the piece, or of the statement
	Settings ledger.Settings `cbor:"12,keyasint,omitzero"`
	Name     string          `cbor:"13,keyasint,omitempty"` // of the statement
	// which giving of the account it goes by: a word about an earlier one counts for nothing
	SnapshotID uint64 `cbor:"14,keyasint,omitempty"`
}

// Bounds.
const (
	resendInterval = 200_000 // after which what had no answer is said again
	// after which the account of a runner that is lost is ended, and its statements passed on
	endDelay                = 2_000_000
	snapshotPartBytes       = 128 << 10
	maxSnapshotParts        = 256     // of an account: 32 MB
	maxOperationsPerMessage = 256     // in one message
	maxInFlight             = 4096    // that an heir has not confirmed
	maxRetainedOperations   = 1 << 14 // for heirs that are behind; one that is further behind gets the account
	// accounts of one runner: one that goes on, and those that are about to be ended
	maxLedgersPerRunner = 3
	dropAttempts        = 5
)

// ReplicasOf are who is to know the account of a runner, of those that keep accounts: as many as the
// table has copies, of other halls first, by a draw of the two names. The same table gives the same
// everywhere.
func ReplicasOf(t *placement.Table, name string) []placement.Member {
	hall := ""
	if m := t.Member(name); m != nil {
		hall = m.Zone
	}
	var all []placement.Member
	for _, m := range t.Members {
		if m.Incarnation != 0 && m.Name != name && m.KeepsUsage && (!m.Leaving || t.NeedsLeavingMembers()) {
			all = append(all, m)
		}
	}
	near := func(m placement.Member) int {
		if m.Zone == hall {
			return 1
		}
		return 0
	}
	slices.SortFunc(all, func(a, b placement.Member) int {
		return cmp.Or(
			cmp.Compare(near(a), near(b)),
			cmp.Compare(hashRank(name, a.Name), hashRank(name, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	// Two of one other hall are no better than one: of each hall the first, then the rest.
	seen := map[string]bool{hall: true}
	var first, rest []placement.Member
	for _, m := range all {
		if seen[m.Zone] {
			rest = append(rest, m)
		} else {
			first = append(first, m)
		}
		seen[m.Zone] = true
	}
	all = append(first, rest...)
	return all[:min(len(all), t.Backups)]
}

func hashRank(a, b string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a + "\x00" + b)) // a hash takes all
	x := h.Sum64()
	// a hash of names that differ in their last letter differs little above
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
