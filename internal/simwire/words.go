package simwire

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// Codes of the events and the actions on the wire.
const (
	evUp, evDirectory, evInbound, evBegun, evCompleted, evWithdrawn = 1, 2, 3, 4, 5, 6
	evTickDue, evHealth, evPeer, evPowerOff, evHeartbeat            = 7, 8, 9, 10, 11
	actForward, actNotNow, actDropRequest, actCallOff, actAfter     = 1, 2, 3, 4, 5
	actHealthCheck, actMemoTo, actJournalLine, actBroken, actFollow = 6, 8, 9, 10, 11
	everyPeer                                                       = 0xffff
	statusOK                                                        = 100
	hintValid                                                       = 1
)

// Up starts an instance; the listing that it holds in its cache follows in the same batch.
type Up struct {
	Seed       uint64
	Deployment dispatch.Config
	Dialect    Dialect
}

// Dialect is how records of one instance are to be read: from which reading of the clock its time counts, and
// what the values of a load report mean.
type Dialect struct {
	Base   Base
	Report settings.Report
}

// PowerOff ends an instance at once, with all that it held.
type PowerOff struct{}

// Base maps the clock of the wire, which begins anywhere, to spans since an instance's start and back.
type Base float64

// Since gives the span between the instance's start and a reading of the clock.
func (b Base) Since(clock float64) time.Duration { return settings.Duration(clock - float64(b)) }

// Reader walks over the records of one batch.
type Reader struct {
	cur   cursor
	left  int
	clock Base
}

// Open begins reading a batch.
func Open(b Batch) *Reader { return &Reader{cursor{rest: b.Body}, b.Records, Base(b.Clock)} }

// Next gives the scheduler and the event of the next record, and false at the end of the batch. A record without
// meaning for the decisions comes as nil.
func (r *Reader) Next(dialect func(scheduler uint32) Dialect) (uint32, any, bool, error) {
	if r.left == 0 {
		if n := len(r.cur.rest); n > 0 {
			return 0, nil, false, fmt.Errorf("%d bytes are left over after the last record", n)
		}
		return 0, nil, false, nil
	}
	r.left--
	code, scheduler := r.cur.u8(), r.cur.u32()
	event, err := r.event(code, dialect(scheduler))
	if r.cur.err != nil {
		err = r.cur.err
	}
	if err != nil {
		return 0, nil, false, fmt.Errorf("event code %d: %w", code, err)
	}
	return scheduler, event, true, nil
}

func (r *Reader) event(code uint8, d Dialect) (any, error) {
	c := &r.cur
	switch code {
	case evUp:
		seed := c.u64()
		text := c.take(int(c.u32()))
		if c.err != nil {
			return nil, c.err
		}
		site, err := settings.ParseDeployment(text)
		return Up{seed, site.Dispatch, Dialect{r.clock, site.Report}}, err
	case evDirectory:
		c.u64()
		return r.listing(d.Base)
	case evInbound:
		a := dispatch.Arrival{Invocation: dispatch.InvocationID(c.u64()), Operation: int(c.u16()), Tenant: int(c.u16())}
		c.u64()
		a.Budget, a.Hint = settings.Duration(c.f64()), c.f64()
		a.Slots = c.f32()
		c.f32()
		if c.u16()&hintValid == 0 {
			a.Hint = 0
		}
		return a, nil
	case evBegun:
		s := dispatch.ResponseStarted{Invocation: dispatch.InvocationID(c.u64())}
		c.take(14)
		s.Attempt = int(c.u8())
		return s, nil
	case evHeartbeat:
		s := dispatch.AttemptProgress{Invocation: dispatch.InvocationID(c.u64()), Attempt: int(c.u8())}
		s.Worker = c.worker()
		s.Started = c.u8() == 1
		s.Done = c.f32()
		return s, nil
	case evCompleted:
		o := dispatch.Outcome{Invocation: dispatch.InvocationID(c.u64()), Attempt: int(c.u8())}
		status := c.u16()
		c.f64()
		c.u8()
		o.Answered = c.u8() != 0
		o.Worker = c.worker()
		o.Load = c.load(d.Report)
		var err error
		o.Result, err = c.result(status)
		return o, err
	case evWithdrawn:
		return dispatch.ClientDisconnected{Invocation: dispatch.InvocationID(c.u64())}, nil
	case evTickDue:
		c.u64()
		return dispatch.TimerFired{}, nil
	case evHealth:
		a := dispatch.HealthCheckResult{Worker: c.worker()}
		status := c.u16()
		a.Latency, a.Load = settings.Duration(c.f64()), c.load(d.Report)
		var err error
		a.Result, err = c.result(status)
		return a, err
	case evPeer:
		from := int(c.u16())
		notes, ok := dispatch.DecodeGossip(c.take(int(c.u16())))
		if !ok {
			return nil, nil
		}
		return dispatch.GossipReceived{From: from, Entries: notes}, nil
	case evPowerOff:
		return PowerOff{}, nil
	}
	return nil, fmt.Errorf("unknown event code")
}

var results = map[uint16]dispatch.Result{
	statusOK: dispatch.Succeeded, 301: dispatch.Failed, 302: dispatch.Rejected, 303: dispatch.TimedOut,
	304: dispatch.Unreachable, 305: dispatch.ConnectionBroken, 306: dispatch.Cancelled, 307: dispatch.NotSent,
}

var forms = map[uint8]dispatch.UpdateKind{
	0: dispatch.WatchFailed, 1: dispatch.FullUpdate, 3: dispatch.DeltaUpdate, 4: dispatch.FullUpdate,
}

var standings = map[uint8]dispatch.EndpointState{0: dispatch.Gone, 1: dispatch.Ready, 2: dispatch.Draining}

func (r *Reader) listing(base Base) (any, error) {
	c := &r.cur
	form, known := forms[c.u8()]
	if !known && c.err == nil {
		return nil, fmt.Errorf("unknown form of list")
	}
	n := int(c.u32())
	if c.err == nil && n > len(c.rest)/23 {
		return nil, fmt.Errorf("list of %d entries does not fit in %d bytes", n, len(c.rest))
	}
	list := dispatch.EndpointUpdate{Kind: form, Endpoints: make([]dispatch.Endpoint, 0, n)}
	for ; n > 0 && c.err == nil; n-- {
		e := dispatch.Endpoint{Worker: c.worker(), Zone: int(c.u8()), Kind: int(c.u8()), Cell: int(c.u16())}
		if e.State, known = standings[c.u8()]; !known && c.err == nil {
			return nil, fmt.Errorf("unknown state of a worker")
		}
		c.f32()
		if readyAt := c.f64(); readyAt != 0 {
			e.StartKnown, e.StartedAt = true, base.Since(readyAt)
			h := fnv.New64a()
			fmt.Fprint(h, e.Worker, readyAt)
			e.Incarnation = h.Sum64()
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, nil
}

func (c *cursor) result(status uint16) (dispatch.Result, error) {
	result, known := results[status]
	if !known && c.err == nil {
		return 0, fmt.Errorf("unknown status %d", status)
	}
	return result, nil
}

func (c *cursor) worker() dispatch.WorkerID {
	b := c.take(6)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.LittleEndian.Uint16(b[4:]))
}

func (c *cursor) load(report settings.Report) *dispatch.LoadReport {
	n := int(c.u8())
	if n == 0 {
		return nil
	}
	load := dispatch.UnknownLoad
	for i := range n {
		v := c.f32()
		if field := report.Field(&load, i); field != nil {
			*field = v
		}
	}
	return &load
}

// Action packs one action of a scheduler.
func (r *Reply) Action(scheduler uint32, base Base, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		r.record(actForward, scheduler)
		r.u64(uint64(a.Invocation))
		r.f64(0)
		r.worker(a.Worker)
	case dispatch.Throttle:
		r.record(actNotNow, scheduler)
		r.u64(uint64(a.Invocation))
		r.f64(a.RetryAfter.Seconds())
	case dispatch.Fail:
		r.record(actDropRequest, scheduler)
		r.u64(uint64(a.Invocation))
	case dispatch.Cancel:
		r.record(actCallOff, scheduler)
		r.u64(uint64(a.Invocation))
		r.body = append(r.body, uint8(a.Attempt))
	case dispatch.HealthCheck:
		r.record(actHealthCheck, scheduler)
		r.worker(a.Worker)
	case dispatch.SetTimer:
		r.record(actAfter, scheduler)
		r.f64(float64(base) + a.At.Seconds())
		r.u64(0) // one wake-up is like another
	case dispatch.WatchEndpoints:
		r.record(actFollow, scheduler)
		r.body = append(r.body, 1)
	case dispatch.SendGossip:
		for _, memo := range dispatch.EncodeGossip(a.Entries) {
			r.record(actMemoTo, scheduler)
			to := uint16(everyPeer)
			if a.To >= 0 {
				to = uint16(a.To)
			}
			r.body = binary.LittleEndian.AppendUint16(r.body, to)
			r.text(string(memo))
		}
	case dispatch.Log:
		r.record(actJournalLine, scheduler)
		r.text(a.String())
	default:
		panic(fmt.Sprintf("no word on the wire for %T", action))
	}
}

// Broken reports that the decision code has failed.
func (r *Reply) Broken(scheduler uint32, text string) {
	r.record(actBroken, scheduler)
	r.text(text)
}

func (r *Reply) worker(id dispatch.WorkerID) {
	addr := id.Addr().As4()
	r.body = append(r.body, addr[:]...)
	r.body = binary.LittleEndian.AppendUint16(r.body, id.Port())
}
