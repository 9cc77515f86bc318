package store

import (
	"fmt"

	"ryepaddle/internal/fault"
)

// Damage is a part of a file that cannot be read and that a crash does not explain.
type Damage struct {
	File string `json:"File"`
	From int64  `json:"From"` // offset of its first byte
	To   int64  `json:"To"`   // offset behind its last byte; 0: the file is missing
}

// DamageError reports damaged files. A store is not opened with them unless Options.Repair is
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

// FormatError reports a file of a format that this program does not know.
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
		"store: %s: format %d, and this program knows up to %d: it was written by a newer one",
		e.File,
		e.Format,
		Format,
	)
}
