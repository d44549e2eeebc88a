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
type DeciderFactory func(scheduler int, seed int64, text []byte) (Decider, error)

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
	healthCheckTimeout = 300 * time.Millisecond
	deadlineMargin     = 5 * time.Millisecond // before its client stops waiting a try counts as given up
	runOn              = 3 * time.Second      // a day goes on for so long when the last time is over
	bodyTime           = 50 * time.Microsecond
)

// Day is one that is being played.
type Day struct {
	World *model.Model
	Log   func(now time.Duration, scheduler int, text string) // what deciders log; may be nil
	Steps int                                                 // events that were worked off

	scenario     scenario.Scenario
	source       model.Source
	newDecider   DeciderFactory
	schedulers   []*scheduler
	queue        eventqueue.Queue[func()]
	now          time.Duration
	dirty        []*scheduler
	networkRand  *rand.Rand
	lastDeadline time.Duration // the last deadline
	err          error
}

type scheduler struct {
	number, zone           int
	decider                Decider
	up                     bool
	incarnation            int // how often it was started: what is on its way to an earlier one is lost
	failureKnownAt         time.Duration
	startedAt, lastHandled time.Duration
	events                 []dispatch.Event
	isDirty                bool
	requests               map[int64]*request
	timerAt                time.Duration
	listVersion            int
	watching               bool
	idleConnections        map[int][]time.Duration // idle connections: since when
}

// try is one that a scheduler has in hand.
type request struct {
	request     *model.Request
	incarnation int
	answered    bool
	attempts    []*attempt
}

type attempt struct {
	*model.Attempt
	request *request
	over    bool // its scheduler knows its end
	reached bool
}

// New makes a day.
func New(s scenario.Scenario, maker DeciderFactory) *Day {
	d := &Day{World: model.New(s), scenario: s, newDecider: maker,
		networkRand: rand.New(rand.NewPCG(uint64(s.Seed), 0x6e6574))}
	w := d.World
	w.Fleet.OnCallback = d.callbackReceived
	w.Discovery.OnChange, w.Discovery.OnOutage = d.endpointsChanged, d.discoveryDown
	w.OnSchedulerKilled, w.OnSchedulerRestarted = d.killScheduler, d.restartScheduler
	return d
}

// Time is the day's.
func (d *Day) Time() time.Duration { return d.now }

// Play plays the day to its end. A nil source stands for the scenario's own load.
func (d *Day) Play(ctx context.Context, source model.Source) error {
	if d.scenario.Hosted.Capacity > 0 {
		return errors.New("hosted.room: tenants are hosted on loopback alone, by real programs")
	}
	if d.source = source; source == nil {
		d.source = d.World.Clients
	}
	for n := range d.scenario.Schedulers.Count {
		s := &scheduler{number: n, zone: d.scenario.Zone(n)}
		d.schedulers = append(d.schedulers, s)
		d.startScheduler(s)
	}
	d.decide() // a list that is there at the start is only what was cached
	d.scheduleArrival()
	for d.err == nil && ctx.Err() == nil {
		at := min(d.World.NextTime(), d.queue.NextTime(model.Never))
		if at == model.Never || at > max(d.scenario.Length.D(), d.lastDeadline)+runOn {
			break
		}
		d.now = max(d.now, at)
		d.World.AdvanceTo(d.now)
		for d.queue.Due(d.now) {
			d.queue.Pop()()
			d.Steps++
		}
		d.decide()
	}
	if d.err == nil {
		d.err = ctx.Err()
	}
	d.World.Rules.Close(d.now + runOn)
	return d.err
}

func (d *Day) schedule(when time.Duration, do func()) { d.queue.Push(max(when, d.now), do) }

func (d *Day) scheduleAfter(wait time.Duration, do func()) { d.schedule(d.now+wait, do) }

func (d *Day) jitter(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (1 + d.scenario.Network.Jitter*(2*d.networkRand.Float64()-1)))
}

// way is how long a message takes between a scheduler and a machine.
func (d *Day) latency(s *scheduler, machine int) time.Duration {
	if d.World.Fleet.Machines[machine].Zone == s.zone {
		return d.jitter(d.scenario.Network.SameZone.D())
	}
	return d.jitter(d.scenario.Network.CrossZone.D())
}

// id names a machine to schedulers, the same at all of them.
func (d *Day) workerID(machine int) dispatch.WorkerID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(machine >> 16), byte(machine >> 8), byte(machine)}), 9000)
}

func machineOf(id dispatch.WorkerID) int {
	b := id.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// start starts a scheduler: it knows the list as it was when it last had it.
func (d *Day) startScheduler(s *scheduler) {
	s.incarnation++
	text := d.scenario.Settings(s.number)
	rng := rand.New(rand.NewPCG(uint64(d.scenario.Seed), uint64(s.number)<<20|uint64(s.incarnation)))
	decider, err := d.newDecider(s.number, int64(rng.Uint64()>>1), text)
	if err != nil {
		d.err = fmt.Errorf("scheduler %d: %w", s.number, err)
		return
	}
	s.decider, s.up, s.startedAt, s.lastHandled = decider, true, d.now, -1
	s.requests, s.idleConnections, s.events, s.watching = map[int64]*request{}, map[int][]time.Duration{}, nil, false
	s.timerAt = model.Never
	if s.incarnation == 1 {
		s.listVersion = d.World.Discovery.Version()
	}
	d.addEvent(s, d.endpointUpdate(s, d.World.Discovery.Snapshot(), dispatch.FullUpdate))
	d.addEvent(s, dispatch.TimerFired{})
}

func (d *Day) addEvent(s *scheduler, e dispatch.Event) {
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
			s.lastHandled = max(d.now-s.startedAt, s.lastHandled+1)
			for _, a := range s.decider.Handle(s.lastHandled, events) {
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
	t := s.requests[id]
	if t == nil || !t.answered {
		return
	}
	for _, f := range t.attempts {
		if !f.over {
			return
		}
	}
	delete(s.requests, id)
}

func (d *Day) carryOut(s *scheduler, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		d.forward(s, a)
	case dispatch.Throttle:
		d.answer(s, s.requests[int64(a.Invocation)], model.Throttled, a.RetryAfter)
	case dispatch.Fail:
		d.answer(s, s.requests[int64(a.Invocation)], model.Errored, 0)
	case dispatch.Cancel:
		if t := s.requests[int64(a.Invocation)]; t != nil && a.Attempt < len(t.attempts) {
			d.cancel(s, t.attempts[a.Attempt])
		}
	case dispatch.HealthCheck:
		d.healthCheck(s, a.Worker)
	case dispatch.SetTimer:
		d.setTimer(s, a.At+s.startedAt)
	case dispatch.WatchEndpoints:
		d.watchEndpoints(s)
	case dispatch.Log:
		if d.Log != nil {
			d.Log(d.now, s.number, a.Text)
		}
	}
}

func (d *Day) setTimer(s *scheduler, at time.Duration) {
	if s.timerAt == at && at > d.now {
		return
	}
	s.timerAt = at
	life := s.incarnation
	d.schedule(at, func() {
		if s.incarnation == life && s.timerAt == at {
			s.timerAt = model.Never
			d.addEvent(s, dispatch.TimerFired{})
		}
	})
}

// arrive takes the next invocation from the source, at its time.
func (d *Day) scheduleArrival() {
	j, more := d.source.Next()
	if !more {
		return
	}
	d.schedule(j.At, func() {
		d.lastDeadline = max(d.lastDeadline, j.Deadline)
		d.World.Statistics.InvocationOffered(&j)
		d.sendRequest(&j)
		d.scheduleArrival()
	})
}

// handIn has a client send a try to a scheduler of its zone, or of another where there is none.
func (d *Day) sendRequest(j *model.Request) {
	d.World.Statistics.Requests++
	s := d.route(j)
	if s == nil || !s.up {
		d.clientReplied(j, model.NoScheduler, 0)
		return
	}
	life := s.incarnation
	if j.DisconnectAt > d.now {
		d.schedule(j.DisconnectAt, func() { d.disconnect(s, life, j) })
	}
	d.scheduleAfter(d.jitter(d.scenario.Network.Client.D()), func() {
		if s.incarnation != life || !s.up {
			d.clientReplied(j, model.Unanswered, 0)
			return
		}
		d.World.Rules.RequestReceived(d.now, s.number, j)
		t := &request{request: j, incarnation: life}
		s.requests[j.ID] = t
		d.addEvent(s, dispatch.Arrival{Invocation: dispatch.InvocationID(j.ID), Operation: j.Operation, Tenant: j.Tenant,
			Budget: j.Deadline - d.now - deadlineMargin, Hint: j.Hint, Slots: float64(j.Slots)})
		d.schedule(j.Deadline-deadlineMargin, func() { d.timeOut(s, t) })
		d.schedule(j.Deadline+d.scenario.Rules.AnswerSlack.D(), func() { d.clientReplied(j, model.Unanswered, 0) })
	})
}

// front deals tries out among the schedulers of a zone. It goes on dealing to one that has died until that is noticed.
func (d *Day) route(j *model.Request) *scheduler {
	n := d.World.Clients.Route(j, func(n int) bool { return !d.schedulers[n].up && d.now >= d.schedulers[n].failureKnownAt })
	if n < 0 {
		return nil
	}
	return d.schedulers[n]
}

// overdue: the client stops waiting; what is out is given up.
func (d *Day) timeOut(s *scheduler, t *request) {
	if s.incarnation != t.incarnation || !s.up {
		return
	}
	for _, f := range t.attempts {
		d.endAttempt(s, f, dispatch.TimedOut, nil, "given up at the client timeout")
	}
	s.settle(t.request.ID)
}

func (d *Day) disconnect(s *scheduler, life int, j *model.Request) {
	d.World.Rules.ClientDisconnected(d.now, j)
	d.clientReplied(j, model.Disconnected, 0)
	if t := s.requests[j.ID]; t != nil && s.incarnation == life && s.up && !t.answered {
		t.answered = true
		d.addEvent(s, dispatch.ClientDisconnected{Invocation: dispatch.InvocationID(j.ID)})
	}
}

// answer is the final answer of a scheduler.
func (d *Day) answer(s *scheduler, t *request, how model.Reply, advice time.Duration) {
	if t == nil {
		return // it has left, or has its answer: the module may not know yet
	}
	if t.answered {
		if how != model.Succeeded {
			d.World.Rules.RequestAnswered(d.now, s.number, t.request, how)
		}
		return
	}
	t.answered = true
	d.World.Rules.RequestAnswered(d.now, s.number, t.request, how)
	d.scheduleAfter(d.jitter(d.scenario.Network.Client.D()), func() { d.clientReplied(t.request, how, advice) })
	s.settle(t.request.ID)
}

// replied: a client has the end of a try, and may try again.
func (d *Day) clientReplied(j *model.Request, how model.Reply, advice time.Duration) {
	if !d.World.Clients.FirstReply(j) {
		return
	}
	if next, again := d.World.Clients.Retry(d.now, j, how, advice); again {
		d.schedule(next.At, func() { d.sendRequest(&next) })
		return
	}
	d.World.Statistics.InvocationEnded(d.now, j, how)
}

// forward sends an attempt.
func (d *Day) forward(s *scheduler, a dispatch.Forward) {
	t := s.requests[int64(a.Invocation)]
	machine := machineOf(a.Worker)
	if t == nil || machine >= len(d.World.Fleet.Machines) {
		return
	}
	f := &attempt{request: t, Attempt: &model.Attempt{Scheduler: s.number, Request: t.request, Number: len(t.attempts), Machine: machine}}
	t.attempts = append(t.attempts, f)
	if t.answered {
		d.endAttempt(s, f, dispatch.NotSent, nil, "not sent")
		return
	}
	d.connect(s, machine, func(kept bool) {
		if f.over {
			return
		}
		d.World.Rules.AttemptSent(d.now, s.number, t.request, f.Number, machine)
		d.scheduleAfter(d.latency(s, machine)+bodyTime, func() { d.arriveAtMachine(s, f, kept) })
	}, func() { d.endAttempt(s, f, dispatch.Unreachable, nil, "could not connect") })
}

// connect finds a connection to a machine: an idle one, or a new one, which takes a way there and back.
func (d *Day) connect(s *scheduler, machine int, up func(kept bool), failed func()) {
	life := s.incarnation
	idle := s.idleConnections[machine]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		if idle = idle[:len(idle)-1]; d.now-since < d.scenario.Network.Idle.D()*6/10 {
			s.idleConnections[machine] = idle
			up(true)
			return
		}
	}
	s.idleConnections[machine] = idle
	d.World.Statistics.Connections++
	d.scheduleAfter(2*d.latency(s, machine), func() {
		if s.incarnation != life {
			return
		}
		switch d.World.Fleet.Connect(machine) {
		case model.Accepted:
			up(false)
		case model.ConnectionRefused:
			failed()
		default:
			d.scheduleAfter(d.scenario.Network.ConnectTimeout.D(), func() {
				if s.incarnation == life {
					failed()
				}
			})
		}
	})
}

// reach: an attempt has come to its machine.
func (d *Day) arriveAtMachine(s *scheduler, f *attempt, kept bool) {
	f.reached = true
	verdict := d.World.Fleet.Submit(d.now, f.Attempt)
	if verdict == model.NoResponse {
		return
	}
	d.scheduleAfter(d.latency(s, f.Machine), func() {
		if s.incarnation != f.request.incarnation || !s.up {
			return
		}
		switch verdict {
		case model.Accepted:
			d.releaseConnection(s, f.Machine)
			if !f.over {
				d.addEvent(s, dispatch.AttemptProgress{Invocation: dispatch.InvocationID(f.Request.ID), Worker: d.workerID(f.Machine), Attempt: f.Number, Accepted: true})
			}
		case model.Rejected:
			d.releaseConnection(s, f.Machine)
			d.endAttempt(s, f, dispatch.Rejected, nil, "turned away")
		case model.FailedAtOnce:
			d.releaseConnection(s, f.Machine)
			d.endAttempt(s, f, dispatch.Failed, nil, "failed at once")
		case model.ConnectionReset:
			d.endAttempt(s, f, dispatch.ConnectionBroken, nil, "the connection broke")
		case model.ConnectionRefused:
			if kept { // it had gone, and the connection with it
				d.endAttempt(s, f, dispatch.ReusedConnectionBroken, nil, "a kept connection broke")
			} else {
				d.endAttempt(s, f, dispatch.Unreachable, nil, "could not connect")
			}
		}
	})
}

func (d *Day) releaseConnection(s *scheduler, machine int) {
	s.idleConnections[machine] = append(s.idleConnections[machine], d.now)
}

// unrun are the ends that prove that nothing has run.
func provesNotRun(r dispatch.Result) bool {
	return r == dispatch.Rejected || r == dispatch.Unreachable || r == dispatch.NotSent
}

// outcome ends an attempt for its scheduler, once.
func (d *Day) endAttempt(s *scheduler, f *attempt, r dispatch.Result, load *dispatch.LoadReport, why string) {
	if f.over || s.incarnation != f.request.incarnation || !s.up {
		return
	}
	f.over = true
	d.World.Rules.AttemptEnded(d.now, f.Request, f.Number, provesNotRun(r), why)
	d.addEvent(s, dispatch.Outcome{Invocation: dispatch.InvocationID(f.Request.ID), Worker: d.workerID(f.Machine), Attempt: f.Number, Result: r,
		Answered: f.request.answered, Load: load})
}

func (d *Day) cancel(s *scheduler, f *attempt) {
	if f.over {
		return
	}
	d.endAttempt(s, f, dispatch.Cancelled, nil, "called off")
	if d.scenario.Limits.Cancel {
		d.scheduleAfter(d.latency(s, f.Machine)+bodyTime, func() { d.World.Fleet.Cancel(d.now, f.Attempt) })
	}
}

// tell brings to a scheduler what a machine calls back.
func (d *Day) callbackReceived(now time.Duration, a *model.Attempt, sign model.Callback, share float64) {
	s := d.schedulers[a.Scheduler]
	t := s.requests[a.Request.ID]
	if t == nil || a.Number >= len(t.attempts) || t.attempts[a.Number].Attempt != a {
		return // of an earlier life, or nobody waits for it
	}
	f := t.attempts[a.Number]
	d.schedule(max(now, d.now)+d.latency(s, a.Machine), func() {
		if f.over || s.incarnation != t.incarnation || !s.up {
			return
		}
		note := dispatch.AttemptProgress{Invocation: dispatch.InvocationID(a.Request.ID), Worker: d.workerID(a.Machine), Attempt: a.Number, Done: share}
		switch sign {
		case model.Started:
			note.Started = true
			d.addEvent(s, note)
		case model.Progress:
			d.addEvent(s, note)
		case model.Completed:
			if !t.answered {
				d.answer(s, t, model.Succeeded, 0)
			}
			d.endAttempt(s, f, dispatch.Succeeded, nil, "done")
		case model.Failed:
			d.endAttempt(s, f, dispatch.Failed, nil, "failed")
		case model.Returned:
			d.endAttempt(s, f, dispatch.Rejected, nil, "returned unstarted")
		case model.Lost:
			d.endAttempt(s, f, dispatch.ConnectionBroken, nil, "lost with its process")
		}
	})
}

// probe asks a machine for its load.
func (d *Day) healthCheck(s *scheduler, id dispatch.WorkerID) {
	machine, asked, life, over := machineOf(id), d.now, s.incarnation, false
	if machine >= len(d.World.Fleet.Machines) {
		return
	}
	d.World.Statistics.HealthChecks++
	answer := func(r dispatch.Result, load *dispatch.LoadReport) {
		if over || s.incarnation != life || !s.up {
			return
		}
		over = true
		d.addEvent(s, dispatch.HealthCheckResult{Worker: id, Result: r, Latency: d.now - asked, Load: load})
	}
	d.connect(s, machine, func(bool) {
		d.scheduleAfter(d.latency(s, machine), func() {
			report, verdict := d.World.Fleet.HealthCheck(d.now, machine)
			if verdict == model.NoResponse {
				return
			}
			d.scheduleAfter(d.latency(s, machine), func() {
				if verdict == model.ConnectionRefused {
					answer(dispatch.Unreachable, nil)
					return
				}
				if !over && s.incarnation == life {
					d.releaseConnection(s, machine)
				}
				answer(dispatch.Succeeded, d.loadReport(report))
			})
		})
	}, func() { answer(dispatch.Unreachable, nil) })
	d.scheduleAfter(healthCheckTimeout, func() {
		if !over {
			s.idleConnections[machine] = nil
			answer(dispatch.TimedOut, nil)
		}
	})
}

func (d *Day) loadReport(r *model.LoadReport) *dispatch.LoadReport {
	if r == nil {
		return nil
	}
	load := dispatch.UnknownLoad
	for _, name := range d.scenario.LoadReports.Fields {
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
func (d *Day) watchEndpoints(s *scheduler) {
	life := s.incarnation
	s.watching = false
	at, answered := d.World.Discovery.Query(d.now + d.jitter(d.scenario.Network.SameZone.D()))
	d.schedule(at+d.jitter(d.scenario.Network.SameZone.D()), func() {
		if s.incarnation != life || !s.up {
			return
		}
		if !answered || d.World.Discovery.Down() {
			d.addEvent(s, dispatch.EndpointUpdate{Kind: dispatch.WatchFailed})
			return
		}
		s.watching = true
		d.sendChanges(s)
	})
}

// bring tells a scheduler what has changed since it was last told.
func (d *Day) sendChanges(s *scheduler) {
	entries := d.World.Discovery.Since(s.listVersion)
	s.listVersion = d.World.Discovery.Version()
	d.addEvent(s, d.endpointUpdate(s, entries, dispatch.DeltaUpdate))
}

func (d *Day) endpointsChanged(now time.Duration, _ int) {
	for _, s := range d.schedulers {
		if !s.up || !s.watching {
			continue
		}
		life := s.incarnation
		d.schedule(now+d.jitter(d.scenario.Network.SameZone.D()), func() {
			if s.incarnation == life && s.up && s.watching && s.listVersion < d.World.Discovery.Version() {
				d.sendChanges(s)
			}
		})
	}
}

func (d *Day) discoveryDown(now time.Duration) {
	for _, s := range d.schedulers {
		if !s.up || !s.watching {
			continue
		}
		s.watching = false
		life := s.incarnation
		d.schedule(now, func() {
			if s.incarnation == life {
				d.addEvent(s, dispatch.EndpointUpdate{Kind: dispatch.WatchFailed})
			}
		})
	}
}

// listing is what the module is told of entries, whose times count from its start.
func (d *Day) endpointUpdate(s *scheduler, entries []model.Endpoint, form dispatch.UpdateKind) dispatch.EndpointUpdate {
	l := dispatch.EndpointUpdate{Kind: form}
	for _, e := range entries {
		m := d.World.Fleet.Machines[e.Machine]
		w := dispatch.Endpoint{Worker: d.workerID(e.Machine), Zone: m.Zone, Kind: m.Kind, Cell: m.Zone, State: dispatch.EndpointState(e.State)}
		if e.StartedAt >= 0 {
			w.StartKnown, w.StartedAt = true, e.StartedAt-s.startedAt
			h := fnv.New64a()
			fmt.Fprint(h, m.UID, e.StartedAt)
			w.Incarnation = h.Sum64()
		}
		d.World.Rules.EndpointReceived(d.now, s.number, e.Machine, e.State)
		l.Endpoints = append(l.Endpoints, w)
	}
	return l
}

// kill ends a scheduler at once; its clients see their connections end.
func (d *Day) killScheduler(now time.Duration, n int) {
	s := d.schedulers[n]
	if !s.up {
		return
	}
	s.up, s.failureKnownAt, s.watching = false, now+d.scenario.Schedulers.FailureDetection.D(), false
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		t := s.requests[id]
		if !t.answered {
			d.schedule(now, func() { d.clientReplied(t.request, model.Unanswered, 0) })
		}
	}
	s.requests = map[int64]*request{}
}

func (d *Day) restartScheduler(now time.Duration, n int) {
	if s := d.schedulers[n]; !s.up {
		d.now = max(d.now, now)
		d.startScheduler(s)
	}
}
