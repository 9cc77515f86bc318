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
	Format = 1
	// of a last statement, which older programs would take for one of two that differ
	formatLast = 2
)

// Statement is what an instance says of the periods that ended since its last one. It is written
// once, in one form of bytes.
type Statement struct {
	Format   int    `json:"format"`
	Instance string `json:"instance"`
	Life     string `json:"life"` // of the account; a new one begins with 1 again
	Seq      uint64 `json:"seq"`
	// periods that it settles: no other statement of this account does
	From        int64        `json:"from"`
	To          int64        `json:"to"`
	PeriodUs    int64        `json:"period_us"`
	SliceUs     int64        `json:"slice_us"`
	Before      string       `json:"before,omitempty"` // digest of the statement before
	Lines       []Line       `json:"lines"`            // of earlier periods: amendments
	Corrections []Correction `json:"corrections,omitempty"`
	Keys        Keys         `json:"keys,omitempty"` // that were counted as served
	Lost        uint64       `json:"lost,omitempty"` // uses that are in no line
	// keyed uses that are counted, and whose keys are not listed
	Bare uint64 `json:"bare,omitempty"`
	// the account ended with it, as far as who wrote it knew
	Last bool `json:"last,omitempty"`
	// of a last one: uses and corrections that the account had taken
	Taken uint64 `json:"taken,omitempty"`
}

// Name is the file's name. A last one may be followed by another of its number, if its runner was
// not lost after all.
func (s *Statement) Name() string {
	if s.Last {
		return fmt.Sprintf("usage-%s-%s-%08d-last-%d.json", s.Instance, s.Life, s.Seq, s.Taken)
	}
	return fmt.Sprintf("usage-%s-%s-%08d.json", s.Instance, s.Life, s.Seq)
}

// tellsMore tells whether a statement stands where there is another one of its account and number:
// what the account went on from stands before any last one, and of last ones the one that knew
// most.
func (s *Statement) tellsMore(o *Statement) bool {
	switch {
	case s.Last != o.Last:
		return !s.Last
	case s.Taken != o.Taken:
		return s.Taken > o.Taken
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
	// ErrCut is that of a file whose end is missing.
	ErrCut error = damaged.New("its end is missing")
	// ErrChanged is that of a file that is not as it was written.
	ErrChanged error = damaged.New("it is not as it was written")
)

// sealed is what stands before the line with its digest.
func sealed(b []byte, mark string) ([]byte, error) {
	body, tail, ok := bytes.Cut(b, []byte("\n"))
	if !ok || !bytes.HasSuffix(tail, []byte("\n")) {
		return nil, ErrCut
	}
	sum := sha256.Sum256(body)
	if string(tail) != mark+hex.EncodeToString(sum[:])+"\n" {
		return nil, ErrChanged
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
	if s.Format < 1 || s.Format > formatLast {
		return format.New("format %d; this program knows up to %d", s.Format, formatLast)
	}
	return s.check()
}

// check finds what no account writes.
func (s *Statement) check() error {
	switch {
	case s.Instance == "" || strings.ContainsAny(s.Instance, "/\x00"):
		return format.New("field instance: empty, or not part of a file's name")
	case s.Life == "" || s.Seq == 0:
		return format.New("field life or seq is missing")
	case s.PeriodUs <= 0 || s.SliceUs <= 0 || s.PeriodUs%s.SliceUs != 0:
		return format.New("field slice_us: %d does not divide period_us, %d", s.SliceUs, s.PeriodUs)
	case s.From%s.PeriodUs != 0 || s.To%s.PeriodUs != 0 || s.From > s.To:
		return format.New("field from: %d to %d are no periods of %d", s.From, s.To, s.PeriodUs)
	case (s.Seq == 1) != (s.Before == ""):
		return format.New("field before: the first statement has none before it, all others have one")
	}
	for i, n := range s.Lines {
		if n.Period%s.PeriodUs != 0 || n.Period >= s.To || int64(len(n.Slices)) > s.PeriodUs/s.SliceUs {
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
