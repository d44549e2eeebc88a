package simwire

import (
	"errors"
	"fmt"
	"hash/fnv"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// InstanceStart starts an instance without any state. Its cached endpoint list follows as an event in
// the same batch.
type InstanceStart struct {
	Seed   uint64
	Config dispatch.Config

	params decodeParams
}

// record is one decoded record. At most one of start, stopped and event is set; none is set for a
// record that does not affect decisions.
type record struct {
	scheduler uint32
	start     *InstanceStart
	stopped   bool // the instance stops at once and loses its state
	event     dispatch.Event
}

// eventReader decodes the records of one batch.
type eventReader struct {
	cursor    cursor
	remaining int // records not read yet
	clock     float64
}

func newEventReader(b batch) *eventReader {
	return &eventReader{cursor: cursor{remaining: b.body}, remaining: b.records, clock: b.clock}
}

// next decodes the next record; false: there are no more. paramsOf returns the parameters for decoding
// the records of an instance.
func (r *eventReader) next(paramsOf func(scheduler uint32) decodeParams) (record, bool, error) {
	if r.remaining == 0 {
		if n := len(r.cursor.remaining); n > 0 {
			return record{}, false, fmt.Errorf("%d bytes are left over after the last record", n)
		}
		return record{}, false, nil
	}
	r.remaining--
	code := eventCode(r.cursor.u8())
	scheduler := r.cursor.u32()
	decoded, err := r.decode(code, paramsOf(scheduler))
	if r.cursor.err != nil {
		err = r.cursor.err
	}
	if err != nil {
		return record{}, false, fmt.Errorf("event code %d: %w", code, err)
	}
	decoded.scheduler = scheduler
	return decoded, true, nil
}

// decode decodes the rest of a record, after its code and scheduler.
func (r *eventReader) decode(code eventCode, params decodeParams) (record, error) {
	switch code {
	case eventUp:
		start, err := r.instanceStart()
		return record{start: start}, err
	case eventPowerOff:
		return record{stopped: true}, nil
	}
	event, err := r.cursor.event(code, params)
	return record{event: event}, err
}

func (r *eventReader) instanceStart() (*InstanceStart, error) {
	c := &r.cursor
	seed := c.u64()
	text := c.take(int(c.u32()))
	if c.err != nil {
		return nil, c.err
	}
	deployment, err := settings.ParseDeployment(text)
	if err != nil {
		return nil, err
	}
	return &InstanceStart{
		Seed:   seed,
		Config: deployment.Dispatch,
		params: decodeParams{epoch: epoch(r.clock), report: deployment.Report},
	}, nil
}

// event decodes an event for the decider; nil: it does not affect decisions.
func (c *cursor) event(code eventCode, params decodeParams) (dispatch.Event, error) {
	switch code {
	case eventDirectoryUpdate:
		return c.endpointUpdate(params.epoch)
	case eventInbound:
		return c.arrival(), nil
	case eventBegun:
		return c.responseStarted(), nil
	case eventHeartbeat:
		return c.attemptProgress(), nil
	case eventCompleted:
		return c.outcome(params.report)
	case eventWithdrawn:
		return dispatch.ClientDisconnected{Invocation: c.invocation()}, nil
	case eventTickDue:
		c.u64() // token
		return dispatch.TimerFired{}, nil
	case eventHealth:
		return c.healthCheckResult(params.report)
	case eventPeer:
		return c.gossip(), nil
	}
	return nil, errors.New("unknown event code")
}

func (c *cursor) arrival() dispatch.Arrival {
	var a dispatch.Arrival
	a.Invocation = c.invocation()
	a.Operation = int(c.u16())
	a.Tenant = int(c.u16())
	c.u64() // key
	a.Budget = settings.Duration(c.f64())
	a.Hint = c.f64()
	a.Slots = c.f32()
	c.f32() // memory
	if flags := c.u16(); flags&hintValid == 0 {
		a.Hint = 0
	}
	return a
}

func (c *cursor) responseStarted() dispatch.ResponseStarted {
	var s dispatch.ResponseStarted
	s.Invocation = c.invocation()
	c.take(begunSkippedSize)
	s.Attempt = int(c.u8())
	return s
}

func (c *cursor) attemptProgress() dispatch.AttemptProgress {
	var p dispatch.AttemptProgress
	p.Invocation = c.invocation()
	p.Attempt = int(c.u8())
	p.Worker = c.worker()
	p.Started = c.u8() == heartbeatStarted
	p.Done = c.f32()
	return p
}

func (c *cursor) outcome(report settings.Report) (dispatch.Event, error) {
	var o dispatch.Outcome
	o.Invocation = c.invocation()
	o.Attempt = int(c.u8())
	status := c.u16()
	c.f64() // elapsed time
	c.u8()  // note
	o.Answered = c.u8() != 0
	o.Worker = c.worker()
	o.Load = c.load(report)
	var err error
	o.Result, err = c.result(status)
	return o, err
}

func (c *cursor) healthCheckResult(report settings.Report) (dispatch.Event, error) {
	var h dispatch.HealthCheckResult
	h.Worker = c.worker()
	status := c.u16()
	h.Latency = settings.Duration(c.f64())
	h.Load = c.load(report)
	var err error
	h.Result, err = c.result(status)
	return h, err
}

// gossip decodes a peer's message; nil: the message is malformed.
func (c *cursor) gossip() dispatch.Event {
	from := int(c.u16())
	entries, ok := dispatch.DecodeGossip(c.text())
	if !ok {
		return nil
	}
	return dispatch.GossipReceived{From: from, Entries: entries}
}

func (c *cursor) result(status uint16) (dispatch.Result, error) {
	result, known := resultByStatus[status]
	if !known && c.err == nil {
		return 0, fmt.Errorf("unknown status %d", status)
	}
	return result, nil
}

func (c *cursor) endpointUpdate(e epoch) (dispatch.Event, error) {
	c.u64() // version of the list
	kind, known := updateKindByForm[c.u8()]
	if !known && c.err == nil {
		return nil, errors.New("unknown form of list")
	}
	entriesLeft := int(c.u32())
	if c.err == nil && entriesLeft > len(c.remaining)/endpointSize {
		return nil, fmt.Errorf("list of %d entries does not fit in %d bytes", entriesLeft, len(c.remaining))
	}
	update := dispatch.EndpointUpdate{Kind: kind, Endpoints: make([]dispatch.Endpoint, 0, entriesLeft)}
	for ; entriesLeft > 0 && c.err == nil; entriesLeft-- {
		endpoint, err := c.endpoint(e)
		if err != nil {
			return nil, err
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, nil
}

func (c *cursor) endpoint(e epoch) (dispatch.Endpoint, error) {
	var decoded dispatch.Endpoint
	decoded.Worker = c.worker()
	decoded.Zone = int(c.u8())
	decoded.Kind = int(c.u8())
	decoded.Cell = int(c.u16())
	state, known := endpointStateByCode[c.u8()]
	if !known && c.err == nil {
		return dispatch.Endpoint{}, errors.New("unknown state of a worker")
	}
	decoded.State = state
	c.f32() // rating
	if startedAt := c.f64(); startedAt != startedBeforeRun {
		decoded.StartKnown = true
		decoded.StartedAt = e.since(startedAt)
		decoded.Incarnation = incarnation(decoded.Worker, startedAt)
	}
	return decoded, nil
}

// incarnation returns an identifier of a start of a worker: a hash of its address and start time.
func incarnation(worker dispatch.WorkerID, startedAt float64) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, worker, startedAt)
	return h.Sum64()
}
