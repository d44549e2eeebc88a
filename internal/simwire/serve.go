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
	// Handle processes the events of one batch and returns the resulting actions. now is the time
	// since the instance's start.
	Handle(now time.Duration, events []dispatch.Event) []dispatch.Action
}

// StartFunc returns a new Decider for an instance that starts.
type StartFunc func(InstanceStart) (Decider, error)

// instance is the state of one scheduler.
type instance struct {
	start   *InstanceStart // nil once the decider has been created
	params  decodeParams
	decider Decider          // nil until it is created, after a stop and after a panic
	events  []dispatch.Event // of the current batch; nil: it has no record of this instance
}

// Serve answers batches until the end of input. Instances share no state: each processes its own
// events, and the reply contains the actions of all. Serve returns an error if a frame can't be read,
// decoded or written, or if start fails.
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

// distribute adds the records of a batch to their instances and returns the ids of these instances, in
// the order of their first records.
func distribute(b batch, instances map[uint32]*instance) ([]uint32, error) {
	var order []uint32
	paramsOf := func(id uint32) decodeParams {
		if in := instances[id]; in != nil {
			return in.params
		}
		return decodeParams{}
	}
	reader := newEventReader(b)
	for {
		decoded, more, err := reader.next(paramsOf)
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

// add applies a record to the instance. A start or stop discards the events before it.
func (in *instance) add(r record) {
	switch {
	case r.start != nil:
		in.start = r.start
		in.params = r.start.params
		in.events = in.events[:0]
	case r.stopped:
		in.start = nil
		in.decider = nil
		in.events = in.events[:0]
	case r.event != nil:
		in.events = append(in.events, r.event)
	}
}

// run passes the instance's events to its decider and adds the actions to the reply. A panic of the
// decider is reported in the reply, and the simulator then ends its run.
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
	for _, action := range in.decider.Handle(in.params.epoch.since(clock), events) {
		reply.action(id, in.params.epoch, action)
	}
	return nil
}
