package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const boot = "RequestClasses.count=1\nRequestClasses.0.Idempotency=read_like\nRequestClasses.0.TargetUs=1000000\n" +
	"RequestClasses.0.DeadlineUs=2000000\nRequestClasses.0.Worth=1\nSpecifics.Cores=2\nSpecifics.MemoryKb=100000\n" +
	"Specifics.RunMemFactor=4\nRules.FallMultiple=5\nSpecifics.Meters=cpu_busy"

// batch builds a frame of one record.
func batch(code uint16, instance uint32, tail string) []byte {
	b := make([]byte, 16+64)
	binary.LittleEndian.PutUint32(b, uint32(64+len(tail)))
	binary.LittleEndian.PutUint32(b[4:], 1)
	binary.LittleEndian.PutUint16(b[16:], code)
	binary.LittleEndian.PutUint32(b[18:], instance)
	binary.LittleEndian.PutUint32(b[34:], uint32(len(tail)))
	return append(b, tail...)
}

func TestServe(t *testing.T) {
	for name, c := range map[string]struct {
		in  []byte
		err string
	}{
		"nothing":          {nil, ""},
		"start":            {batch(1, 3, boot), ""},
		"unknown instance": {batch(7, 9, ""), "record 0: event for unknown instance 9"},
		"unknown code":     {batch(99, 3, ""), "record 0: unknown event code 99"},
		"cut":              {batch(1, 3, boot)[:30], "batch: 14 of"},
	} {
		var out bytes.Buffer
		err := serve(bytes.NewReader(c.in), &out)
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s: %v", name, err)
		}
		if c.err != "" && out.Len() > 0 {
			t.Errorf("%s: a partial reply of %d bytes", name, out.Len())
		}
	}
}

func TestBadSettingsAreAFault(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(batch(1, 3, strings.Replace(boot, "Cores=2", "Cores=0", 1))), &out); err != nil {
		t.Fatal(err)
	}
	if code := binary.LittleEndian.Uint16(out.Bytes()[8:]); code != 77 ||
		!strings.Contains(out.String(), "Cores") {
		t.Fatalf("code %d, %q", code, out.String())
	}
}
