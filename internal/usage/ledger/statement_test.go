package ledger

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// sealedKeyedRequest returns an account that served one request with an idempotency key, and its statement.
func sealedKeyedRequest() (*Ledger, *Statement) {
	l := New(settings(), "a", begin)
	l.Add(
		Record{
			AnsweredAt:   begin,
			Tenant:       "s",
			Class:        "c",
			Outcome:      OutcomeServed,
			Key:          5,
			KeyExpiresAt: begin + hour,
		},
	)
	return l, l.Seal(begin + 2*hour)
}

func TestChangedFilesAreRejected(t *testing.T) {
	l, s := sealedKeyedRequest()
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
			t.Errorf("ParseStatement(%q) = error %v, want the error of the case, preceded by the name", name, err)
		}
	}
	for want, set := range map[string]func(*Settings){
		"account is of instance n0, but this instance is n1": func(s *Settings) { s.Instance = "n1" },
		"begin a new one in another folder":                  func(s *Settings) { s.Period = 2 * hour },
	} {
		other := settings()
		set(&other)
		if _, _, err := Decode(other, l.Encode(1)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Decode() = error %v, want one that contains %q", err, want)
		}
	}
}

func FuzzStatement(f *testing.F) {
	_, s := sealedKeyedRequest()
	f.Add(s.body())
	f.Fuzz(func(t *testing.T, body []byte) {
		var s Statement
		if s.decode(body) != nil {
			return
		}
		b := s.Encode()
		again, err := ParseStatement("x", b)
		if err != nil || !bytes.Equal(again.Encode(), b) {
			t.Fatalf("ParseStatement() = error %v, or a statement whose bytes are not\n%s", err, b)
		}
		if _, err := Reconcile([]*Statement{&s, again}, BillingTerms{}); err != nil {
			t.Fatal(err)
		}
	})
}
