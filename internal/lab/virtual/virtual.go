// Package virtual plays a day in virtual time: many schedulers in one process, and the clock jumps from one event to the
// next. The same scenario, seed and decider give the same day to the byte.
package virtual

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
	"stoatweir/internal/settings"
	"stoatweir/internal/simwire"
)

// Decider is one scheduler's decisions. *dispatch.Dispatcher is one.
type Decider = simwire.Decider

// Maker makes the decider of one scheduler, which is told what the settings say.
type Maker func(scheduler int, seed int64, text []byte) (Decider, error)

// Module is the decision module in this process.
func Module(_ int, seed int64, text []byte) (Decider, error) {
	site, err := settings.ParseDeployment(text)
	if err != nil {
		return nil, err
	}
	site.Dispatch.NotifiesAccepted = true
	return dispatch.New(site.Dispatch, seed), nil
}

const (
	probeWithin = 300 * time.Millisecond
	early       = 5 * time.Millisecond // before its client stops waiting a try counts as given up
	tail        = 3 * time.Second      // a day goes on for so long when the last time is over
	bodyTime    = 50 * time.Microsecond
)

// Day is one that is being played.
type Day struct {
	World *model.World
	Log   func(now time.Duration, scheduler int, text string) // what deciders log; may be nil
	Steps int                                                 // events that were worked off

	s          scenario.Scenario
	source     model.Source
	maker      Maker
	schedulers []*scheduler
	queue      eventqueue.Agenda[func()]
	now        time.Duration
	dirty      []*scheduler
	net        *rand.Rand
	last       time.Duration // the last deadline
	err        error
}

type scheduler struct {
	number, zone int
	decider      Decider
	up           bool
	life         int // how often it was started: what is on its way to an earlier one is lost
	noticed      time.Duration
	base, last   time.Duration
	events       []dispatch.Event
	isDirty      bool
	tries        map[int64]*try
	wakeAt       time.Duration
	rev          int
	watches      bool
	conns        map[int][]time.Duration // idle connections: since when
}

// try is one that a scheduler has in hand.
type try struct {
	job      *model.Job
	life     int
	answered bool
	forwards []*forward
}

type forward struct {
	*model.Attempt
	try     *try
	over    bool // its scheduler knows its end
	reached bool
}

// New makes a day.
func New(s scenario.Scenario, maker Maker) *Day {
	d := &Day{World: model.New(s), s: s, maker: maker,
		net: rand.New(rand.NewPCG(uint64(s.Seed), 0x6e6574))}
	w := d.World
	w.Fleet.Tell = d.tell
	w.List.Changed, w.List.Died = d.listChanged, d.listDied
	w.Kill, w.Revive = d.kill, d.revive
	return d
}

// Time is the day's.
func (d *Day) Time() time.Duration { return d.now }

// Play plays the day to its end. A nil source stands for the scenario's own load.
func (d *Day) Play(ctx context.Context, source model.Source) error {
	if d.s.Hosted.Room > 0 {
		return errors.New("hosted.room: tenants are hosted on loopback alone, by real programs")
	}
	if d.source = source; source == nil {
		d.source = d.World.Clients
	}
	for n := range d.s.Schedulers.Count {
		s := &scheduler{number: n, zone: d.s.Zone(n)}
		d.schedulers = append(d.schedulers, s)
		d.start(s)
	}
	d.decide() // a list that is there at the start is only what was cached
	d.arrive()
	for d.err == nil && ctx.Err() == nil {
		at := min(d.World.Next(), d.queue.Next(model.Never))
		if at == model.Never || at > max(d.s.Length.D(), d.last)+tail {
			break
		}
		d.now = max(d.now, at)
		d.World.Now(d.now)
		for d.queue.Due(d.now) {
			d.queue.Pop()()
			d.Steps++
		}
		d.decide()
	}
	if d.err == nil {
		d.err = ctx.Err()
	}
	d.World.Judge.Close(d.now + tail)
	return d.err
}

func (d *Day) at(when time.Duration, do func()) { d.queue.Put(max(when, d.now), do) }

func (d *Day) after(wait time.Duration, do func()) { d.at(d.now+wait, do) }

func (d *Day) jitter(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (1 + d.s.Network.Jitter*(2*d.net.Float64()-1)))
}

// way is how long a message takes between a scheduler and a machine.
func (d *Day) way(s *scheduler, machine int) time.Duration {
	if d.World.Fleet.Machines[machine].Zone == s.zone {
		return d.jitter(d.s.Network.SameZone.D())
	}
	return d.jitter(d.s.Network.CrossZone.D())
}

// id names a machine to schedulers, the same at all of them.
func (d *Day) id(machine int) dispatch.WorkerID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(machine >> 16), byte(machine >> 8), byte(machine)}), 9000)
}

func machineOf(id dispatch.WorkerID) int {
	b := id.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// start starts a scheduler: it knows the list as it was when it last had it.
func (d *Day) start(s *scheduler) {
	s.life++
	text := d.s.Settings(s.number)
	rng := rand.New(rand.NewPCG(uint64(d.s.Seed), uint64(s.number)<<20|uint64(s.life)))
	decider, err := d.maker(s.number, int64(rng.Uint64()>>1), text)
	if err != nil {
		d.err = fmt.Errorf("scheduler %d: %w", s.number, err)
		return
	}
	s.decider, s.up, s.base, s.last = decider, true, d.now, -1
	s.tries, s.conns, s.events, s.watches = map[int64]*try{}, map[int][]time.Duration{}, nil, false
	s.wakeAt = model.Never
	if s.life == 1 {
		s.rev = d.World.List.Rev()
	}
	d.event(s, d.listing(s, d.World.List.Whole(), dispatch.FullUpdate))
	d.event(s, dispatch.TimerFired{})
}

func (d *Day) event(s *scheduler, e dispatch.Event) {
	if s.events = append(s.events, e); !s.isDirty {
		s.isDirty = true
		d.dirty = append(d.dirty, s)
	}
}

// decide has each scheduler decide to which something has happened, until nothing more does at this moment.
func (d *Day) decide() {
	for len(d.dirty) > 0 {
		these := d.dirty
		d.dirty = nil
		for _, s := range these {
			s.isDirty = false
			events := s.events
			if s.events = nil; !s.up || len(events) == 0 {
				continue
			}
			s.last = max(d.now-s.base, s.last+1)
			for _, a := range s.decider.Handle(s.last, events) {
				d.carryOut(s, a)
			}
			for _, e := range events {
				if inv, _ := e.About(); inv != 0 {
					s.settle(int64(inv))
				}
			}
		}
	}
}

func (s *scheduler) settle(id int64) {
	t := s.tries[id]
	if t == nil || !t.answered {
		return
	}
	for _, f := range t.forwards {
		if !f.over {
			return
		}
	}
	delete(s.tries, id)
}

func (d *Day) carryOut(s *scheduler, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		d.forward(s, a)
	case dispatch.Throttle:
		d.answer(s, s.tries[int64(a.Invocation)], model.Throttled, a.RetryAfter)
	case dispatch.Fail:
		d.answer(s, s.tries[int64(a.Invocation)], model.Errored, 0)
	case dispatch.Cancel:
		if t := s.tries[int64(a.Invocation)]; t != nil && a.Attempt < len(t.forwards) {
			d.cancel(s, t.forwards[a.Attempt])
		}
	case dispatch.HealthCheck:
		d.probe(s, a.Worker)
	case dispatch.SetTimer:
		d.wake(s, a.At+s.base)
	case dispatch.WatchEndpoints:
		d.follow(s)
	case dispatch.Log:
		if d.Log != nil {
			d.Log(d.now, s.number, a.String())
		}
	}
}

func (d *Day) wake(s *scheduler, at time.Duration) {
	if s.wakeAt == at && at > d.now {
		return
	}
	s.wakeAt = at
	life := s.life
	d.at(at, func() {
		if s.life == life && s.wakeAt == at {
			s.wakeAt = model.Never
			d.event(s, dispatch.TimerFired{})
		}
	})
}

// arrive takes the next invocation from the source, at its time.
func (d *Day) arrive() {
	j, more := d.source.Next()
	if !more {
		return
	}
	d.at(j.At, func() {
		d.last = max(d.last, j.Deadline)
		d.World.Tally.Offered(&j)
		d.handIn(&j)
		d.arrive()
	})
}

// handIn has a client send a try to a scheduler of its zone, or of another where there is none.
func (d *Day) handIn(j *model.Job) {
	d.World.Tally.Tries++
	s := d.front(j)
	if s == nil || !s.up {
		d.replied(j, model.NoneThere, 0)
		return
	}
	life := s.life
	if j.Leaves > d.now {
		d.at(j.Leaves, func() { d.leave(s, life, j) })
	}
	d.after(d.jitter(d.s.Network.Client.D()), func() {
		if s.life != life || !s.up {
			d.replied(j, model.Unanswered, 0)
			return
		}
		d.World.Judge.Offered(d.now, s.number, j)
		t := &try{job: j, life: life}
		s.tries[j.ID] = t
		d.event(s, dispatch.Arrival{Invocation: dispatch.InvocationID(j.ID), Operation: j.Op, Tenant: j.Tenant,
			Budget: j.Deadline - d.now - early, Hint: j.Hint, Slots: float64(j.Slots)})
		d.at(j.Deadline-early, func() { d.overdue(s, t) })
		d.at(j.Deadline+d.s.Rules.AnswerSlack.D(), func() { d.replied(j, model.Unanswered, 0) })
	})
}

// front deals tries out among the schedulers of a zone. It goes on dealing to one that has died until that is noticed.
func (d *Day) front(j *model.Job) *scheduler {
	n := d.World.Clients.Front(j, func(n int) bool { return !d.schedulers[n].up && d.now >= d.schedulers[n].noticed })
	if n < 0 {
		return nil
	}
	return d.schedulers[n]
}

// overdue: the client stops waiting; what is out is given up.
func (d *Day) overdue(s *scheduler, t *try) {
	if s.life != t.life || !s.up {
		return
	}
	for _, f := range t.forwards {
		d.outcome(s, f, dispatch.TimedOut, nil, "given up at the client timeout")
	}
	s.settle(t.job.ID)
}

func (d *Day) leave(s *scheduler, life int, j *model.Job) {
	d.World.Judge.Left(d.now, j)
	d.replied(j, model.Left, 0)
	if t := s.tries[j.ID]; t != nil && s.life == life && s.up && !t.answered {
		t.answered = true
		d.event(s, dispatch.ClientDisconnected{Invocation: dispatch.InvocationID(j.ID)})
	}
}

// answer is the final answer of a scheduler.
func (d *Day) answer(s *scheduler, t *try, how model.Reply, advice time.Duration) {
	if t == nil {
		return // it has left, or has its answer: the module may not know yet
	}
	if t.answered {
		if how != model.Succeeded {
			d.World.Judge.Answered(d.now, s.number, t.job, how)
		}
		return
	}
	t.answered = true
	d.World.Judge.Answered(d.now, s.number, t.job, how)
	d.after(d.jitter(d.s.Network.Client.D()), func() { d.replied(t.job, how, advice) })
	s.settle(t.job.ID)
}

// replied: a client has the end of a try, and may try again.
func (d *Day) replied(j *model.Job, how model.Reply, advice time.Duration) {
	if !d.World.Clients.First(j) {
		return
	}
	if next, again := d.World.Clients.Again(d.now, j, how, advice); again {
		d.at(next.At, func() { d.handIn(&next) })
		return
	}
	d.World.Tally.Ended(d.now, j, how)
}

// forward sends an attempt.
func (d *Day) forward(s *scheduler, a dispatch.Forward) {
	t := s.tries[int64(a.Invocation)]
	machine := machineOf(a.Worker)
	if t == nil || machine >= len(d.World.Fleet.Machines) {
		return
	}
	f := &forward{try: t, Attempt: &model.Attempt{Scheduler: s.number, Job: t.job, Forward: len(t.forwards), Machine: machine}}
	t.forwards = append(t.forwards, f)
	if t.answered {
		d.outcome(s, f, dispatch.NotSent, nil, "not sent")
		return
	}
	d.connect(s, machine, func(kept bool) {
		if f.over {
			return
		}
		d.World.Judge.Sent(d.now, s.number, t.job, f.Forward, machine)
		d.after(d.way(s, machine)+bodyTime, func() { d.reach(s, f, kept) })
	}, func() { d.outcome(s, f, dispatch.Unreachable, nil, "could not connect") })
}

// connect finds a connection to a machine: an idle one, or a new one, which takes a way there and back.
func (d *Day) connect(s *scheduler, machine int, up func(kept bool), failed func()) {
	life := s.life
	idle := s.conns[machine]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		if idle = idle[:len(idle)-1]; d.now-since < d.s.Network.Idle.D()*6/10 {
			s.conns[machine] = idle
			up(true)
			return
		}
	}
	s.conns[machine] = idle
	d.World.Tally.Connections++
	d.after(2*d.way(s, machine), func() {
		if s.life != life {
			return
		}
		switch d.World.Fleet.Connect(machine) {
		case model.Taken:
			up(false)
		case model.NoConnection:
			failed()
		default:
			d.after(d.s.Network.ConnectTimeout.D(), func() {
				if s.life == life {
					failed()
				}
			})
		}
	})
}

// reach: an attempt has come to its machine.
func (d *Day) reach(s *scheduler, f *forward, kept bool) {
	f.reached = true
	verdict := d.World.Fleet.Take(d.now, f.Attempt)
	if verdict == model.NoWord {
		return
	}
	d.after(d.way(s, f.Machine), func() {
		if s.life != f.try.life || !s.up {
			return
		}
		switch verdict {
		case model.Taken:
			d.free(s, f.Machine)
			if !f.over {
				d.event(s, dispatch.AttemptProgress{Invocation: dispatch.InvocationID(f.Job.ID), Worker: d.id(f.Machine), Attempt: f.Forward, Accepted: true})
			}
		case model.TurnedAway:
			d.free(s, f.Machine)
			d.outcome(s, f, dispatch.Rejected, nil, "turned away")
		case model.Fails:
			d.free(s, f.Machine)
			d.outcome(s, f, dispatch.Failed, nil, "failed at once")
		case model.Breaks:
			d.outcome(s, f, dispatch.ConnectionBroken, nil, "the connection broke")
		case model.NoConnection:
			if kept { // it had gone, and the connection with it
				d.outcome(s, f, dispatch.ReusedConnectionBroken, nil, "a kept connection broke")
			} else {
				d.outcome(s, f, dispatch.Unreachable, nil, "could not connect")
			}
		}
	})
}

func (d *Day) free(s *scheduler, machine int) { s.conns[machine] = append(s.conns[machine], d.now) }

// unrun are the ends that prove that nothing has run.
func unrun(r dispatch.Result) bool {
	return r == dispatch.Rejected || r == dispatch.Unreachable || r == dispatch.NotSent
}

// outcome ends an attempt for its scheduler, once.
func (d *Day) outcome(s *scheduler, f *forward, r dispatch.Result, load *dispatch.LoadReport, why string) {
	if f.over || s.life != f.try.life || !s.up {
		return
	}
	f.over = true
	d.World.Judge.Ended(d.now, f.Job, f.Forward, unrun(r), why)
	d.event(s, dispatch.Outcome{Invocation: dispatch.InvocationID(f.Job.ID), Worker: d.id(f.Machine), Attempt: f.Forward, Result: r,
		Answered: f.try.answered, Load: load})
}

func (d *Day) cancel(s *scheduler, f *forward) {
	if f.over {
		return
	}
	d.outcome(s, f, dispatch.Cancelled, nil, "called off")
	if d.s.Allow.Cancel {
		d.after(d.way(s, f.Machine)+bodyTime, func() { d.World.Fleet.Cancel(d.now, f.Attempt) })
	}
}

// tell brings to a scheduler what a machine calls back.
func (d *Day) tell(now time.Duration, a *model.Attempt, sign model.Sign, share float64) {
	s := d.schedulers[a.Scheduler]
	t := s.tries[a.Job.ID]
	if t == nil || a.Forward >= len(t.forwards) || t.forwards[a.Forward].Attempt != a {
		return // of an earlier life, or nobody waits for it
	}
	f := t.forwards[a.Forward]
	d.at(max(now, d.now)+d.way(s, a.Machine), func() {
		if f.over || s.life != t.life || !s.up {
			return
		}
		note := dispatch.AttemptProgress{Invocation: dispatch.InvocationID(a.Job.ID), Worker: d.id(a.Machine), Attempt: a.Forward, Done: share}
		switch sign {
		case model.Started:
			note.Started = true
			d.event(s, note)
		case model.Progress:
			d.event(s, note)
		case model.Done:
			if !t.answered {
				d.answer(s, t, model.Succeeded, 0)
			}
			d.outcome(s, f, dispatch.Succeeded, nil, "done")
		case model.Failed:
			d.outcome(s, f, dispatch.Failed, nil, "failed")
		case model.Returned:
			d.outcome(s, f, dispatch.Rejected, nil, "returned unstarted")
		case model.Lost:
			d.outcome(s, f, dispatch.ConnectionBroken, nil, "lost with its process")
		}
	})
}

// probe asks a machine for its load.
func (d *Day) probe(s *scheduler, id dispatch.WorkerID) {
	machine, asked, life, over := machineOf(id), d.now, s.life, false
	if machine >= len(d.World.Fleet.Machines) {
		return
	}
	d.World.Tally.Probes++
	answer := func(r dispatch.Result, load *dispatch.LoadReport) {
		if over || s.life != life || !s.up {
			return
		}
		over = true
		d.event(s, dispatch.HealthCheckResult{Worker: id, Result: r, Latency: d.now - asked, Load: load})
	}
	d.connect(s, machine, func(bool) {
		d.after(d.way(s, machine), func() {
			report, verdict := d.World.Fleet.Probe(d.now, machine)
			if verdict == model.NoWord {
				return
			}
			d.after(d.way(s, machine), func() {
				if verdict == model.NoConnection {
					answer(dispatch.Unreachable, nil)
					return
				}
				if !over && s.life == life {
					d.free(s, machine)
				}
				answer(dispatch.Succeeded, d.load(report))
			})
		})
	}, func() { answer(dispatch.Unreachable, nil) })
	d.after(probeWithin, func() {
		if !over {
			s.conns[machine] = nil
			answer(dispatch.TimedOut, nil)
		}
	})
}

func (d *Day) load(r *model.Report) *dispatch.LoadReport {
	if r == nil {
		return nil
	}
	load := dispatch.UnknownLoad
	for _, name := range d.s.Reports.Fields {
		switch name {
		case "free_slots":
			load.FreeSlots = r.FreeSlots
		case "waiting":
			load.Queued = r.Waiting
		case "active":
			load.InFlight = r.Active
		case "service_ms":
			load.ServiceTime = r.ServiceMs
		}
	}
	return &load
}

// follow is a call to the list that becomes a watch.
func (d *Day) follow(s *scheduler) {
	life := s.life
	s.watches = false
	at, answered := d.World.List.Call(d.now + d.jitter(d.s.Network.SameZone.D()))
	d.at(at+d.jitter(d.s.Network.SameZone.D()), func() {
		if s.life != life || !s.up {
			return
		}
		if !answered || d.World.List.Dead() {
			d.event(s, dispatch.EndpointUpdate{Kind: dispatch.WatchFailed})
			return
		}
		s.watches = true
		d.bring(s)
	})
}

// bring tells a scheduler what has changed since it was last told.
func (d *Day) bring(s *scheduler) {
	entries := d.World.List.Since(s.rev)
	s.rev = d.World.List.Rev()
	d.event(s, d.listing(s, entries, dispatch.DeltaUpdate))
}

func (d *Day) listChanged(now time.Duration, _ int) {
	for _, s := range d.schedulers {
		if !s.up || !s.watches {
			continue
		}
		life := s.life
		d.at(now+d.jitter(d.s.Network.SameZone.D()), func() {
			if s.life == life && s.up && s.watches && s.rev < d.World.List.Rev() {
				d.bring(s)
			}
		})
	}
}

func (d *Day) listDied(now time.Duration) {
	for _, s := range d.schedulers {
		if !s.up || !s.watches {
			continue
		}
		s.watches = false
		life := s.life
		d.at(now, func() {
			if s.life == life {
				d.event(s, dispatch.EndpointUpdate{Kind: dispatch.WatchFailed})
			}
		})
	}
}

// listing is what the module is told of entries, whose times count from its start.
func (d *Day) listing(s *scheduler, entries []model.Entry, form dispatch.UpdateKind) dispatch.EndpointUpdate {
	l := dispatch.EndpointUpdate{Kind: form}
	for _, e := range entries {
		m := d.World.Fleet.Machines[e.Machine]
		w := dispatch.Endpoint{Worker: d.id(e.Machine), Zone: m.Zone, Kind: m.Kind, Cell: m.Zone, State: dispatch.EndpointState(e.Standing)}
		if e.StartedAt >= 0 {
			w.StartKnown, w.StartedAt = true, e.StartedAt-s.base
			h := fnv.New64a()
			fmt.Fprint(h, m.UID, e.StartedAt)
			w.Incarnation = h.Sum64()
		}
		d.World.Judge.Told(d.now, s.number, e.Machine, e.Standing)
		l.Endpoints = append(l.Endpoints, w)
	}
	return l
}

// kill ends a scheduler at once; its clients see their connections end.
func (d *Day) kill(now time.Duration, n int) {
	s := d.schedulers[n]
	if !s.up {
		return
	}
	s.up, s.noticed, s.watches = false, now+d.s.Schedulers.Notice.D(), false
	for _, id := range slices.Sorted(maps.Keys(s.tries)) {
		t := s.tries[id]
		if !t.answered {
			d.at(now, func() { d.replied(t.job, model.Unanswered, 0) })
		}
	}
	s.tries = map[int64]*try{}
}

func (d *Day) revive(now time.Duration, n int) {
	if s := d.schedulers[n]; !s.up {
		d.now = max(d.now, now)
		d.start(s)
	}
}
