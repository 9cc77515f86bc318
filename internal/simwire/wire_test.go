package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/admission"
)

// frame builds a batch of records and a tail.
func frame(tail string, records ...[]byte) []byte {
	out := make([]byte, batchHeader)
	for _, r := range records {
		full := make([]byte, eventSize)
		copy(full, r)
		out = append(out, full...)
	}
	out = append(out, tail...)
	le.PutUint32(out[0:], uint32(len(out)-batchHeader))
	le.PutUint32(out[4:], uint32(len(records)))
	le.PutUint64(out[8:], 5_000_000)
	return out
}

func unhex(s string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		panic(err)
	}
	return b
}

func names(uint32) []Gauge {
	return []Gauge{gaugeCPU, gaugeRunnable, gaugeMemory, gaugeConnections}
}

// The records are those of the wire page's example.
func TestRecords(t *testing.T) {
	b, _, err := ReadBatch(bytes.NewReader(frame(
		"",
		unhex(
			"0200 03000000 c4913a5de2f60b00 00 00000000 640ad2557c3bf091 da05840000000000 e02e0000 0000c441"+
				"0000203f 01 11000000 3a070000 192b6f0ed2580a00",
		),
		unhex("0800 03000000 4d00000000000000 04 52b81e3f 00004040 85ebd13e 0000f042"),
		unhex("0300 03000000 c4913a5de2f60b00 c800 44480000"),
		unhex("0700 05000000 192b6f0ed2580a00"),
	)), nil)
	if err != nil || b.Now != 5*time.Second || b.Len() != 4 {
		t.Fatalf("%v %v %v", b.Now, b.Len(), err)
	}
	ask, err := b.Record(0, names)
	e := ask.Event
	if err != nil || ask.Instance != 3 || e.Request != 0xbf6e25d3a91c4 || e.Deadline != 8652250*time.Microsecond ||
		e.ExpectedWork != 12*time.Millisecond || e.Key != 0x91f03b7c55d20a64 || e.Write || e.SizeKB != 24.5 || e.Rank != 0.625 || e.Retry || e.Caller != 17 ||
		e.QueueingDelay != 1850*time.Microsecond || e.PriorRequest != 0xa58d20e6f2b19 {
		t.Fatalf("%+v %v", ask, err)
	}
	wake, err := b.Record(1, names)
	if g := wake.Event.Gauges; err != nil || g.Runnable != 3 || g.Connections != 120 ||
		wake.Event.Token != 77 {
		t.Fatalf("%+v %v", wake, err)
	}
	done, err := b.Record(2, names)
	if err != nil || done.Event.Outcome != admission.OutcomeOK || done.Event.Elapsed != 18500*time.Microsecond {
		t.Fatalf("%+v %v", done, err)
	}
	gone, err := b.Record(3, names)
	if err != nil || gone.Event.Kind != admission.EventAbandoned || gone.Instance != 5 {
		t.Fatalf("%+v %v", gone, err)
	}
}

func TestReply(t *testing.T) {
	var p Reply
	p.Add(
		3,
		&admission.Action{
			Kind:     admission.ActionReject,
			Request:  0xa58d20e6f2b19,
			Duration: 250 * time.Millisecond,
			NoRetry:  true,
		},
	)
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
		t.Fatalf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func TestBadFrames(t *testing.T) {
	good := frame("", unhex("0700 05000000"))
	long := append([]byte(nil), good...)
	le.PutUint32(long[4:], 9)
	for name, in := range map[string][]byte{"cut header": good[:7], "cut records": good[:40], "too many": long} {
		if _, _, err := ReadBatch(bytes.NewReader(in), nil); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil), nil); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
	for name, r := range map[string]string{"unknown code": "6300 05000000",
		"tail": "0100 05000000 0000000000000000 02000000 ffffffff", "gauges": "0800 05000000 0000000000000000 ff"} {
		b, _, err := ReadBatch(bytes.NewReader(frame("xyz", unhex(r))), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Record(0, names); err == nil || !strings.Contains(err.Error(), "record 0") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSettings(t *testing.T) {
	text := "RequestClasses.count=1\nRequestClasses.0.Name=one\nRequestClasses.0.DeadlineUs=3000\nRequestClasses.0.WindowUs=1\n" +
		"Specifics.Cores=1\nSpecifics.MemoryKb=1\nSpecifics.RunMemFactor=1\nRules.FallMultiple=1\nRequestClasses.0.Idempotency=idempotency_key\nRequestClasses.0.TargetUs=2000\n" +
		"Specifics.Halt=freeze\nSpecifics.Say=floor\nSpecifics.Below=tier\nSpecifics.CallsByClass=true\n" +
		"Specifics.ClassSkipWorth=0.3\nSpecifics.Meters=cpu_busy,other,runnable\nUnknown.Key=x\nValueBy=work"
	s, gauges, err := ParseSettings(text)
	if err != nil || s.Cancel != admission.CancelSuspend || s.CreditMode != admission.CreditRankThreshold ||
		!s.WeightPerWork ||
		s.Dependency != admission.DependencyTier ||
		len(gauges) != 3 ||
		gauges[2] != gaugeRunnable {
		t.Fatalf("%+v %v %v", s, gauges, err)
	}
	if c := s.Classes[0]; c.Idempotency != admission.IdempotentWithKey || c.LatencyObjective != 2*time.Millisecond || !c.CallsDependency ||
		c.DegradedWeightFraction != 0.3 {
		t.Fatalf("%+v", c)
	}
	for _, bad := range []string{"Specifics.Cores=many", "Specifics.Halt=maybe", "RequestClasses.count=-1",
		"Specifics.MemoryKb=NaN", "Specifics.DeepChecks=perhaps", "Rules.FallUs=-4",
		"RequestClasses.0.WindowUs=0", "Specifics.Cores=0", "Rules.ColdShare=2", "Specifics.MemoryKb="} {
		if _, _, err := ParseSettings(text + "\n" + bad); err == nil ||
			!strings.Contains(err.Error(), strings.SplitN(bad, "=", 2)[0]) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(
		frame("abc", unhex("0100 05000000 0000000000000000 00000000 03000000"), unhex("0800 05000000 00 04")),
	)
	f.Fuzz(func(t *testing.T, in []byte) {
		b, _, err := ReadBatch(bytes.NewReader(in), nil)
		if err != nil {
			return
		}
		for i := range b.Len() {
			if rec, err := b.Record(i, names); err == nil && rec.Start {
				_, _, _ = ParseSettings(rec.Settings)
			}
		}
	})
}

// TestSettingErrorsNameTheWirePath holds the path that an error names for each setting that the
// module may report, as the operators know it.
func TestSettingErrorsNameTheWirePath(t *testing.T) {
	for setting, want := range map[string]string{
		"Classes":                           "RequestClasses",
		"Cores":                             "Specifics.Cores",
		"MemoryKB":                          "Specifics.MemoryKb",
		"RunningMemoryFactor":               "Specifics.RunMemFactor",
		"KeyMemoryKB":                       "Specifics.KeyKb",
		"MaxRunningPerCore":                 "Rules.FallMultiple",
		"WarmUpInitialShare":                "Rules.ColdShare",
		"CallQuota":                         "Specifics.CallsOut",
		"Classes[0].Name":                   "RequestClasses.0.Name",
		"Classes[0].LatencyObjective":       "RequestClasses.0.TargetUs",
		"Classes[0].Timeout":                "RequestClasses.0.DeadlineUs",
		"Classes[0].ObjectiveWorkFactor":    "RequestClasses.0.AimStretch",
		"Classes[1].Idempotency":            "RequestClasses.1.Idempotency",
		"Classes[12].IdempotencyWindow":     "RequestClasses.12.WindowUs",
		"Classes[0].PriorityWeight":         "RequestClasses.0.Worth",
		"Classes[0].LateWeightFraction":     "RequestClasses.0.LateWorth",
		"Classes[0].DegradedWeightFraction": "RequestClasses.0.ClassSkipWorth",
		"Tenants[0].Name":                   "Accounts.0.Name",
		"Tenants[3].QuotaRate":              "Accounts.3.QuotaRps",
	} {
		p := &pairs{m: map[string]string{want: "7"}}
		err := p.inPaths(&admission.SettingError{Setting: setting, Value: 7, Want: "less"})
		var named *admission.SettingError
		if !errors.As(err, &named) || named.Setting != want || named.Value != 7 {
			t.Errorf("%s: %v, want the path %s", setting, err, want)
		}
	}
}
