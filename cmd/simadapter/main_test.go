package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// Codes of events and actions on the wire.
const (
	codeNewInstance = 1
	codeAbandoned   = 7
	codeUnknown     = 99
	codeFault       = 77
)

// settings holds the settings of a valid instance.
const settings = `RequestClasses.count=1
RequestClasses.0.Idempotency=read_like
RequestClasses.0.TargetUs=1000000
RequestClasses.0.DeadlineUs=2000000
RequestClasses.0.Worth=1
Specifics.Cores=2
Specifics.MemoryKb=100000
Specifics.RunMemFactor=4
Rules.FallMultiple=5
Specifics.Meters=cpu_busy`

// batch returns a frame of one record and a tail.
func batch(code uint16, instance uint32, tail string) []byte {
	b := make([]byte, 16+64)
	binary.LittleEndian.PutUint32(b, uint32(64+len(tail)))
	binary.LittleEndian.PutUint32(b[4:], 1)
	binary.LittleEndian.PutUint16(b[16:], code)
	binary.LittleEndian.PutUint32(b[18:], instance)
	binary.LittleEndian.PutUint32(b[34:], uint32(len(tail)))
	return append(b, tail...)
}

// A malformed frame ends the adapter with an error and without a partial reply.
func TestServeReportsMalformedFrames(t *testing.T) {
	for name, c := range map[string]struct {
		in  []byte
		err string
	}{
		"empty input":      {nil, ""},
		"start":            {batch(codeNewInstance, 3, settings), ""},
		"unknown instance": {batch(codeAbandoned, 9, ""), "record 0: event for unknown instance 9"},
		"unknown code":     {batch(codeUnknown, 3, ""), "record 0: unknown event code 99"},
		"truncated batch":  {batch(codeNewInstance, 3, settings)[:30], "batch: 14 of"},
	} {
		var out bytes.Buffer
		err := serve(bytes.NewReader(c.in), &out)
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s: serve() = %v, want the error of the case", name, err)
		}
		if c.err != "" && out.Len() > 0 {
			t.Errorf("%s: output = %d bytes, want none", name, out.Len())
		}
	}
}

// Invalid settings are reported as a fault of their instance, with the path of the setting, and do not end
// the adapter.
func TestInvalidSettingsAreReportedAsFault(t *testing.T) {
	invalid := strings.Replace(settings, "Cores=2", "Cores=0", 1)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(batch(codeNewInstance, 3, invalid)), &out); err != nil {
		t.Fatal(err)
	}
	if code := binary.LittleEndian.Uint16(out.Bytes()[8:]); code != codeFault ||
		!strings.Contains(out.String(), "Cores") {
		t.Fatalf("reply code = %d in reply %q, want codeFault and a text that names Cores", code, out.String())
	}
}
