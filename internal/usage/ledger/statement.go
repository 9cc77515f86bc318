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
	// finalFormatVersion is the version of a final statement. It is higher than FormatVersion so that
	// older programs reject final statements: they would report a final statement and the regular
	// statement with the same number as a conflict.
	finalFormatVersion = 2
)

// Statement holds what an instance used in the periods that ended since its last statement. It is
// written once, and its encoding is always the same bytes.
type Statement struct {
	Format      int    `json:"format"`
	Instance    string `json:"instance"`
	Incarnation string `json:"life"` // of the account; a new account numbers its statements from 1
	Seq         uint64 `json:"seq"`
	// From (inclusive) and To (exclusive) bound the periods that the statement settles. No other
	// statement of the account settles them.
	From           wallclock.UnixMicro `json:"from"`
	To             wallclock.UnixMicro `json:"to"`
	Period         wallclock.Micros    `json:"period_us"`
	Slice          wallclock.Micros    `json:"slice_us"`
	PreviousDigest string              `json:"before,omitempty"` // of the previous statement
	Lines          []Line              `json:"lines"`            // lines of periods before From are amendments
	Corrections    []Correction        `json:"corrections,omitempty"`
	Keys           CountedKeys         `json:"keys,omitempty"` // keys that were counted as served
	Lost           uint64              `json:"lost,omitempty"` // records that are in no line
	// UnlistedKeys is the number of records that are counted as served and whose keys are not in Keys.
	UnlistedKeys uint64 `json:"bare,omitempty"`
	// Final says that the account ended with this statement, as far as its writer knew.
	Final bool `json:"last,omitempty"`
	// Steps is the number of records and corrections that the account had received. It is set in a
	// final statement.
	Steps uint64 `json:"taken,omitempty"`
}

// FileName returns the name of the statement's file. Final statements have names of their own: there
// may be several with one number, and a regular one too if the runner was not lost after all.
func (s *Statement) FileName() string {
	if s.Final {
		return fmt.Sprintf("usage-%s-%s-%08d-last-%d.json", s.Instance, s.Incarnation, s.Seq, s.Steps)
	}
	return fmt.Sprintf("usage-%s-%s-%08d.json", s.Instance, s.Incarnation, s.Seq)
}

// supersedes reports whether a statement counts in place of another one with the same account and
// number. A regular statement, after which the account continued, supersedes a final one. Of two final
// statements, the one with more records and corrections does.
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

// Encode returns the contents of the statement's file: a line of JSON, and a line with its digest, which
// shows that the file is complete.
func (s *Statement) Encode() []byte { return appendDigest(s.body(), statementMark) }

// mustMarshal returns the JSON of a value that can always be encoded, and panics on an error.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Marks before the digest, which distinguish the file of a statement from that of a state.
const (
	statementMark = "sha256 "
	stateMark     = "state sha256 "
)

// appendDigest appends a line with the mark and the SHA-256 of a body to it.
func appendDigest(body []byte, mark string) []byte {
	sum := sha256.Sum256(body)
	return fmt.Appendf(body, "\n%s%s\n", mark, hex.EncodeToString(sum[:]))
}

// checkDigest returns the body of a file if the mark and the digest after it are right. The error is
// ErrTruncated or ErrDigestMismatch.
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

// ParseStatement returns the statement that the contents b of a file encode. Errors begin with the
// file's name.
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
		return kindFormat.New("format version %d; this program supports up to %d", s.Format, finalFormatVersion)
	}
	return s.validate()
}

// validate returns an error for a statement that no account writes.
func (s *Statement) validate() error {
	switch {
	case s.Instance == "" || strings.ContainsAny(s.Instance, "/\x00"):
		return kindFormat.New("field instance: it is empty, or has a character that a file name cannot have")
	case s.Incarnation == "" || s.Seq == 0:
		return kindFormat.New("field life or seq is missing")
	case s.Period <= 0 || s.Slice <= 0 || s.Period%s.Slice != 0:
		return kindFormat.New("field slice_us: %d does not divide period_us, which is %d", s.Slice, s.Period)
	case !s.beginsPeriod(s.From) || !s.beginsPeriod(s.To) || s.From > s.To:
		return kindFormat.New("fields from and to: %d to %d are not whole periods of %d us", s.From, s.To, s.Period)
	case (s.Seq == 1) != (s.PreviousDigest == ""):
		return kindFormat.New("field before: it must be empty in the first statement, and set in all others")
	}
	for i, l := range s.Lines {
		if !s.beginsPeriod(l.Period) || l.Period >= s.To || int64(len(l.Slices)) > int64(s.Period/s.Slice) {
			return kindFormat.New(
				"field lines, no. %d: period %d with %d slices does not fit a statement up to %d",
				i+1,
				l.Period,
				len(l.Slices),
				s.To,
			)
		}
		if l.hasNegative() {
			return kindFormat.New("field lines, no. %d: a sum is negative", i+1)
		}
	}
	return nil
}

// beginsPeriod reports whether a period of the statement begins at an instant.
func (s *Statement) beginsPeriod(at wallclock.UnixMicro) bool {
	return at%wallclock.UnixMicro(s.Period) == 0
}
