package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"stoatweir/dispatch"
)

// Decider makes the decisions of one scheduler.
type Decider interface {
	// Handle takes the events of one moment, as time since the instance's start, and returns the actions that follow.
	Handle(now time.Duration, events []dispatch.Event) []dispatch.Action
}

// StartFunc makes the Decider of an instance that starts.
type StartFunc func(InstanceStart) (Decider, error)

// instance is one scheduler.
type instance struct {
	start   *InstanceStart // nil once the decider is made
	dialect dialect
	decider Decider          // nil until it is made, and after a stop
	events  []dispatch.Event // of the present batch; nil: it has no record of this instance
}

// Serve answers batches until the end of the input. The instances share no state: each gets its own events, and the reply
// holds its actions. The error is that of a frame that can't be read or written, or of start.
func Serve(in io.Reader, out io.Writer, start StartFunc) error {
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	instances := map[uint32]*instance{}
	reply := newReply()
	for {
		batch, err := readBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		order, err := distribute(batch, instances)
		if err != nil {
			return err
		}
		reply.reset()
		for _, id := range order {
			if err := instances[id].run(id, batch.clock, reply, start); err != nil {
				return err
			}
		}
		if _, err := w.Write(reply.frame()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// distribute hands the batch's events to their instances, and returns the ids of these in the order of their first event.
func distribute(b batch, instances map[uint32]*instance) ([]uint32, error) {
	var order []uint32
	dialectOf := func(id uint32) dialect {
		if in := instances[id]; in != nil {
			return in.dialect
		}
		return dialect{}
	}
	reader := newEventReader(b)
	for {
		decoded, more, err := reader.next(dialectOf)
		if err != nil {
			return nil, err
		}
		if !more {
			return order, nil
		}
		id := decoded.scheduler
		in := instances[id]
		if in == nil {
			in = &instance{}
			instances[id] = in
		}
		if in.events == nil {
			in.events = []dispatch.Event{}
			order = append(order, id)
		}
		in.add(decoded)
	}
}

// add applies a record to the instance. A start or a stop voids the events before it.
func (in *instance) add(r record) {
	switch {
	case r.start != nil:
		in.start = r.start
		in.dialect = r.start.dialect
		in.events = in.events[:0]
	case r.stopped:
		in.start = nil
		in.decider = nil
		in.events = in.events[:0]
	case r.event != nil:
		in.events = append(in.events, r.event)
	}
}

// run lets one instance decide on its events. A panic of the decisions is reported in the reply, which ends the run.
func (in *instance) run(id uint32, clock float64, reply *reply, start StartFunc) (err error) {
	events := in.events
	in.events = nil
	defer func() {
		if cause := recover(); cause != nil {
			in.start = nil
			in.decider = nil
			reply.broken(id, fmt.Sprintf("the decisions panicked: %v", cause))
		}
	}()
	if in.start != nil {
		in.decider, err = start(*in.start)
		if err != nil {
			return err
		}
		in.start = nil
	}
	if in.decider == nil {
		return nil
	}
	for _, action := range in.decider.Handle(in.dialect.epoch.since(clock), events) {
		reply.action(id, in.dialect.epoch, action)
	}
	return nil
}
