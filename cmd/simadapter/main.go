// Command simadapter hosts one admission.Controller for each server of a simulation. It reads
// batches of events from standard input and writes the actions to standard output, in the frames of
// package simwire. The controllers make all decisions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simwire"
)

// ioBufferSize is the size in bytes of the buffers of input and output.
const ioBufferSize = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve answers every batch of r on w until the input ends. It returns a simwire.FrameError for a
// frame that it cannot read or write.
func serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, ioBufferSize)
	out := bufio.NewWriterSize(w, ioBufferSize)
	h := &host{instances: map[uint32]*instance{}}
	var buf []byte
	for {
		var batch simwire.Batch
		var err error
		batch, buf, err = simwire.ReadBatch(in, buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(&batch); err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(out); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return &simwire.FrameError{Part: "reply", Err: err}
		}
	}
}

// instance is one server's controller with its events of the current batch.
type instance struct {
	controller *admission.Controller
	gauges     []simwire.Gauge // order of the gauges in its timer events
	events     []admission.Event
	scheduled  bool // it is in host.scheduled, and its events are not handled yet
}

// host holds the instances of a simulation.
type host struct {
	instances map[uint32]*instance
	scheduled []uint32 // instances with an event in this batch, in the order of their first events
	reply     simwire.Reply
	actions   []admission.Action
}

// handle fills h.reply with the actions for one batch.
func (h *host) handle(batch *simwire.Batch) error {
	h.reply.Reset()
	h.scheduled = h.scheduled[:0]
	for i := range batch.Len() {
		record, err := batch.Record(i, h.gaugesOf)
		if err != nil {
			return err
		}
		if !h.accept(&record) {
			return &simwire.FrameError{
				Part: fmt.Sprintf("record %d", i),
				Err:  fmt.Errorf("event for unknown instance %d", record.Instance),
			}
		}
	}
	for _, id := range h.scheduled {
		if in := h.instances[id]; in != nil && in.scheduled {
			h.decide(id, in, batch)
		}
	}
	return nil
}

// accept starts or ends an instance, or keeps its event for the end of the batch. It reports
// whether the instance is known.
func (h *host) accept(record *simwire.Record) bool {
	id := record.Instance
	if record.Start {
		in, err := newInstance(record)
		if err != nil {
			h.reply.Fault(id, err.Error())
			return true
		}
		h.instances[id] = in
		h.schedule(id, in)
		return true
	}
	in := h.instances[id]
	if in == nil {
		return false
	}
	if record.Killed {
		delete(h.instances, id)
		return true
	}
	in.events = append(in.events, record.Event)
	h.schedule(id, in)
	return true
}

// gaugesOf returns the order of the gauges in an instance's timer events.
func (h *host) gaugesOf(id uint32) []simwire.Gauge {
	if in := h.instances[id]; in != nil {
		return in.gauges
	}
	return nil
}

// schedule has an instance handle its events at the end of the batch.
func (h *host) schedule(id uint32, in *instance) {
	if !in.scheduled {
		in.scheduled = true
		h.scheduled = append(h.scheduled, id)
	}
}

// newInstance returns the instance that a start record describes.
func newInstance(record *simwire.Record) (*instance, error) {
	settings, gauges, err := simwire.ParseSettings(record.Settings)
	if err != nil {
		return nil, err
	}
	controller, err := admission.New(settings, record.Seed)
	if err != nil {
		return nil, err
	}
	return &instance{controller: controller, gauges: gauges}, nil
}

// decide has an instance handle its events and adds its actions to the reply. A panic is reported as a
// fault of the instance.
func (h *host) decide(id uint32, in *instance, batch *simwire.Batch) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Fault(id, fmt.Sprintf("simwire: panic: %v", p))
		}
	}()
	in.scheduled = false
	h.actions = in.controller.Handle(batch.Now, in.events, h.actions[:0])
	in.events = in.events[:0]
	for i := range h.actions {
		h.reply.Add(id, &h.actions[i])
	}
}
