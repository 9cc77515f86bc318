package app

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/traffic"
)

// recordClose is how long the end of the program waits for the last records.
const recordClose = 100 * time.Millisecond

// record begins to record traffic if the operator's file says so. A disk that does not take the
// file is told and costs the records, not the service.
func (r *Program) record() func(*lifecycle.Request) {
	if r.op == nil || r.op.TrafficRecording.Dir == "" {
		return nil
	}
	h := traffic.Header{Runner: r.cfg.Name, StartedAt: r.loop.Unix()}
	for _, c := range r.cfg.Settings.Classes {
		h.Classes = append(h.Classes, c.Name)
	}
	for _, t := range r.cfg.Settings.Tenants {
		h.Tenants = append(h.Tenants, t.Name)
	}
	if len(h.Tenants) == 0 {
		h.Tenants = []string{""}
	}
	path := filepath.Join(
		r.op.TrafficRecording.Dir,
		fmt.Sprintf("%s-%d.traffic", r.cfg.Name, h.StartedAt/1_000_000),
	)
	var err error
	r.rec, err = traffic.Create(
		path,
		h,
		traffic.Options{
			MaxBytes:  int64(r.op.TrafficRecording.MaxMB) << 20,
			QueueSize: r.op.TrafficRecording.Queue,
		},
	)
	if err != nil {
		evRecordFailed.Log(err)
		return nil
	}
	evRecord.Log(path)
	return func(q *lifecycle.Request) {
		// one that came with a HUP: the head of the file does not name it
		if q.Class >= len(h.Classes) {
			return
		}
		n := traffic.Request{
			ArrivedAt: q.ArrivedAt,
			Class:     uint16(q.Class),
			Tenant:    uint16(max(q.Tenant, 0)),
			Caller:    q.Caller,
			SizeKB:    float32(q.SizeKB),
			Rank:      float32(q.Rank),
			BodyBytes: uint32(len(q.Body)),
		}
		if len(q.Body) > 0 { // or all that carry none would look like tries of one
			n.BodyHash = xxhash.Sum64(q.Body)
		}
		if q.Key != "" {
			n.KeyHash = xxhash.Sum64String(q.Key)
		}
		r.rec.Record(n)
	}
}

// tellLost tells of records that were lost since it was told last.
func (r *Program) tellLost() {
	if r.rec == nil {
		return
	}
	if lost := r.rec.Lost(); lost != r.lost {
		evRecordLost.Log(lost.Queue, lost.Bytes, lost.Errors)
		r.lost = lost
	}
}

// endRecord finishes the file.
func (r *Program) endRecord() {
	if r.rec == nil {
		return
	}
	if err := r.rec.Close(recordClose); err != nil {
		evRecordFailed.Log(err)
	}
	r.tellLost()
}
