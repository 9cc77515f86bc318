// Command simadapter hosts one admission.Controller for each backend of the bench, from standard
// input to standard output. It holds a table of instances and decides nothing.
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

// instance is one backend's controller and the events of the current batch that wait for it.
type instance struct {
	ctl    *admission.Controller
	gauges []simwire.Gauge
	events []admission.Event
	listed bool
}

// host is the table of instances.
type host struct {
	table   map[uint32]*instance
	order   []uint32 // instances with an event in this batch, in order of their first
	reply   simwire.Reply
	actions []admission.Action
}

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve answers every batch of r on w until the input ends.
func serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	h := &host{table: map[uint32]*instance{}}
	var buf []byte
	for {
		var b simwire.Batch
		var err error
		if b, buf, err = simwire.ReadBatch(in, buf); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := h.batch(&b); err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(out); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("simwire: reply: %w", err)
		}
	}
}

// batch fills h.reply with the actions for one batch.
func (h *host) batch(b *simwire.Batch) error {
	h.reply.Reset()
	h.order = h.order[:0]
	for i := range b.Len() {
		rec, err := b.Record(i, h.gaugesOf)
		if err != nil {
			return err
		}
		switch in := h.table[rec.Instance]; {
		case rec.Start:
			if in, err = start(rec); err != nil {
				h.reply.Fault(rec.Instance, err.Error())
				continue
			}
			h.table[rec.Instance] = in
			h.list(rec.Instance, in)
		case in == nil:
			return fmt.Errorf("simwire: record %d: event for unknown instance %d", i, rec.Instance)
		case rec.Killed:
			delete(h.table, rec.Instance)
		default:
			in.events = append(in.events, rec.Event)
			h.list(rec.Instance, in)
		}
	}
	for _, id := range h.order {
		if in := h.table[id]; in != nil && in.listed {
			h.decide(id, in, b)
		}
	}
	return nil
}

func (h *host) gaugesOf(id uint32) []simwire.Gauge {
	if in := h.table[id]; in != nil {
		return in.gauges
	}
	return nil
}

func (h *host) list(id uint32, in *instance) {
	if !in.listed {
		in.listed = true
		h.order = append(h.order, id)
	}
}

func start(rec simwire.Record) (*instance, error) {
	s, gauges, err := simwire.ParseSettings(rec.Settings)
	if err != nil {
		return nil, err
	}
	ctl, err := admission.New(s, rec.Seed)
	if err != nil {
		return nil, err
	}
	return &instance{ctl: ctl, gauges: gauges}, nil
}

// decide lets one instance act, and reports a panic of the module as its fault.
func (h *host) decide(id uint32, in *instance, b *simwire.Batch) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Fault(id, fmt.Sprintf("simwire: panic: %v", p))
		}
	}()
	in.listed = false
	h.actions = in.ctl.Handle(b.Now, in.events, h.actions[:0])
	in.events = in.events[:0]
	for i := range h.actions {
		h.reply.Add(id, &h.actions[i])
	}
}
