package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// Host is the simulator's side of the protocol: it sends batches of events to a program that runs the
// schedulers, and reads actions from its replies. The clock of the batches is the time since the run
// began.
type Host struct {
	out    io.Writer
	in     *bufio.Reader
	events eventWriter
}

// NewHost returns a Host for a program. out is connected to the program's standard input, and in to
// its standard output.
func NewHost(out io.Writer, in io.Reader) *Host {
	return &Host{out: out, in: bufio.NewReaderSize(in, bufferSize), events: newEventWriter()}
}

// StartInstance adds the start of an instance to the batch. text is its settings as JSON.
func (h *Host) StartInstance(scheduler uint32, seed uint64, text []byte) {
	h.events.begin(eventUp, scheduler)
	h.events.u64(seed)
	h.events.u32(uint32(len(text)))
	h.events.body = append(h.events.body, text...)
}

// StopInstance adds the stop of an instance to the batch.
func (h *Host) StopInstance(scheduler uint32) { h.events.begin(eventPowerOff, scheduler) }

// AddEvent adds an event to the batch. startedAt is when the instance was started; the event's times
// are relative to it. It returns an error if the protocol has no record for the event.
func (h *Host) AddEvent(scheduler uint32, startedAt time.Duration, report settings.Report, event dispatch.Event) error {
	return h.events.event(scheduler, startedAt, report, event)
}

// Exchange sends the batch, reads the reply and calls handle for each of its actions. startedAt returns
// when an instance was started.
func (h *Host) Exchange(
	now time.Duration, startedAt func(scheduler uint32) time.Duration, handle func(scheduler uint32, a dispatch.Action),
) error {
	if err := h.send(now); err != nil {
		return err
	}
	records, body, err := h.readReply()
	if err != nil {
		return err
	}
	c := cursor{remaining: body}
	for range records {
		code := actionCode(c.u8())
		scheduler := c.u32()
		action, err := c.action(code, startedAt(scheduler))
		if err := errors.Join(c.err, err); err != nil {
			return fmt.Errorf("action code %d: %w", code, err)
		}
		handle(scheduler, action)
	}
	if len(c.remaining) > 0 {
		return fmt.Errorf("%d bytes are left over after the last action", len(c.remaining))
	}
	return nil
}

// send writes the batch and clears it, even if the write fails.
func (h *Host) send(now time.Duration) error {
	frame := h.events.frame()
	binary.LittleEndian.PutUint64(frame[clockOffset:], math.Float64bits(now.Seconds()))
	_, err := h.out.Write(frame)
	h.events.reset()
	return err
}

// readReply reads a reply and returns the number of its records and the encoded records.
func (h *Host) readReply() (records uint32, body []byte, err error) {
	var header [replyHeaderSize]byte
	if _, err := io.ReadFull(h.in, header[:]); err != nil {
		return 0, nil, fmt.Errorf("the program exited during the run: %w", err)
	}
	size := binary.LittleEndian.Uint32(header[:])
	if size < replyHeaderSize-lengthSize || size > maxFrameSize {
		return 0, nil, fmt.Errorf("reply length of %d bytes is out of range", size)
	}
	body = make([]byte, size-(replyHeaderSize-lengthSize))
	if _, err := io.ReadFull(h.in, body); err != nil {
		return 0, nil, fmt.Errorf("reply cut short: %w", err)
	}
	return binary.LittleEndian.Uint32(header[lengthSize:]), body, nil
}
