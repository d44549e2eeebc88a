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

// Host is the other side of the wire: it hands events to a program that decides, and reads its actions. It speaks for
// whoever plays a day; the clock of the wire is the day's.
type Host struct {
	out     io.Writer
	in      *bufio.Reader
	body    []byte
	records uint32
}

// NewHost speaks over a program's standard input and output.
func NewHost(out io.Writer, in io.Reader) *Host {
	return &Host{out: out, in: bufio.NewReaderSize(in, 1<<16)}
}

func (h *Host) record(code uint8, scheduler uint32) {
	if h.body == nil {
		h.body = make([]byte, 16)
	}
	h.records++
	h.body = append(h.body, code)
	h.u32(scheduler)
}

func (h *Host) u8(v uint8)    { h.body = append(h.body, v) }
func (h *Host) u16(v uint16)  { h.body = binary.LittleEndian.AppendUint16(h.body, v) }
func (h *Host) u32(v uint32)  { h.body = binary.LittleEndian.AppendUint32(h.body, v) }
func (h *Host) u64(v uint64)  { h.body = binary.LittleEndian.AppendUint64(h.body, v) }
func (h *Host) f32(v float64) { h.u32(math.Float32bits(float32(v))) }
func (h *Host) f64(v float64) { h.u64(math.Float64bits(v)) }

func (h *Host) worker(id dispatch.WorkerID) {
	addr := id.Addr().As4()
	h.body = append(h.body, addr[:]...)
	h.u16(id.Port())
}

func (h *Host) load(load *dispatch.LoadReport, report settings.Report) {
	if load == nil {
		h.u8(0)
		return
	}
	h.u8(uint8(len(report.Names)))
	for i := range report.Names {
		v := 0.0
		if field := report.Field(load, i); field != nil {
			v = *field
		}
		h.f32(v)
	}
}

// Up starts an instance.
func (h *Host) Up(scheduler uint32, seed uint64, text []byte) {
	h.record(evUp, scheduler)
	h.u64(seed)
	h.u32(uint32(len(text)))
	h.body = append(h.body, text...)
}

// PowerOff ends one.
func (h *Host) PowerOff(scheduler uint32) { h.record(evPowerOff, scheduler) }

// Event hands one event over; base is when the instance was started, which is where its times count from.
func (h *Host) Event(scheduler uint32, base time.Duration, report settings.Report, event dispatch.Event) error {
	switch e := event.(type) {
	case dispatch.EndpointUpdate:
		h.record(evDirectory, scheduler)
		h.u64(0)
		h.u8(map[dispatch.UpdateKind]uint8{dispatch.WatchFailed: 0, dispatch.FullUpdate: 1, dispatch.DeltaUpdate: 3}[e.Kind])
		h.u32(uint32(len(e.Endpoints)))
		for _, w := range e.Endpoints {
			h.worker(w.Worker)
			h.u8(uint8(w.Zone))
			h.u8(uint8(w.Kind))
			h.u16(uint16(w.Cell))
			h.u8(map[dispatch.EndpointState]uint8{dispatch.Gone: 0, dispatch.Ready: 1, dispatch.Draining: 2}[w.State])
			h.f32(1)
			if at := (w.StartedAt + base).Seconds(); w.StartKnown {
				if at == 0 {
					at = 1e-9 // nought stands for long ago
				}
				h.f64(at)
			} else {
				h.f64(0)
			}
		}
	case dispatch.Arrival:
		h.record(evInbound, scheduler)
		h.u64(uint64(e.Invocation))
		h.u16(uint16(e.Operation))
		h.u16(uint16(e.Tenant))
		h.u64(0)
		h.f64(e.Budget.Seconds())
		h.f64(e.Hint)
		h.f32(e.Slots)
		h.f32(0)
		flags := uint16(0)
		if e.Hint > 0 {
			flags = hintValid
		}
		h.u16(flags)
	case dispatch.AttemptProgress:
		if e.Accepted {
			return nil // the wire has no word for it
		}
		h.record(evHeartbeat, scheduler)
		h.u64(uint64(e.Invocation))
		h.u8(uint8(e.Attempt))
		h.worker(e.Worker)
		kind := uint8(2)
		if e.Started {
			kind = 1
		}
		h.u8(kind)
		h.f32(e.Done)
	case dispatch.Outcome:
		h.record(evCompleted, scheduler)
		h.u64(uint64(e.Invocation))
		h.u8(uint8(e.Attempt))
		h.u16(status(e.Result))
		h.f64(0)
		h.u8(0)
		closed := uint8(0)
		if e.Answered {
			closed = 1
		}
		h.u8(closed)
		h.worker(e.Worker)
		h.load(e.Load, report)
	case dispatch.ClientDisconnected:
		h.record(evWithdrawn, scheduler)
		h.u64(uint64(e.Invocation))
	case dispatch.HealthCheckResult:
		h.record(evHealth, scheduler)
		h.worker(e.Worker)
		h.u16(status(e.Result))
		h.f64(e.Latency.Seconds())
		h.load(e.Load, report)
	case dispatch.TimerFired:
		h.record(evTickDue, scheduler)
		h.u64(0)
	default:
		return fmt.Errorf("no word on the wire for %T", event)
	}
	return nil
}

// status is a result's word; what the wire has none for is told as the nearest that promises less.
func status(r dispatch.Result) uint16 {
	switch r {
	case dispatch.BadRequest:
		r = dispatch.Failed
	case dispatch.ReusedConnectionBroken:
		r = dispatch.ConnectionBroken
	}
	for code, result := range results {
		if result == r {
			return code
		}
	}
	return 0
}

// Flush sends the batch and gives each action of the reply to do.
func (h *Host) Flush(now time.Duration, base func(scheduler uint32) time.Duration, do func(scheduler uint32, a dispatch.Action)) error {
	if h.body == nil {
		h.body = make([]byte, 16)
	}
	binary.LittleEndian.PutUint32(h.body, uint32(len(h.body)-4))
	binary.LittleEndian.PutUint32(h.body[4:], h.records)
	binary.LittleEndian.PutUint64(h.body[8:], math.Float64bits(now.Seconds()))
	_, err := h.out.Write(h.body)
	if h.body, h.records = h.body[:16], 0; err != nil {
		return err
	}
	var head [8]byte
	if _, err := io.ReadFull(h.in, head[:]); err != nil {
		return fmt.Errorf("the program has ended in the midst of the day: %w", err)
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < 4 || size > maxFrame {
		return fmt.Errorf("a reply of %d bytes", size)
	}
	body := make([]byte, size-4)
	if _, err := io.ReadFull(h.in, body); err != nil {
		return fmt.Errorf("reply cut short: %w", err)
	}
	c := cursor{rest: body}
	for range binary.LittleEndian.Uint32(head[4:]) {
		code, scheduler := c.u8(), c.u32()
		action, err := c.action(code, base(scheduler))
		if err = errors.Join(c.err, err); err != nil {
			return fmt.Errorf("action code %d: %w", code, err)
		}
		do(scheduler, action)
	}
	if len(c.rest) > 0 {
		return fmt.Errorf("%d bytes are left over after the last action", len(c.rest))
	}
	return nil
}

func (c *cursor) action(code uint8, base time.Duration) (dispatch.Action, error) {
	switch code {
	case actForward:
		inv := dispatch.InvocationID(c.u64())
		c.u64()
		return dispatch.Forward{Invocation: inv, Worker: c.worker()}, nil
	case actNotNow:
		return dispatch.Throttle{Invocation: dispatch.InvocationID(c.u64()), RetryAfter: settings.Duration(c.f64())}, nil
	case actDropRequest:
		return dispatch.Fail{Invocation: dispatch.InvocationID(c.u64())}, nil
	case actCallOff:
		return dispatch.Cancel{Invocation: dispatch.InvocationID(c.u64()), Attempt: int(c.u8())}, nil
	case actAfter:
		at := settings.Duration(c.f64()) - base
		c.u64()
		return dispatch.SetTimer{At: at}, nil
	case actHealthCheck:
		return dispatch.HealthCheck{Worker: c.worker()}, nil
	case actJournalLine:
		return dispatch.Log{Message: string(c.take(int(c.u16())))}, nil
	case actBroken:
		return nil, fmt.Errorf("the program says: %s", c.take(int(c.u16())))
	case actFollow:
		c.u8()
		return dispatch.WatchEndpoints{}, nil
	}
	return nil, errors.New("unknown")
}
