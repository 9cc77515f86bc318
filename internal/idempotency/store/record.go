// Package store stores idempotency keys on a disk so that they survive a crash. It writes an append-only
// journal in segments, and snapshots that allow segments to be removed. Package persistence connects it
// to the request lifecycle; package reservation uses its records and frames. All access to files goes
// through FS, so that the decisions of the package (what a sequence of records means, which damage a
// crash explains, when a snapshot is due, what follows a disk failure) are free of I/O.
package store

import "ryepaddle/internal/wallclock"

// KeyName identifies a key. Classes and tenants are stored by name, as their indexes change with the
// configuration.
type KeyName struct {
	Class  string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint,omitempty"`
	Key    string `cbor:"3,keyasint"`
}

// RecordKind is the kind of a record.
type RecordKind uint8

// The kinds of record. A reader skips a kind of 128 or more that it does not know.
const (
	RunStarted    RecordKind = iota + 1 // a run is about to begin; from then on it may have run
	RunEnded                            // the run ended, with a result or without
	KeyReleased                         // the run was proven not to have begun
	SyncMark                            // the first SyncedBytes of the segment are on the disk
	EndOfSnapshot                       // the last record of a snapshot
)

// The kinds of record that only the logs of package reservation have. WrittenAt is the time of the notice
// to leave.
const (
	ProcessRetiring RecordKind = iota + 128 // the process shuts down, as another one has replaced it
	ProcessDraining                         // the process shuts down, and the runner with it
)

// Field is a named value of a result.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Result is the response that a run produced.
type Result struct {
	Status     int     `cbor:"1,keyasint"`
	Fields     []Field `cbor:"2,keyasint,omitempty"`
	Body       []byte  `cbor:"3,keyasint,omitempty"`
	Compressed bool    `cbor:"4,keyasint,omitempty"` // Body is compressed
}

// Record is an entry of the journal.
type Record struct {
	Kind RecordKind `cbor:"1,keyasint"`
	Name KeyName    `cbor:"2,keyasint,omitempty"`
	// Owner identifies the run that the record is about. The end of a run does not affect another
	// run of the same key.
	Owner     uint64              `cbor:"3,keyasint,omitempty"`
	WrittenAt wallclock.UnixMicro `cbor:"4,keyasint,omitempty"`
	// ExpiresAt is the time up to which a duplicate may arrive.
	ExpiresAt wallclock.UnixMicro `cbor:"5,keyasint,omitempty"`
	BodyHash  [32]byte            `cbor:"6,keyasint,omitempty"` // of the request
	// Status is the lifecycle.Status with which duplicates of a RunEnded without a result are answered.
	Status      uint8   `cbor:"7,keyasint,omitempty"`
	Result      *Result `cbor:"8,keyasint,omitempty"`
	SyncedBytes int64   `cbor:"9,keyasint,omitempty"`  // of SyncMark
	Count       int     `cbor:"10,keyasint,omitempty"` // of EndOfSnapshot: number of records before it
}
