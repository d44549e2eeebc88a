package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"stoatweir/dispatch"
)

// Decider is one scheduler's decisions.
type Decider interface {
	Handle(now time.Duration, events []dispatch.Event) []dispatch.Action
}

// instance is one scheduler of a program that decides on the wire.
type instance struct {
	up      *Up // set until it has been started
	dialect Dialect
	core    Decider // nil until started and after a stop
	events  []dispatch.Event
}

// Serve answers batches until the input ends. It hosts instances by their ids, hands each its own events and writes their
// actions back; they share nothing.
func Serve(in io.Reader, out io.Writer, start func(Up) (Decider, error)) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	instances := map[uint32]*instance{}
	var reply Reply
	for {
		batch, err := ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		order, err := sortOut(batch, instances)
		if err != nil {
			return err
		}
		reply.Reset()
		for _, id := range order {
			if err := instances[id].run(id, batch.Clock, &reply, start); err != nil {
				return err
			}
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// sortOut hands the batch's events to their instances and lists these in the order of their first event.
func sortOut(batch Batch, instances map[uint32]*instance) ([]uint32, error) {
	var order []uint32
	dialect := func(id uint32) (d Dialect) {
		if in := instances[id]; in != nil {
			d = in.dialect
		}
		return d
	}
	for records := Open(batch); ; {
		id, event, more, err := records.Next(dialect)
		if err != nil {
			return nil, err
		}
		if !more {
			return order, nil
		}
		in := instances[id]
		if in == nil {
			in = &instance{}
			instances[id] = in
		}
		if in.events == nil {
			in.events = []dispatch.Event{}
			order = append(order, id)
		}
		switch e := event.(type) {
		case nil:
		case Up:
			in.up, in.dialect, in.events = &e, e.Dialect, in.events[:0]
		case PowerOff:
			in.up, in.core, in.events = nil, nil, in.events[:0]
		default:
			in.events = append(in.events, e.(dispatch.Event))
		}
	}
}

// run lets one instance decide; a panic of the decisions is told on the wire, which ends the day in plain words.
func (in *instance) run(id uint32, clock float64, reply *Reply, start func(Up) (Decider, error)) (err error) {
	events := in.events
	in.events = nil
	defer func() {
		if cause := recover(); cause != nil {
			in.up, in.core = nil, nil
			reply.Broken(id, fmt.Sprintf("the decisions panicked: %v", cause))
		}
	}()
	if in.up != nil {
		if in.core, err = start(*in.up); err != nil {
			return err
		}
		in.up = nil
	}
	if in.core == nil {
		return nil
	}
	for _, action := range in.core.Handle(in.dialect.Base.Since(clock), events) {
		reply.Action(id, in.dialect.Base, action)
	}
	return nil
}
