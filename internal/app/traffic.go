package app

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/traffic"
)

// trafficCloseTimeout is how long Close waits for the last records to be written.
const trafficCloseTimeout = 100 * time.Millisecond

// startRecording starts to record traffic if the operator's file says so. It returns the function that
// records a request, or nil. After an error of the disk, which is logged, the program serves without
// recording.
func (p *Program) startRecording() func(*lifecycle.Request) {
	if p.operator == nil || p.operator.TrafficRecording.Dir == "" {
		return nil
	}
	settings := &p.operator.TrafficRecording
	header := p.trafficHeader()
	startedAt := header.StartedAt.Time().Unix()
	path := filepath.Join(settings.Dir, fmt.Sprintf("%s-%d.traffic", p.config.Name, startedAt))
	var err error
	p.telemetry.traffic, err = traffic.Create(path, header, traffic.Options{
		MaxBytes:  int64(settings.MaxMB) << 20,
		QueueSize: settings.Queue,
	})
	if err != nil {
		eventRecordingFailed.Log(err)
		return nil
	}
	eventRecordingStarted.Log(path)
	return func(request *lifecycle.Request) {
		// A class that a HUP has added is not in the header, so its requests are not recorded.
		if request.Class < len(header.Classes) {
			p.telemetry.traffic.Record(trafficRequest(request))
		}
	}
}

// trafficHeader returns the header of a file of recorded traffic.
func (p *Program) trafficHeader() traffic.Header {
	header := traffic.Header{
		Runner:    p.config.Name,
		StartedAt: p.loop.Unix(),
		Classes:   classNames(p.config.Settings),
		Tenants:   tenantNames(p.config.Settings),
	}
	if len(header.Tenants) == 0 {
		header.Tenants = []string{""}
	}
	return header
}

// trafficRequest returns the record of a request.
func trafficRequest(request *lifecycle.Request) traffic.Request {
	record := traffic.Request{
		ArrivedAt: request.ArrivedAt,
		Class:     uint16(request.Class),
		Tenant:    uint16(max(request.Tenant, 0)),
		Caller:    request.Caller,
		SizeKB:    float32(request.SizeKB),
		Rank:      float32(request.Rank),
		BodyBytes: uint32(len(request.Body)),
	}
	if len(request.Body) > 0 { // with a hash, all requests without a body would look like retries of one request
		record.BodyHash = xxhash.Sum64(request.Body)
	}
	if request.Key != "" {
		record.KeyHash = xxhash.Sum64String(request.Key)
	}
	return record
}

// reportTrafficLost logs the counts of lost records if they have changed since the last call.
func (p *Program) reportTrafficLost() {
	if p.telemetry.traffic == nil {
		return
	}
	if lost := p.telemetry.traffic.Lost(); lost != p.telemetry.trafficLost {
		eventRecordsLost.Log(lost.Queue, lost.Bytes, lost.Errors)
		p.telemetry.trafficLost = lost
	}
}

// closeRecording finishes the file of recorded traffic.
func (p *Program) closeRecording() {
	if p.telemetry.traffic == nil {
		return
	}
	if err := p.telemetry.traffic.Close(trafficCloseTimeout); err != nil {
		eventRecordingFailed.Log(err)
	}
	p.reportTrafficLost()
}
