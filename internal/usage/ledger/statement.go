package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"ryepaddle/internal/wallclock"
)

// Versions of the format of statements and of the state. Newer ones are rejected.
const (
	FormatVersion = 1
	// finalFormatVersion is that of a final statement. It is a newer one, as an older program would
	// report a final statement and its successor of the same number as a conflict.
	finalFormatVersion = 2
)

// Statement is what an instance used in the periods that ended since its last statement. It is
// written once, and always has the same bytes.
type Statement struct {
	Format      int    `json:"format"`
	Instance    string `json:"instance"`
	Incarnation string `json:"life"` // of the account; a new one numbers its statements from 1
	Seq         uint64 `json:"seq"`
	// From and To bound the periods that it settles. No other statement of this account settles them.
	From           wallclock.UnixMicro `json:"from"`
	To             wallclock.UnixMicro `json:"to"`
	Period         wallclock.Micros    `json:"period_us"`
	Slice          wallclock.Micros    `json:"slice_us"`
	PreviousDigest string              `json:"before,omitempty"` // of the statement before
	Lines          []Line              `json:"lines"`            // those of periods before From are amendments
	Corrections    []Correction        `json:"corrections,omitempty"`
	Keys           CountedKeys         `json:"keys,omitempty"` // that were counted as served
	Lost           uint64              `json:"lost,omitempty"` // records that are in no line
	// UnlistedKeys are the records with a key that are counted, and whose keys are not in Keys.
	UnlistedKeys uint64 `json:"bare,omitempty"`
	// Final says that the account ended with it, as far as its writer knew.
	Final bool `json:"last,omitempty"`
	// Steps are the records and corrections that the account had taken, in a final statement.
	Steps uint64 `json:"taken,omitempty"`
}

// FileName returns the name of its file. A final statement may be followed by another one of its
// number, if its runner was not lost after all.
func (s *Statement) FileName() string {
	if s.Final {
		return fmt.Sprintf("usage-%s-%s-%08d-last-%d.json", s.Instance, s.Incarnation, s.Seq, s.Steps)
	}
	return fmt.Sprintf("usage-%s-%s-%08d.json", s.Instance, s.Incarnation, s.Seq)
}

// supersedes reports whether a statement counts in place of another one of its account and number:
// one after which the account continued replaces a final one, and of final ones the one with the most
// records and corrections counts.
func (s *Statement) supersedes(other *Statement) bool {
	switch {
	case s.Final != other.Final:
		return !s.Final
	case s.Steps != other.Steps:
		return s.Steps > other.Steps
	case s.Lost != other.Lost: // the ring was damaged
		return s.Lost < other.Lost
	}
	return s.Digest() < other.Digest()
}

// Digest returns the SHA-256 of the statement, in hex.
func (s *Statement) Digest() string {
	sum := sha256.Sum256(s.body())
	return hex.EncodeToString(sum[:])
}

func (s *Statement) body() []byte { return mustMarshal(s) }

// Encode returns the file: one line of JSON, and one with its digest, which shows that it is complete.
func (s *Statement) Encode() []byte { return appendDigest(s.body(), statementMark) }

// mustMarshal returns the JSON of a value that has nothing in it that cannot be encoded.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Marks before the digest, which distinguish a statement from a state.
const (
	statementMark = "sha256 "
	stateMark     = "state sha256 "
)

// appendDigest appends the line with the digest of a body.
func appendDigest(body []byte, mark string) []byte {
	sum := sha256.Sum256(body)
	return fmt.Appendf(body, "\n%s%s\n", mark, hex.EncodeToString(sum[:]))
}

// checkDigest returns the body of a file, if the digest after it fits.
func checkDigest(file []byte, mark string) ([]byte, error) {
	body, tail, ok := bytes.Cut(file, []byte("\n"))
	if !ok || !bytes.HasSuffix(tail, []byte("\n")) {
		return nil, ErrTruncated
	}
	sum := sha256.Sum256(body)
	if string(tail) != mark+hex.EncodeToString(sum[:])+"\n" {
		return nil, ErrDigestMismatch
	}
	return body, nil
}

// ParseStatement reads a file. Errors begin with its name.
func ParseStatement(file string, b []byte) (*Statement, error) {
	body, err := checkDigest(b, statementMark)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s := &Statement{}
	if err := s.decode(body); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

func (s *Statement) decode(body []byte) error {
	if err := json.Unmarshal(body, s); err != nil {
		return err
	}
	if s.Format < 1 || s.Format > finalFormatVersion {
		return kindFormat.New("format %d; this program knows up to %d", s.Format, finalFormatVersion)
	}
	return s.validate()
}

// validate returns an error for a statement that no account writes.
func (s *Statement) validate() error {
	switch {
	case s.Instance == "" || strings.ContainsAny(s.Instance, "/\x00"):
		return kindFormat.New("field instance: empty, or not part of a file's name")
	case s.Incarnation == "" || s.Seq == 0:
		return kindFormat.New("field life or seq is missing")
	case s.Period <= 0 || s.Slice <= 0 || s.Period%s.Slice != 0:
		return kindFormat.New("field slice_us: %d does not divide period_us, %d", s.Slice, s.Period)
	case !s.beginsPeriod(s.From) || !s.beginsPeriod(s.To) || s.From > s.To:
		return kindFormat.New("field from: %d to %d are no periods of %d", s.From, s.To, s.Period)
	case (s.Seq == 1) != (s.PreviousDigest == ""):
		return kindFormat.New("field before: the first statement has none before it, all others have one")
	}
	for i, l := range s.Lines {
		if !s.beginsPeriod(l.Period) || l.Period >= s.To || int64(len(l.Slices)) > int64(s.Period/s.Slice) {
			return kindFormat.New(
				"field lines, no. %d: period %d with %d slices in a statement up to %d",
				i+1,
				l.Period,
				len(l.Slices),
				s.To,
			)
		}
		if l.hasNegative() {
			return kindFormat.New("field lines, no. %d: a sum below nought", i+1)
		}
	}
	return nil
}

// beginsPeriod reports whether a period of the statement begins at an instant.
func (s *Statement) beginsPeriod(at wallclock.UnixMicro) bool {
	return at%wallclock.UnixMicro(s.Period) == 0
}
