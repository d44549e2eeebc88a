// Command drill lets the decision module play in the simulator: it hosts instances by their ids, hands each
// its own events and writes their actions back. It decides nothing and the instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/simwire"
)

type instance struct {
	up      *simwire.Up // set until it has been started
	dialect simwire.Dialect
	core    *dispatch.Dispatcher // nil until started and after a stop
	events  []dispatch.Event
}

func main() {
	// Over a thousand instances may share this process: their memory is small beside what collecting it costs.
	debug.SetGCPercent(400)
	if err := play(os.Stdin, os.Stdout); err != nil {
		logrus.WithError(err).Fatal("the wire can't be read on")
	}
}

// play answers batches until the input ends.
func play(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	instances := map[uint32]*instance{}
	var reply simwire.Reply
	for {
		batch, err := simwire.ReadBatch(r)
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
			instances[id].run(id, batch.Clock, &reply)
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
func sortOut(batch simwire.Batch, instances map[uint32]*instance) ([]uint32, error) {
	var order []uint32
	dialect := func(id uint32) (d simwire.Dialect) {
		if in := instances[id]; in != nil {
			d = in.dialect
		}
		return d
	}
	for records := simwire.Open(batch); ; {
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
		case simwire.Up:
			in.up, in.dialect, in.events = &e, e.Dialect, in.events[:0]
		case simwire.PowerOff:
			in.up, in.core, in.events = nil, nil, in.events[:0]
		default:
			in.events = append(in.events, e.(dispatch.Event))
		}
	}
}

// run lets one instance decide; a panic of the decisions is told on the wire, which ends the day in plain words.
func (in *instance) run(id uint32, clock float64, reply *simwire.Reply) {
	events := in.events
	in.events = nil
	defer func() {
		if cause := recover(); cause != nil {
			in.up, in.core = nil, nil
			reply.Broken(id, fmt.Sprintf("the decisions panicked: %v", cause))
		}
	}()
	if in.up != nil {
		in.core, in.up = dispatch.New(in.up.Deployment, int64(in.up.Seed)), nil
	}
	if in.core == nil {
		return
	}
	for _, action := range in.core.Handle(in.dialect.Base.Since(clock), events) {
		reply.Action(id, in.dialect.Base, action)
	}
}
