package simwire

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"time"

	"stoatweir/dispatch"
)

// Codes of the events and the actions on the wire.
const (
	evUp, evDirectory, evInbound, evBegun, evCompleted, evWithdrawn = 1, 2, 3, 4, 5, 6
	evTickDue, evHealth, evPeer, evPowerOff, evHeartbeat            = 7, 8, 9, 10, 11
	actForward, actNotNow, actDropRequest, actCallOff, actAfter     = 1, 2, 3, 4, 5
	actHealthCheck, actJournalLine, actBroken, actFollow            = 6, 9, 10, 11
	statusOK                                                        = 100
	hintValid                                                       = 1
)

// Up starts an instance; the listing that it holds in its cache follows in the same batch.
type Up struct {
	Seed       uint64
	Deployment dispatch.Deployment
	Dialect    Dialect
}

// Dialect is how records of one instance are to be read: from which reading of the clock its time counts, and
// what the values of a load report mean.
type Dialect struct {
	Base   Base
	Report []string
}

// PowerOff ends an instance at once, with all that it held.
type PowerOff struct{}

// Base maps the clock of the wire, which begins anywhere, to spans since an instance's start and back.
type Base float64

// Since gives the span between the instance's start and a reading of the clock.
func (b Base) Since(clock float64) time.Duration { return span(clock - float64(b)) }

// span turns seconds into a duration, held inside what one can carry.
func span(seconds float64) time.Duration {
	const most = float64(math.MaxInt64 / 4)
	if math.IsNaN(seconds) {
		return 0
	}
	return time.Duration(math.Round(max(-most, min(most, seconds*float64(time.Second)))))
}

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
		deployment, report, err := ParseInfo(text)
		return Up{seed, deployment, Dialect{r.clock, report}}, err
	case evDirectory:
		c.u64()
		return r.listing(d.Base)
	case evInbound:
		a := dispatch.Arrival{Inv: dispatch.InvID(c.u64()), Operation: int(c.u16()), Tenant: int(c.u16())}
		c.u64()
		a.Budget, a.Hint = span(c.f64()), c.f64()
		a.Slots, a.Memory = c.f32(), c.f32()
		if c.u16()&hintValid == 0 {
			a.Hint = 0
		}
		return a, nil
	case evBegun:
		s := dispatch.Streaming{Inv: dispatch.InvID(c.u64())}
		c.take(14)
		s.Forward = int(c.u8())
		return s, nil
	case evHeartbeat:
		s := dispatch.Sign{Inv: dispatch.InvID(c.u64()), Forward: int(c.u8())}
		s.Worker = c.worker()
		s.Started = c.u8() == 1
		s.Done = c.f32()
		return s, nil
	case evCompleted:
		o := dispatch.Outcome{Inv: dispatch.InvID(c.u64()), Forward: int(c.u8())}
		status := c.u16()
		c.f64()
		c.u8()
		o.Closed = c.u8() != 0
		o.Worker = c.worker()
		o.Load = c.load(d.Report)
		var err error
		o.Result, err = c.result(status)
		return o, err
	case evWithdrawn:
		return dispatch.Withdrawn{Inv: dispatch.InvID(c.u64())}, nil
	case evTickDue:
		c.u64()
		return dispatch.Due{}, nil
	case evHealth:
		a := dispatch.Answer{Worker: c.worker()}
		status := c.u16()
		a.Took, a.Load = span(c.f64()), c.load(d.Report)
		var err error
		a.Result, err = c.result(status)
		return a, err
	case evPeer:
		c.u16()
		c.take(int(c.u16()))
		return nil, nil
	case evPowerOff:
		return PowerOff{}, nil
	}
	return nil, fmt.Errorf("unknown event code")
}

var results = map[uint16]dispatch.Result{
	statusOK: dispatch.Succeeded, 301: dispatch.Failed, 302: dispatch.Full, 303: dispatch.TimedOut,
	304: dispatch.Unreachable, 305: dispatch.Broken, 306: dispatch.Cancelled, 307: dispatch.NotSent,
}

var forms = map[uint8]dispatch.Form{
	0: dispatch.ListFailed, 1: dispatch.ListWhole, 3: dispatch.ListDelta, 4: dispatch.ListWhole,
}

var standings = map[uint8]dispatch.Standing{0: dispatch.Gone, 1: dispatch.Ready, 2: dispatch.Draining}

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
	list := dispatch.Listing{Form: form, Entries: make([]dispatch.Entry, 0, n)}
	for ; n > 0 && c.err == nil; n-- {
		e := dispatch.Entry{Worker: c.worker(), Zone: int(c.u8()), Kind: int(c.u8()), Cell: int(c.u16())}
		if e.Standing, known = standings[c.u8()]; !known && c.err == nil {
			return nil, fmt.Errorf("unknown state of a worker")
		}
		c.f32()
		if readyAt := c.f64(); readyAt != 0 {
			e.Restarted, e.StartedAt = true, base.Since(readyAt)
		}
		list.Entries = append(list.Entries, e)
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

func (c *cursor) load(names []string) *dispatch.Load {
	n := int(c.u8())
	if n == 0 {
		return nil
	}
	load, unknown := dispatch.NoLoad, 0.0
	for i := range n {
		field := &unknown
		if i < len(names) {
			field = loadField(&load, names[i], &unknown)
		}
		*field = c.f32()
	}
	return &load
}

func loadField(load *dispatch.Load, name string, unknown *float64) *float64 {
	switch name {
	case "free slots":
		return &load.FreeSlots
	case "free memory":
		return &load.FreeMemory
	case "waiting":
		return &load.Waiting
	case "active":
		return &load.InHand
	case "cpu":
		return &load.Busy
	case "avg_ms":
		return &load.ServiceTime
	case "rps":
		return &load.Rate
	case "err_rps":
		return &load.Errors
	}
	return unknown
}

// Action packs one action of a scheduler.
func (r *Reply) Action(scheduler uint32, base Base, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		r.record(actForward, scheduler)
		r.u64(uint64(a.Inv))
		r.f64(0)
		r.worker(a.Worker)
	case dispatch.Throttled:
		r.record(actNotNow, scheduler)
		r.u64(uint64(a.Inv))
		r.f64(a.After.Seconds())
	case dispatch.Errored:
		r.record(actDropRequest, scheduler)
		r.u64(uint64(a.Inv))
	case dispatch.Cancel:
		r.record(actCallOff, scheduler)
		r.u64(uint64(a.Inv))
		r.body = append(r.body, uint8(a.Forward))
	case dispatch.Probe:
		r.record(actHealthCheck, scheduler)
		r.worker(a.Worker)
	case dispatch.Wake:
		r.record(actAfter, scheduler)
		r.f64(float64(base) + a.At.Seconds())
		r.u64(0) // one wake-up is like another
	case dispatch.Follow:
		r.record(actFollow, scheduler)
		r.body = append(r.body, 1)
	case dispatch.Log:
		r.record(actJournalLine, scheduler)
		r.text(a.Text)
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

// info is the settings text of the wire, with the keys that have a meaning here.
type info struct {
	Discovery         string
	ExcessBilledValue *float64
	MyZone            int
	PeersTotal        int
	Operations        []struct {
		BilledValue, DedupWindow, LateBilledValue, LatencyObjective, AimStretch float64
		DedupScope, Effect                                                      string
	}
	FamilyInfo struct {
		ClassKind          []int
		ClassStretch       []float64
		Progress           float64
		ReportX0, ReportX1 string
		TellsStart         bool
	}
	Limits struct {
		Cancel, Probes, RetryAfter, SecondCopies bool
		MostForwards                             int
		MaxRetryAfter                            float64
	}
	Prices struct{ Probe float64 }
	Report struct {
		How   string
		Names []string
	}
	Rules struct {
		AskWithin, ColdFrom, Fall, FallMultiple, WarmAfter float64
	}
	Tenants []struct{ QuotaPerS, Fraction float64 }
}

var effects = map[string]dispatch.Effect{
	"read_like": dispatch.Idempotent, "idempotency_key": dispatch.Deduplicated,
	"non_idempotent": dispatch.NonIdempotent,
}

var scopes = map[string]dispatch.Scope{
	"": dispatch.ScopeAll, "all": dispatch.ScopeAll, "zone": dispatch.ScopeZone, "cell": dispatch.ScopeCell,
}

// ParseInfo reads the settings text and tells too what the values of a load report mean, in their order. Keys
// without a meaning here are passed over.
func ParseInfo(text []byte) (d dispatch.Deployment, report []string, err error) {
	var in info
	if err := json.Unmarshal(text, &in); err != nil {
		return d, nil, fmt.Errorf("settings: %w", err)
	}
	d = dispatch.Deployment{
		Peers: in.PeersTotal, Zone: in.MyZone, ExcessValue: 1, Pushed: in.Discovery == "push",
		TellsStart: in.FamilyInfo.TellsStart, Progress: span(in.FamilyInfo.Progress),
		ProbePrice: in.Prices.Probe,
		Allowed: dispatch.Allowances{
			Probes: in.Limits.Probes, Cancel: in.Limits.Cancel, MaxForwards: in.Limits.MostForwards, MaxOut: 1,
		},
		Rules: dispatch.Rules{
			AskWithin: span(in.Rules.AskWithin), ColdFrom: in.Rules.ColdFrom, WarmAfter: span(in.Rules.WarmAfter),
			FallMultiple: in.Rules.FallMultiple, Fall: span(in.Rules.Fall),
		},
	}
	if in.Limits.SecondCopies {
		d.Allowed.MaxOut = 2
	}
	if in.Limits.RetryAfter {
		d.Allowed.MaxRetryAfter = span(in.Limits.MaxRetryAfter)
	}
	if in.ExcessBilledValue != nil {
		d.ExcessValue = *in.ExcessBilledValue
	}
	for i, o := range in.Operations {
		op := dispatch.Operation{
			BilledValue: o.BilledValue, LateValue: o.LateBilledValue, LatencyObjective: span(o.LatencyObjective),
			Stretch: o.AimStretch, DedupWindow: span(o.DedupWindow),
			Kind: -1,
		}
		var known bool
		if op.Effect, known = effects[o.Effect]; !known {
			return d, nil, fmt.Errorf("settings: unknown effect %q", o.Effect)
		}
		if op.Scope, known = scopes[o.DedupScope]; !known {
			return d, nil, fmt.Errorf("settings: unknown scope %q", o.DedupScope)
		}
		if i < len(in.FamilyInfo.ClassKind) {
			op.Kind = in.FamilyInfo.ClassKind[i]
		}
		if i < len(in.FamilyInfo.ClassStretch) {
			op.Stretch = in.FamilyInfo.ClassStretch[i]
		}
		d.Operations = append(d.Operations, op)
	}
	for _, t := range in.Tenants {
		d.Tenants = append(d.Tenants, dispatch.Tenant{QuotaPerS: t.QuotaPerS, Share: t.Fraction})
	}
	if in.Report.How != "none" {
		meaning := map[string]string{"x0": in.FamilyInfo.ReportX0, "x1": in.FamilyInfo.ReportX1}
		for _, name := range in.Report.Names {
			report = append(report, cmp.Or(meaning[name], name))
		}
	}
	return d, report, nil
}
