// Command baseline decides by a plain policy, on the simulator's wire, so that a played day has something to be held
// against. It serves nobody.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/baseline"
	"stoatweir/internal/simwire"
)

type instance struct {
	dialect simwire.Dialect
	policy  *baseline.Policy
	events  []dispatch.Event
	has     bool
}

func main() {
	if len(os.Args) != 2 {
		logrus.Fatal("usage: baseline POLICY, which is one of ", baseline.Names)
	}
	if err := play(os.Args[1], os.Stdin, os.Stdout); err != nil {
		logrus.WithError(err).Fatal("the wire can't be read on")
	}
}

func play(name string, in io.Reader, out io.Writer) error {
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
				return err
			}
			if !more {
				break
			}
			in := instances[id]
			if in == nil {
				in = &instance{}
				instances[id] = in
			}
			switch e := event.(type) {
			case nil:
			case simwire.Up:
				policy, err := baseline.New(name, e.Deployment, e.Seed)
				if err != nil {
					return err
				}
				*in = instance{dialect: e.Dialect, policy: policy, has: in.has}
			case simwire.PowerOff:
				in.policy, in.events = nil, nil
			default:
				in.events = append(in.events, e.(dispatch.Event))
			}
			if !in.has {
				in.has = true
				order = append(order, id)
			}
		}
		reply.Reset()
		for _, id := range order {
			in := instances[id]
			events := in.events
			if in.events, in.has = nil, false; in.policy == nil {
				continue
			}
			for _, a := range in.policy.Handle(in.dialect.Base.Since(batch.Clock), events) {
				reply.Action(id, in.dialect.Base, a)
			}
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("the reply: %w", err)
		}
	}
}
