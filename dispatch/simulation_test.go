package dispatch

import (
	"container/heap"
	"math/rand"
	"net/netip"
	"time"
)

// world plays one scheduler against workers, clients and other schedulers that a seed draws: whatever the interface can
// bring comes in it. It uses the interface alone, so that any inner form of the module can be played.
type world struct {
	rng     *rand.Rand
	dep     Config
	seed    int64
	d       *Dispatcher
	now     time.Duration
	queue   pending
	serial  int
	workers []*actor
	at      map[WorkerID]*actor
	invs    map[InvocationID]*client
	last    InvocationID
	due     time.Duration
	seen    func(now time.Duration, a Action)
	handled func(events int, took func())
	rate    float64 // arrivals a second
	hint    float64 // their mean
	trouble float64 // 1: everything that may happen does
	share   float64 // of the workers' slots that others have
	names   int
}

type actor struct {
	Endpoint
	slots, others  float64
	speed          float64
	inHand         int
	hangs, frozen  bool
	load           LoadReport
	listed, silent bool
}

type client struct {
	job   Arrival
	came  time.Duration
	tries []*attempt
	done  bool
}

type attempt struct {
	w       *actor
	out     bool
	work    float64
	entered bool
}

type pended struct {
	at     time.Duration
	serial int
	event  Event
	do     func()
}

type pending []pended

func (p pending) Len() int { return len(p) }

func (p pending) Less(a, b int) bool {
	return p[a].at < p[b].at || p[a].at == p[b].at && p[a].serial < p[b].serial
}

func (p pending) Swap(a, b int) { p[a], p[b] = p[b], p[a] }

func (p *pending) Push(x any) { *p = append(*p, x.(pended)) }

func (p *pending) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

func (w *world) in(span time.Duration, e Event) {
	w.serial++
	heap.Push(&w.queue, pended{w.now + span, w.serial, e, nil})
}

func (w *world) then(span time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, pended{w.now + span, w.serial, nil, do})
}

func (w *world) some(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int63n(int64(most-least)+1))
}

func (w *world) chance(part float64) bool { return w.rng.Float64() < part }

func (w *world) join() *actor {
	w.names++
	a := &actor{slots: float64(1 + w.rng.Intn(8)), speed: 0.6 + w.rng.Float64()}
	a.Endpoint = Endpoint{Worker: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(w.names >> 8), byte(w.names)}), 9), Zone: w.names % 3,
		Kind: w.names % 2, Cell: w.names % 5, State: Ready, Incarnation: w.rng.Uint64()}
	w.workers, w.at[a.Worker] = append(w.workers, a), a
	return a
}

func newWorld(seed int64, workers int, dep Config) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), dep: dep, seed: seed, at: map[WorkerID]*actor{}, invs: map[InvocationID]*client{}, hint: 0.2,
		trouble: 1, share: 0.3, seen: func(time.Duration, Action) {}, handled: func(_ int, do func()) { do() }}
	w.d = New(dep, seed)
	for range workers {
		w.join().listed = true
	}
	return w
}

func (w *world) whole() EndpointUpdate {
	l := EndpointUpdate{Kind: FullUpdate}
	for _, a := range w.workers {
		if a.State != Gone {
			l.Endpoints = append(l.Endpoints, a.Endpoint)
		}
	}
	return l
}

// handle hands events over and plays out what is asked for.
func (w *world) handle(events ...Event) {
	var actions []Action
	w.handled(len(events), func() { actions = w.d.Handle(w.now, events) })
	for _, a := range actions {
		w.seen(w.now, a)
		switch a := a.(type) {
		case Forward:
			w.forward(a)
		case HealthCheck:
			w.probe(w.at[a.Worker])
		case Throttle:
			w.invs[a.Invocation].done = true
		case Fail:
			w.invs[a.Invocation].done = true
		case Cancel:
			if t := w.invs[a.Invocation].tries[a.Attempt]; t.out {
				w.end1(a.Invocation, a.Attempt, 2*ms, Cancelled)
			}
		case SetTimer:
			w.due = a.At
			w.then(max(0, a.At-w.now), func() {
				if w.due <= w.now {
					w.due = 1 << 62
					w.handle(TimerFired{})
				}
			})
		case WatchEndpoints:
			if w.chance(0.3 * w.trouble) {
				w.in(w.some(5*ms, 300*ms), EndpointUpdate{Kind: WatchFailed})
			} else {
				w.then(w.some(5*ms, 50*ms), func() { w.handle(w.whole()) })
			}
		}
	}
}

func (a *actor) report() *LoadReport {
	if a.silent {
		return nil
	}
	if !a.frozen {
		free := a.slots - a.others - float64(a.inHand)
		a.load = LoadReport{FreeSlots: max(0, free), Queued: max(0, -free), InFlight: float64(a.inHand), Busy: a.others, ServiceTime: 0.1 * a.speed}
	}
	load := a.load
	return &load
}

func (w *world) probe(a *actor) {
	switch {
	case a.hangs || a.State == Gone:
		w.in(150*ms, HealthCheckResult{Worker: a.Worker, Result: TimedOut, Latency: 150 * ms})
	case w.chance(0.02 * w.trouble):
		w.in(w.some(0, 5*ms), HealthCheckResult{Worker: a.Worker, Result: []Result{Rejected, ReusedConnectionBroken, Unreachable}[w.rng.Intn(3)], Latency: 3 * ms})
	default:
		took := w.some(ms/2, 6*ms)
		w.then(took, func() {
			w.handle(HealthCheckResult{Worker: a.Worker, Result: Succeeded, Latency: took, Load: a.report()})
		})
	}
}

// end1 ends a forward some time from now, if nothing else has by then.
func (w *world) end1(id InvocationID, fwd int, span time.Duration, r Result) {
	c := w.invs[id]
	t := c.tries[fwd]
	w.then(span, func() {
		if !t.out {
			return
		}
		if t.out = false; t.entered {
			t.w.inHand--
		}
		o := Outcome{Invocation: id, Worker: t.w.Worker, Attempt: fwd, Result: r}
		if r == Succeeded {
			o.Answered, c.done = !c.done, true
			o.Load = t.w.report()
		} else if r == Rejected {
			o.Load = t.w.report()
		}
		w.handle(o)
	})
}

func (w *world) forward(f Forward) {
	c, a := w.invs[f.Invocation], w.at[f.Worker]
	t := &attempt{w: a, out: true, work: c.job.Hint * a.speed * (0.5 + w.rng.Float64())}
	n := len(c.tries)
	c.tries = append(c.tries, t)
	trouble := func(part float64) bool { return w.chance(part * w.trouble) }
	switch {
	case a.State == Gone && w.chance(0.7), trouble(0.01):
		w.end1(f.Invocation, n, w.some(ms, 400*ms), Unreachable)
	case trouble(0.005):
		w.end1(f.Invocation, n, ms, NotSent)
	case trouble(0.005):
		w.end1(f.Invocation, n, 3*ms, BadRequest)
	case trouble(0.02), float64(a.inHand) > 2*a.slots:
		w.end1(f.Invocation, n, 3*ms, Rejected)
	case trouble(0.01):
		w.end1(f.Invocation, n, 20*ms, Failed)
	case trouble(0.01):
		w.end1(f.Invocation, n, w.some(ms, 200*ms), ConnectionBroken)
	case trouble(0.005):
		w.end1(f.Invocation, n, 1500*ms, TimedOut)
	case trouble(0.01), a.hangs:
		return // nothing is heard of it
	default:
		wait := w.some(ms, 10*ms)
		if free := a.slots - a.others - float64(a.inHand); free <= 0 {
			wait += w.some(20*ms, 400*ms)
		}
		t.entered = true
		a.inHand++
		say := func(span time.Duration, sign AttemptProgress) {
			sign.Invocation, sign.Worker, sign.Attempt = f.Invocation, f.Worker, n
			w.then(span, func() {
				if t.out && !a.hangs {
					w.handle(sign)
				}
			})
		}
		if w.dep.NotifiesAccepted {
			say(ms, AttemptProgress{Accepted: true})
		}
		if w.dep.NotifiesStart {
			say(wait, AttemptProgress{Started: true})
		}
		run := seconds(t.work)
		for at := w.dep.ProgressInterval; at > 0 && at < run; at += w.dep.ProgressInterval {
			say(wait+at, AttemptProgress{Done: at.Seconds() / t.work})
		}
		if w.chance(0.02) {
			w.then(wait+run/2, func() {
				if t.out && !c.done {
					c.done = true
					w.handle(ResponseStarted{Invocation: f.Invocation, Attempt: n})
				}
			})
		}
		w.end1(f.Invocation, n, wait+run, Succeeded)
	}
}

func (w *world) arrive() {
	w.last++
	c := &client{came: w.now, job: Arrival{Invocation: w.last, Operation: w.rng.Intn(len(w.dep.Operations)), Tenant: w.rng.Intn(3),
		Budget: w.some(seconds(4*w.hint), seconds(20*w.hint+1)), Hint: w.hint * w.rng.ExpFloat64(), Slots: 1}}
	if w.trouble > 0 {
		c.job.Slots = float64(1 + w.rng.Intn(10)/9)
	}
	if w.chance(0.05 * w.trouble) {
		c.job.Hint = 0
	}
	id := w.last
	w.invs[id] = c
	w.then(c.job.Budget, func() {
		if !c.done {
			c.done = true
			w.handle(ClientDisconnected{id})
		}
	})
	events := []Event{c.job}
	for w.chance(0.1) { // more at the same moment
		w.last++
		more := &client{came: w.now, job: c.job}
		more.job.Invocation, more.job.Hint = w.last, w.hint*w.rng.ExpFloat64()
		w.invs[w.last] = more
		events = append(events, more.job)
	}
	w.handle(events...)
}

// change has a list change come.
func (w *world) change() {
	var delta []Endpoint
	for range 1 + w.rng.Intn(3) {
		a := w.workers[w.rng.Intn(len(w.workers))]
		switch w.rng.Intn(8) {
		case 0:
			a.State = Draining
		case 1:
			a.State = Gone
		case 2, 3, 4: // it restarts, perhaps some time ago
			a.State, a.StartKnown, a.StartedAt, a.Incarnation, a.inHand = Ready, true, max(0, w.now-w.some(0, time.Second)), w.rng.Uint64(), 0
		case 5:
			a = w.join()
			a.StartKnown, a.StartedAt = true, w.now
		case 6:
			a.hangs = !a.hangs
		case 7:
			a.frozen = !a.frozen
		}
		delta = append(delta, a.Endpoint)
	}
	if w.chance(0.2) {
		w.handle(w.whole())
	} else {
		w.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
	}
}

// others has another scheduler tell something.
func (w *world) others() {
	n := GossipReceived{From: w.rng.Intn(w.dep.Schedulers + 1)}
	for range 1 + w.rng.Intn(4) {
		a := w.workers[w.rng.Intn(len(w.workers))]
		n.Entries = append(n.Entries, GossipEntry{Kind: []GossipKind{GossipAttemptStarted, GossipAttemptEnded, GossipCapacityQuery, GossipCapacityReply, GossipCapacityReply, GossipAttemptStarted, GossipCapacityQuery, GossipAttemptEnded,
			GossipRestarted}[w.rng.Intn(9-min(1, w.rng.Intn(10)))], Serial: uint8(w.rng.Intn(12)), Tag: workerTag(a.Worker)})
	}
	w.handle(n)
}

func (w *world) retune() {
	dep := w.dep
	dep.Operations = append([]Operation(nil), w.dep.Operations...)
	from := make([]int, len(dep.Operations))
	for i := range from {
		from[i] = i
	}
	changed := dep.Operations[w.rng.Intn(len(dep.Operations))]
	changed.PriorityWeight, changed.LatencyObjective = 1+w.rng.Float64(), w.some(100*ms, time.Second)
	dep.Operations, from = append(dep.Operations, changed), append(from, w.rng.Intn(len(dep.Operations)+1)-1)
	dep.Limits.MaxAttempts, dep.Limits.MaxInFlight = 2+w.rng.Intn(4), 1+w.rng.Intn(2)
	w.dep = dep
	w.handle(Reconfigured{Config: dep, PreviousOperations: from})
}

// replace hands all that is known and held to a new instance.
func (w *world) replace() {
	lesson, old := w.d.Snapshot(), w.d
	w.d = New(w.dep, w.seed+1000)
	w.handle(w.whole())
	events := []Event{SnapshotLoaded{lesson}}
	for id := InvocationID(1); id <= w.last; id++ {
		if r, held := old.MigrationRecord(id); held {
			events = append(events, r)
		}
	}
	w.handle(events...)
	w.then(w.some(ms, 50*ms), func() { // and one goes on to yet another
		for id := w.last; id > 0; id-- {
			if _, held := w.d.MigrationRecord(id); held {
				w.invs[id].done = true
				for _, t := range w.invs[id].tries {
					t.out = false
				}
				w.handle(MigratedOut{id})
				return
			}
		}
	})
}

// every has something happen again and again, at times that chance draws around a span.
func (w *world) every(span time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.then(w.some(span/4, span*7/4), again)
	}
	w.then(w.some(0, span), again)
}

func (w *world) play(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(pended)
		w.now = max(w.now, next.at)
		if next.do != nil {
			next.do()
		} else {
			w.handle(next.event)
		}
	}
	w.now = until
}

// begin has all that may happen to a scheduler happen to it.
func (w *world) begin() {
	w.handle(w.whole())
	w.then(0, func() { w.handle(TimerFired{}) })
	if w.rate > 0 {
		w.every(seconds(1/w.rate), w.arrive)
	}
	w.every(300*ms, func() {
		for _, a := range w.workers {
			a.others = float64(int(a.slots * w.share * 2 * w.rng.Float64()))
		}
	})
	if w.trouble == 0 {
		return
	}
	w.every(400*ms, w.change)
	if w.dep.Limits.Gossip {
		w.every(15*ms, w.others)
	}
	w.every(3*time.Second, w.retune)
	w.every(time.Second, func() {
		w.handle(QuotaUpdate{Quotas: []Quota{{Tenant: w.rng.Intn(4), QuotaPerSecond: 5 * w.rng.Float64(), Reassigned: w.chance(0.3)}}})
	})
	w.every(5*time.Second, w.replace)
	w.every(4*time.Second, func() { // a zone restarts, or stops to report
		zone, ceases := w.rng.Intn(3), w.chance(0.3)
		var delta []Endpoint
		for _, a := range w.workers {
			if a.silent = ceases && a.Zone == zone; a.Zone == zone && !ceases {
				a.State, a.StartKnown, a.StartedAt, a.Incarnation, a.inHand = Ready, true, w.now, w.rng.Uint64(), 0
				delta = append(delta, a.Endpoint)
			}
		}
		w.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
	})
}

// varied is a deployment drawn from a seed.
func varied(seed int64) Config {
	rng, dep := rand.New(rand.NewSource(seed)), shop()
	dep.Schedulers = []int{1, 2, 6, 20, 80}[rng.Intn(5)]
	dep.Index = rng.Intn(dep.Schedulers)
	dep.Zone, dep.EndpointsPushed = rng.Intn(3), rng.Intn(2) == 0
	dep.NotifiesStart, dep.NotifiesAccepted = rng.Intn(2) == 0, rng.Intn(3) == 0
	dep.ProgressInterval = []time.Duration{0, 200 * ms, 500 * ms}[rng.Intn(3)]
	dep.Limits.Gossip = rng.Intn(2) == 0
	dep.Limits.HealthChecks = rng.Intn(5) > 0
	dep.Limits.Cancel = rng.Intn(4) > 0
	dep.HealthCheckCost, dep.GossipCost = 0.003*rng.Float64(), 0.02*rng.Float64()
	dep.Tenants, dep.ExcessValue = []Tenant{{QuotaPerSecond: 10}, {}, {QuotaPerSecond: 2}}, 0.3
	dep.WorstOperationWeight = 0.5 * rng.Float64()
	cell := dep.Operations[1]
	cell.DedupScope, cell.DedupWindow, cell.LateWeight = ScopeCell, 500*ms, 0.3
	kind := dep.Operations[0]
	kind.WorkerKind = 1
	dep.Operations = append(dep.Operations, cell, kind)
	return dep
}
