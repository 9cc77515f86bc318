package simwire

import (
	"bytes"
	"testing"
	"time"

	"ryepaddle/internal/admission"
)

// The records are the examples from the description of the wire format.
func TestReplyEncodesActions(t *testing.T) {
	var p Reply
	p.Add(3, &admission.Action{
		Kind:     admission.ActionReject,
		Request:  0xa58d20e6f2b19,
		Duration: 250 * time.Millisecond,
		NoRetry:  true,
	})
	p.Add(3, &admission.Action{Kind: admission.ActionTimer, Token: 77, Duration: 500 * time.Millisecond})
	p.Add(3, &admission.Action{Kind: admission.ActionAdvertise, Value: 0.25})
	p.Add(5, &admission.Action{Kind: admission.ActionLog, Text: "two"})
	var out bytes.Buffer
	if _, err := p.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex("63000000 04000000" +
		"4b00 03000000 192b6f0ed2580a00 90d00300 01 0000000000" +
		"4100 03000000 4d00000000000000 20a10700 000000000000" +
		"4a00 03000000 0000803e 0000000000000000000000000000" +
		"4500 05000000 00000000 03000000 00000000000000000000" + "74776f")
	if !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("frame = %x\nwant    %x", out.Bytes(), want)
	}
}
