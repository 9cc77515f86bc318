package framing

import (
	"bytes"
	"errors"
	"testing"
)

const testMagic = 0x54455354

func TestNextReadsWhatAppendWrote(t *testing.T) {
	b := Append(Append(nil, testMagic, []byte("first")), testMagic, nil)
	payload, used, err := Next(b, testMagic, 5)
	if err != nil || string(payload) != "first" || used != HeaderSize+5 {
		t.Fatalf("Next() = %q, %d, %v, want the first payload", payload, used, err)
	}
	payload, used, err = Next(b[used:], testMagic, 5)
	if err != nil || len(payload) != 0 || used != HeaderSize {
		t.Fatalf("Next() = %q, %d, %v, want the empty second payload", payload, used, err)
	}
}

func TestNextRejectsWhatIsNoFrame(t *testing.T) {
	good := Append(nil, testMagic, []byte("payload"))
	for name, tt := range map[string]struct {
		data []byte
		max  int
		want error
	}{
		"no data":            {nil, 7, ErrIncomplete},
		"cut in the header":  {good[:HeaderSize-1], 7, ErrIncomplete},
		"cut in the payload": {good[:len(good)-1], 7, ErrIncomplete},
		"another magic":      {Append(nil, testMagic+1, []byte("payload")), 7, ErrNoFrame},
		"over the bound":     {good, 6, ErrNoFrame},
		"a changed byte":     {append(bytes.Clone(good[:len(good)-1]), 'D'), 7, ErrChecksum},
	} {
		if _, used, err := Next(tt.data, testMagic, tt.max); !errors.Is(err, tt.want) || used != 0 {
			t.Errorf("%s: Next() used %d bytes, error %v, want error %v", name, used, err, tt.want)
		}
	}
}
