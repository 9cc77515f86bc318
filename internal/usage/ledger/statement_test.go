package ledger

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// sealedHandIn returns the account of one request with a key, and its statement.
func sealedHandIn() (*Ledger, *Statement) {
	l := New(settings(), "a", begin)
	l.Add(
		Record{
			AnsweredAt:   begin,
			School:       "s",
			Class:        "c",
			Outcome:      OutcomeServed,
			Key:          5,
			KeyExpiresAt: begin + hour,
		},
	)
	return l, l.Seal(begin + 2*hour)
}

func TestChangedFilesAreRejected(t *testing.T) {
	l, s := sealedHandIn()
	b := s.Encode()
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"cut":             {b[:len(b)-1], ErrTruncated},
		"cut in the line": {b[:10], ErrTruncated},
		"empty":           {nil, ErrTruncated},
		"changed":         {bytes.Replace(b, []byte(`"served":1`), []byte(`"served":9`), 1), ErrDigestMismatch},
	} {
		if _, err := ParseStatement(name, c.b); !errors.Is(err, c.want) ||
			!strings.HasPrefix(err.Error(), name+": ") {
			t.Errorf("%s: %v", name, err)
		}
	}
	for want, set := range map[string]func(*Settings){
		"account of n0, and this is n1": func(s *Settings) { s.Instance = "n1" },
		"begin another folder":          func(s *Settings) { s.Period = 2 * hour },
	} {
		other := settings()
		set(&other)
		if _, _, err := Decode(other, l.Encode(1)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v", err)
		}
	}
}

func FuzzStatement(f *testing.F) {
	_, s := sealedHandIn()
	f.Add(s.body())
	f.Fuzz(func(t *testing.T, body []byte) {
		var s Statement
		if s.decode(body) != nil {
			return
		}
		b := s.Encode()
		again, err := ParseStatement("x", b)
		if err != nil || !bytes.Equal(again.Encode(), b) {
			t.Fatalf("%v: %s", err, b)
		}
		if _, err := Reconcile([]*Statement{&s, again}, BillingTerms{}); err != nil {
			t.Fatal(err)
		}
	})
}
