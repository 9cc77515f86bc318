package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

// Formats of the statements and of the state that are written. Newer ones are refused.
const (
	FormatVersion = 1
	// of a last statement, which older programs would take for one of two that differ
	finalFormatVersion = 2
)

// Statement is what an instance says of the periods that ended since its last one. It is written
// once, in one form of bytes.
type Statement struct {
	Format      int    `json:"format"`
	Instance    string `json:"instance"`
	Incarnation string `json:"life"` // of the account; a new one begins with 1 again
	Seq         uint64 `json:"seq"`
	// periods that it settles: no other statement of this account does
	From           int64        `json:"from"`
	To             int64        `json:"to"`
	Period         int64        `json:"period_us"`
	Slice          int64        `json:"slice_us"`
	PreviousDigest string       `json:"before,omitempty"` // digest of the statement before
	Lines          []Line       `json:"lines"`            // of earlier periods: amendments
	Corrections    []Correction `json:"corrections,omitempty"`
	Keys           CountedKeys  `json:"keys,omitempty"` // that were counted as served
	Lost           uint64       `json:"lost,omitempty"` // uses that are in no line
	// keyed uses that are counted, and whose keys are not listed
	UnlistedKeys uint64 `json:"bare,omitempty"`
	// the account ended with it, as far as who wrote it knew
	Final bool `json:"last,omitempty"`
	// of a last one: uses and corrections that the account had taken
	Steps uint64 `json:"taken,omitempty"`
}

// FileName is the file's name. A last one may be followed by another of its number, if its runner was
// not lost after all.
func (s *Statement) FileName() string {
	if s.Final {
		return fmt.Sprintf("usage-%s-%s-%08d-last-%d.json", s.Instance, s.Incarnation, s.Seq, s.Steps)
	}
	return fmt.Sprintf("usage-%s-%s-%08d.json", s.Instance, s.Incarnation, s.Seq)
}

// supersedes tells whether a statement stands where there is another one of its account and number:
// what the account went on from stands before any last one, and of last ones the one that knew
// most.
func (s *Statement) supersedes(o *Statement) bool {
	switch {
	case s.Final != o.Final:
		return !s.Final
	case s.Steps != o.Steps:
		return s.Steps > o.Steps
	case s.Lost != o.Lost: // a ring that was damaged
		return s.Lost < o.Lost
	}
	return s.Digest() < o.Digest()
}

// Digest stands for the whole of it.
func (s *Statement) Digest() string {
	sum := sha256.Sum256(s.body())
	return hex.EncodeToString(sum[:])
}

func (s *Statement) body() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // there is nothing in it that cannot be written
	}
	return b
}

// Encode is the file: one line of JSON, and one with its digest, by which a cut file shows.
func (s *Statement) Encode() []byte {
	b := s.body()
	sum := sha256.Sum256(b)
	return fmt.Appendf(b, "\n%s%s\n", digestMark, hex.EncodeToString(sum[:]))
}

// Marks before the digest, by which a statement is told from a state.
const (
	digestMark = "sha256 "
	stateMark  = "state sha256 "
)

var (
	// ErrTruncated is that of a file whose end is missing.
	ErrTruncated error = damaged.New("its end is missing")
	// ErrDigestMismatch is that of a file that is not as it was written.
	ErrDigestMismatch error = damaged.New("it is not as it was written")
)

// sealed is what stands before the line with its digest.
func sealed(b []byte, mark string) ([]byte, error) {
	body, tail, ok := bytes.Cut(b, []byte("\n"))
	if !ok || !bytes.HasSuffix(tail, []byte("\n")) {
		return nil, ErrTruncated
	}
	sum := sha256.Sum256(body)
	if string(tail) != mark+hex.EncodeToString(sum[:])+"\n" {
		return nil, ErrDigestMismatch
	}
	return body, nil
}

// ParseStatement reads a file. Errors name it.
func ParseStatement(file string, b []byte) (*Statement, error) {
	bad := func(err error) (*Statement, error) { return nil, fmt.Errorf("%s: %w", file, err) }
	body, err := sealed(b, digestMark)
	if err != nil {
		return bad(err)
	}
	s := &Statement{}
	if err := s.read(body); err != nil {
		return bad(err)
	}
	return s, nil
}

func (s *Statement) read(body []byte) error {
	if err := json.Unmarshal(body, s); err != nil {
		return err
	}
	if s.Format < 1 || s.Format > finalFormatVersion {
		return format.New("format %d; this program knows up to %d", s.Format, finalFormatVersion)
	}
	return s.check()
}

// check finds what no account writes.
func (s *Statement) check() error {
	switch {
	case s.Instance == "" || strings.ContainsAny(s.Instance, "/\x00"):
		return format.New("field instance: empty, or not part of a file's name")
	case s.Incarnation == "" || s.Seq == 0:
		return format.New("field life or seq is missing")
	case s.Period <= 0 || s.Slice <= 0 || s.Period%s.Slice != 0:
		return format.New("field slice_us: %d does not divide period_us, %d", s.Slice, s.Period)
	case s.From%s.Period != 0 || s.To%s.Period != 0 || s.From > s.To:
		return format.New("field from: %d to %d are no periods of %d", s.From, s.To, s.Period)
	case (s.Seq == 1) != (s.PreviousDigest == ""):
		return format.New("field before: the first statement has none before it, all others have one")
	}
	for i, n := range s.Lines {
		if n.Period%s.Period != 0 || n.Period >= s.To || int64(len(n.Slices)) > s.Period/s.Slice {
			return format.New(
				"field lines, no. %d: period %d with %d slices in a statement up to %d",
				i+1,
				n.Period,
				len(n.Slices),
				s.To,
			)
		}
		if n.isBelow() {
			return format.New("field lines, no. %d: a sum below nought", i+1)
		}
	}
	return nil
}
