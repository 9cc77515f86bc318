package store

import (
	"fmt"

	"ryepaddle/internal/fault"
)

// Damage is a part of a file that cannot be read, for a reason other than a crash.
type Damage struct {
	File string `json:"File"`
	From int64  `json:"From"` // offset of its first byte
	To   int64  `json:"To"`   // offset after its last byte; 0: the file is missing
}

// DamageError reports damaged files. A store with damaged files is not opened unless Options.Repair is
// set.
type DamageError struct{ Damage []Damage }

// Fault implements fault.Classified.
func (e *DamageError) Fault() (*fault.Kind, fault.Location) {
	return faultDamaged, fault.Location{File: e.Damage[0].File}
}

func (e *DamageError) Error() string {
	first := e.Damage[0]
	return fmt.Sprintf(
		"store: %s: bytes %d to %d are damaged, %d places in all: what they held is lost; "+
			"-repair keeps the file aside and goes on",
		first.File,
		first.From,
		first.To,
		len(e.Damage),
	)
}

// FormatError reports a file whose format version this program does not know.
type FormatError struct {
	File   string
	Format int
}

// Fault implements fault.Classified.
func (e *FormatError) Fault() (*fault.Kind, fault.Location) {
	return faultNewerFormat, fault.Location{File: e.File}
}

func (e *FormatError) Error() string {
	return fmt.Sprintf(
		"store: %s: format version %d is newer than %d, the newest that this program can read",
		e.File,
		e.Format,
		Format,
	)
}
