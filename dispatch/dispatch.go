// Package dispatch decides for one scheduler which worker each invocation goes to, and when. Call New once at
// the start, then Handle with all events of one moment, and carry the actions out in order. All decisions are
// in this file; the interface (events, actions, what a deployment tells) is in types.go.
// SRPTMS+C decides the ordinary path: hold, rank, running set, release, clones, pool, pick. Beside it:
//  1. set-aside and trial: a worker, whole or for one tenant's operation, is judged by our own outcomes too.
//  2. stuck work: a further forward for what sits where no answer in time is to be expected.
//  3. pace: a worker's running time for each unit of work; a slow one gets only what it can do in time.
//  4. late figures: old reports count for less; where messages are allowed, our own workers come first.
//  5. cold budget: a worker which has just started is shared by the few that a lot names, the same at all.
//  6. giving up: what can't earn anything any more is answered at once, and what can earn less goes later.
package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	epsilon, spreadTimes, cloneShare = 0.6, 3, 0.2 // the design's: the running set's part, r, a limit on clones

	sampleCount             = 16                  // measurements are the last few samples
	few, reach              = 16, 8 * time.Second // a pool's first workers; it holds what probes go round in
	probeFloor, probePoints = 3, 0.002            // probes a second; points of the result that more may cost
	startPart               = 0.15                // of our forwards that start at once if room is somewhere
	figureCount, usualLike  = 8, 6                // reports kept, and that the pool's usual one stands for
	lagTimes, freshLeast    = 2, 0.6              // spans a report may be old; how far it must hold with keepers
	queueShare, sureFresh   = 0.5, 0.6            // what may queue on old figures; how far they hold for a clone
	crowd                   = 6                   // schedulers, of all, that take notice of a cold worker
	coldPart, evenPart      = 1.25, 0.25          // of a cold budget, by hints: where few share it, where all do
	coldRuns, fewest        = 1.5, 5              // usual runs that a part should hold; that share it at least
	asideProbes, trialRuns  = 2, 3                // answers until it is on trial, successes until in full
	gives, servedWell       = 1000, 0.95          // how far late work gives way; served of what is served well
	unfitMost, sureTimes    = 2, 1.5              // workers that need not have one; its pace, to be sure
	unmeasuredTimes         = 3                   // its hint, for a cold worker, until results tell how far hints are off
	hintLow, waitShare      = 1.4, 0.5            // work over hinted cost in the middle; slack for waiting

	beat, patience       = 20 * time.Millisecond, 300 * time.Millisecond   // time alone decides; a sign is due
	asideFirst, awaySpan = 500 * time.Millisecond, 1250 * time.Millisecond // set aside; throttled, or on trial for others' sake, at most
	asideMost, upToDate  = 8 * time.Second, 10 * beat                      // at most; since a keeper's answer

	askBytes, askPoints, asksMost = 32, 0.006, 5 // a question and its answer; points they may cost; most
)

func (d *Dispatcher) read(note any) {
	switch n := note.(type) {
	case freed:
		delete(d.invAt, n.id)
	case tick:
		if d.asks && !d.follows && d.now >= d.askAt {
			d.do(WatchEndpoints{})
			d.askAt = d.now + max(time.Second, d.within/2)
		}
	case alarm:
		if d.asks && !d.follows {
			n.at = min(n.at, d.askAt)
		}
		if n.at < d.wakeAt || d.wakeAt <= d.now {
			d.wakeAt = max(n.at, d.now+1)
			d.do(SetTimer{At: d.wakeAt})
		}
	case wanted:
		if d.own++; n.hearsay || len(d.keeps) == 0 || d.own%3 == 0 {
			d.next(n)
		} else {
			d.ask(d.keeps[d.own/2%len(d.keeps)], n, ask{n.view, false})
		}
	case EndpointUpdate:
		d.follow(n)
	case GossipReceived:
		d.hear(n)
	case look:
		d.desk.put(n)
	case Reconfigured:
		d.desk.anew()
		d.tune(n)
		d.reappoint()
	case QuotaUpdate:
		n.to(&d.desk)
	case SnapshotLoaded:
		d.heed(n.Snapshot)
	}
}

func (d *Dispatcher) follow(list EndpointUpdate) {
	if list.Kind == WatchFailed {
		// Not all schedulers' calls at once, but inside what is left of our time after a call that was lost.
		wait := max(min(againFirst<<max(min(d.failed, 6)-1, 0), d.within/againPart), againLeast)
		d.follows, d.failed = false, d.failed+1
		if !d.asks {
			return // it is pushed: nothing to ask for, and whoever carries it tells of its failures
		}
		d.askAt = d.now + wait/2 + time.Duration(d.rng.Int63n(int64(wait)))
		d.do(Log{fmt.Sprintf("list call failed or subscription lost, asking again at %v", d.askAt)})
		return
	}
	if d.now > 0 { // the first one is only what was cached
		d.follows, d.failed = true, 0
	}
	d.version++
	for _, e := range list.Endpoints {
		at, known := d.workerAt[e.Worker]
		if !known {
			at = len(d.list)
			d.list, d.workerAt[e.Worker] = append(d.list, place{}), at
			d.tagAt[tagOf(e.Worker)] = at
			d.list[at].Worker = e.Worker
			d.appoint(at)
		}
		d.enlist(at, e)
	}
	for at := range d.list {
		if p := &d.list[at]; list.Kind == FullUpdate && p.version != d.version && p.State != Gone {
			gone := p.Endpoint
			gone.State = Gone
			d.enlist(at, gone)
		}
	}
}

func (d *Dispatcher) enlist(at int, e Endpoint) {
	p := &d.list[at]
	starts := e.StartKnown && e.State == Ready && (!p.StartKnown || e.StartedAt > p.StartedAt)
	if p.Endpoint, p.version = e, d.version; starts {
		p.lot = d.lot(e.Incarnation)
	}
	if e.State == Ready && !p.inOrder {
		n := d.rng.Intn(len(d.order) + 1)
		d.order = append(d.order, at)
		d.order[n], d.order[len(d.order)-1], p.inOrder = at, d.order[n], true
	}
	d.relist(at)
	if starts && p.lot < crowd && d.now < e.StartedAt+d.warmAfter { // at our start too: who knew has forgotten
		d.meet(at).put(ask{view{run: 1}, false})
	}
}

// next asks the worker whose turn it is, which chance sets: one in all schedulers' pools would draw a crowd.
func (d *Dispatcher) next(w wanted) {
	for n := 0; n < len(d.order); {
		here, turn := (d.turn+n)%len(d.order), d.turn%len(d.order)
		at := d.order[here]
		switch p := &d.list[at]; {
		case p.State != Ready:
			p.inOrder, d.order[here] = false, d.order[len(d.order)-1]
			d.order = d.order[:len(d.order)-1]
		case !w.suits(p.Kind, p.Zone, p.Cell):
			n++
		default:
			d.order[here], d.order[turn], d.turn = d.order[turn], at, turn+1
			d.ask(at, w, ask{w.view, w.hearsay})
			return
		}
	}
}

// lot is our place among all for one start of a worker: left to chance, now none and now many would come.
func (d *Dispatcher) lot(start uint64) (before int) {
	mine := mix(start, d.me)
	for other := range int(d.peers) {
		if d.me >= int(d.peers) || mix(start, other) < mine { // beyond the number told: all come before us
			before++
		}
	}
	return before
}

func (w *worker) read(note any) {
	w.desk.current(w.at)
	switch n := note.(type) {
	case listed:
		w.lot, w.keeper, w.kept = n.lot, n.keeper, w.tells && n.keeper == w.me
		w.follow(n.Endpoint)
	case sent:
		w.serial++
		n.serial = w.serial
		w.errands = append(w.errands, n.errand)
		w.tell(w.keeper, GossipEntry{GossipAttemptStarted, n.serial, w.tag})
	case theirs:
		w.hear(n)
	case bequest:
		n.to(w)
	case look:
		w.watch()
	case ask:
		w.all, w.seen, w.recheck = n.view, w.now, n.learn && !n.hearsay
		if n.hearsay && !w.kept && !(w.asking && w.askedAt == w.now) {
			w.askedAt, w.asking, w.unanswered = w.now, true, cmp.Or(w.unanswered, w.now)
			w.tell(w.keeper, GossipEntry{Kind: GossipCapacityQuery, Tag: w.tag})
		}
		if !n.hearsay || w.silent && w.rng.Intn(asksMost) == 0 { // its keeper can't be heard: as without one
			w.probe()
		}
	case about:
		switch e := n.event.(type) {
		case AttemptProgress:
			if f := w.find(n.inv, e.Attempt); f != nil {
				if f.taken = true; e.Accepted { // no sign that work goes on: one that hangs takes all it gets
					break
				}
				if w.lastSign, f.heard = w.now, w.now; e.Started {
					if f.began == 0 && w.now < f.sent+2*beat {
						w.desk.put(begun{1})
					}
					f.began = w.now
				} else if f.began == 0 { // its first progress note
					f.began = w.now - w.progress
				}
				w.comeBack(true)
			}
		case Outcome:
			w.finish(n, e)
		case HealthCheckResult:
			w.answered(e)
		}
	case blamed:
		w.setAside("turns away what others take", false)
	}
	w.show()
}

func (w *worker) hear(n theirs) {
	switch inv := -2 - n.from; n.Kind {
	case GossipAttemptStarted: // its end may never be told, and it may be told twice
		w.hear(theirs{n.from, GossipEntry{Kind: GossipAttemptEnded, Serial: n.Serial}})
		w.errands = append(w.errands, errand{inv: inv, fwd: int(n.Serial), slots: 1, sent: w.now,
			end: w.now + asideMost})
	case GossipAttemptEnded, GossipRestarted: // of a scheduler that starts anew all is soon over
		for i := range w.errands {
			if e := &w.errands[i]; e.inv == inv && n.Kind == GossipRestarted {
				e.end = min(e.end, w.now+seconds(w.all.run))
			} else if e.inv == inv && e.fwd == int(n.Serial) {
				e.end = min(e.end, w.now)
			}
		}
	case GossipCapacityQuery:
		// Others who were told of the same slot just before may take it.
		for w.told.add(w.now.Seconds()); w.told[0] < (w.now - 2*beat).Seconds(); {
			w.told = w.told[1:]
		}
		if free := math.Round(w.room - float64(len(w.told))/asksMost); w.known && w.open {
			w.tell(n.from, GossipEntry{GossipCapacityReply, uint8(int8(max(-99, min(99, free)))), w.tag})
		} else if w.aside {
			w.tell(n.from, GossipEntry{GossipCapacityReply, uint8(int8(-min(99, w.size))), w.tag})
		}
	case GossipCapacityReply:
		if w.asking, w.unanswered = false, 0; !w.kept {
			w.size = max(w.size, float64(int8(n.Serial)))
			w.figure(w.askedAt-beat, float64(int8(n.Serial)))
		}
	}
}

// estimate tells what the worker's book says at a time.
func (w *worker) estimate(now time.Duration) {
	w.open, w.trial, w.known = w.standing == Ready && !w.aside, w.wanted > 0, len(w.figures) > 0
	w.full, w.busy = now < w.fullTill, w.aside || w.recheck
	w.silent = w.unanswered > 0 && now > w.unanswered+upToDate
	w.mine, w.ours, w.warmth, w.spent = w.held(now), w.out(), 1, 0
	if n := len(w.figures); w.kept { // all that is there is known
		w.fresh, w.room = 1, math.Round(w.last-w.mine)
	} else if n > 0 {
		// A crowd chases the worker that looked emptiest: the older its last figure, the more the mean of the last
		// few counts, and the fewer there are, the more what is usual anywhere.
		w.fresh = math.Exp(-max(0, now-w.figureAt).Seconds() / max(w.all.run, 0.1))
		faded := w.all.usual + w.figures.sum()/float64(n+usualLike)
		w.room = math.Round(min(w.fresh*w.last+(1-w.fresh)*faded-w.mine, w.size))
	}
	if age := now - w.startedAt; w.cold && age < w.warmAfter {
		w.warmth = w.coldFrom + (1-w.coldFrom)*max(0, age.Seconds()/w.warmAfter.Seconds())
	}
	for i := range w.errands {
		e := &w.errands[i]
		if w.busy = w.busy || e.end == 0; w.warmth < 1 && e.sent+w.window > now && e.sent > w.startedAt {
			w.spent += e.cost
		}
	}
}

func (w *worker) follow(e Endpoint) {
	if w.standing = e.State; e.State == Gone {
		w.release(w.now)
		return
	}
	if e.StartKnown && (!w.cold || e.StartedAt > w.startedAt) {
		w.cold, w.startedAt, w.figures, w.load, w.paces, w.pace = true, e.StartedAt, nil, LoadReport{}, nil, 0
		w.aside, w.wanted, w.missed = false, 0, 0
		w.release(e.StartedAt)
	}
	w.zone, w.kind, w.cell = e.Zone, e.Kind, e.Cell
}

func (w *worker) probe() {
	if w.probes && w.standing == Ready && !(w.asking && w.probedAt == w.now) {
		w.probedAt, w.asking = w.now, true
		w.do(HealthCheck{w.id})
	}
}

func (w *worker) answered(a HealthCheckResult) {
	w.asking = false
	switch a.Result {
	case Succeeded:
		w.missed, w.answers, w.fullTill = 0, w.answers+1, 0
		if w.report(a.Load); a.Load == nil && w.now > w.reportAt+awaySpan {
			// It has ceased to report: what was free once tells nothing, our own counts do.
			w.figures, w.room, w.size, w.fresh = nil, 0, 0, 0
		}
		w.comeBack(w.answers >= asideProbes)
	case Rejected, ReusedConnectionBroken: // probes are capped, connections break, which tells nothing
	default:
		w.answers, w.missed = 0, w.missed+1
		// What fails at once may be the network's doing: it is tried again at once before it counts.
		w.recheck = a.Latency < patience/2 && w.missed < 3
		if !w.recheck && (w.missed > 1 || w.lastSign < w.now-a.Latency) {
			w.setAside("probes go unanswered", true)
		}
	}
}

// report takes a load report in. One that equals the last and comes soon after is the same figure seen again.
func (w *worker) report(load *LoadReport) {
	if load == nil {
		return
	}
	first, changed, gap := w.load == LoadReport{}, *load != w.load, w.now-w.reportAt
	if w.load, w.reportAt = *load, w.now; gap < 10*beat && !first {
		w.desk.put(pair{gap.Seconds(), map[bool]float64{true: 1}[changed]})
	}
	if !changed && gap < 5*w.all.lag || load.FreeSlots < 0 {
		return
	}
	// What fails fast leaves its slots free: they are counted as if it had run.
	free := math.Round(load.FreeSlots - load.Queued - load.ErrorRate*w.all.run)
	w.size, w.service = max(w.size, free), load.ServiceTime
	w.figure(w.now-w.all.lag, free)
	oldest := w.now - max(w.all.lag, w.window)
	w.errands = slices.DeleteFunc(w.errands, func(e errand) bool { return e.end != 0 && e.end < oldest })
}

func (w *worker) figure(at time.Duration, free float64) {
	open := free + w.held(at)
	if w.last, w.figureAt = min(open, w.size), at; !w.kept {
		// By how much it lies off what is usual: when all have filled or emptied, old figures tell no more.
		w.figures.add(w.last - w.all.usual)
	} else if w.load.Queued > 0 || free > 0 || len(w.figures) == 0 || open < w.figures.at(0.5) {
		w.figures.add(open) // a full one may have more waiting than it tells
	}
	if w.figures = w.figures[max(0, len(w.figures)-figureCount):]; w.kept {
		w.last, w.size = w.figures.at(0.5), max(1, w.figures.at(0.5))
		open = free
	}
	if w.warmth == 1 {
		w.desk.put(figure(min(open, w.size)))
	}
}

func (w *worker) finish(n about, o Outcome) {
	w.report(o.Load)
	if e := w.find(n.inv, o.Attempt); e != nil {
		defer w.ended(e.serial, o.Result)
		e.end, w.lastSign = w.now, w.now
		switch o.Result {
		case Succeeded:
			n.ran, w.fullTill, w.breaks = w.now-cmp.Or(e.began, e.sent), 0, 0
			w.paces.add(n.ran.Seconds() / e.work * w.warmth) // as it will be: how cold it is comes on top
			if w.pace = w.paces.at(0.5); w.tells && !w.kept {
				w.figure(w.now, 1) // the slot that it leaves is ours at once, before its keeper hears of it
			}
			w.comeBack(true)
			if w.wanted = max(0, w.wanted-1); w.wanted == 0 {
				w.asides = max(0, w.asides-1)
			}
		case Failed, ConnectionBroken:
			// One that fails fast shows the most free slots and would draw all work; the network breaks some.
			w.recheck = o.Result == ConnectionBroken
			if w.breaks++; !w.recheck || w.breaks >= trialRuns {
				w.setAside("fails what it gets", false)
			}
		case Cancelled: // it may go on: its slots stay counted for as long as it would have run
			e.end = max(w.now, e.sent+seconds(e.work*max(0.5, w.pace)))
		case Rejected:
			e.end, w.fullTill = e.sent, w.now+asideFirst // it counts as sent to a cold worker all the same
			if w.known {
				w.figure(w.now, 0)
			}
		case Unreachable, NotSent:
			if e.end, e.cost = e.sent, 0; o.Result == Unreachable {
				w.missed, w.recheck = w.missed+1, true
				if w.missed > 1 || w.now-e.sent >= patience/2 {
					w.setAside("can't be reached", true)
				}
			}
		}
	}
	w.desk.put(n)
}

// ended tells the keeper. What a silent worker has may hold its slots for long, whatever we wait for.
func (w *worker) ended(serial uint8, r Result) {
	if !w.aside || r != TimedOut && r != Cancelled {
		w.tell(w.keeper, GossipEntry{Kind: GossipAttemptEnded, Serial: serial})
	}
}

func (w *worker) comeBack(seen bool) {
	if w.aside && seen && w.now >= w.asideTill {
		w.aside, w.wanted, w.seen, w.back = false, trialRuns*max(1, w.asides), w.now, w.now
		w.do(Log{fmt.Sprintf("worker %v is back, on trial", w.id)})
	}
}

// setAside doubles the span each time, as probes are not to be spent on the dead where there are few.
func (w *worker) setAside(why string, silent bool) {
	if w.standing == Ready && (!w.aside || silent && w.now >= w.asideTill) {
		w.do(Log{fmt.Sprintf("worker %v is set aside: %s", w.id, why)})
		w.asideTill = w.now + min(asideFirst<<w.asides, asideMost)
		w.aside, w.answers, w.asides = true, 0, min(w.asides+1, 5)
	}
	if silent {
		w.release(w.now)
	}
}

// watch looks for overdue signs. A hung worker shows the most free slots and would draw all work, but a busy
// one must not lose its place: suspicion asks, silence beyond what waiting explains decides.
func (w *worker) watch() {
	longest, most := time.Duration(0), 3*w.all.run*max(1, w.pace)
	if w.load.FreeSlots <= 0 {
		// In thin traffic nothing else of ours shows that a full one is at work: its queue explains silence.
		most *= 2 + w.load.Queued/max(1, w.size)
	}
	for i := range w.errands {
		e := &w.errands[i]
		due := e.sent
		switch {
		case e.end != 0 || e.lost || w.aside:
			continue
		case w.tellsTaken && !e.taken && w.now >= e.sent+patience:
			// The connection may have fallen silent under the request, whatever else is heard of the worker.
			w.lose(e)
			continue
		case w.progress > 0 && e.began > 0 && w.lastSign > e.heard+w.progress+patience:
			// The worker has told of others since this one's note was due: it has lost this one, or its answer.
			w.lose(e)
			continue
		case w.tellsStart && e.began == 0:
			if begin := e.sent + 2*beat; begin <= w.now && w.now < begin+beat {
				if w.desk.put(begun{0}); w.known {
					w.figure(w.now, -e.slots) // it waits: nothing is free now, whatever the last report says
				}
			}
		case w.progress > 0:
			due = max(due, e.heard) + w.progress
		default:
			due += seconds(4 * e.work * max(1, w.pace))
		}
		silent := w.now - max(due, w.lastSign) - patience
		if longest = max(longest, silent); silent > seconds(most) {
			w.setAside("silent", true)
		}
	}
	if !w.probes { // nobody may ask it: time alone lets it be tried again
		w.comeBack(true)
	}
	if past := w.now - w.probedAt; w.recheck && past >= beat || longest > 0 && past >= max(patience, longest) ||
		w.aside && w.now >= w.asideTill && past >= asideFirst/2 {
		w.recheck = false
		w.probe()
	}
}

func (k *desk) read(note any) {
	switch n := note.(type) {
	case *card:
		k.post(n)
		k.copies = append(k.copies, n)
	case begun:
		k.starts.add(n.atOnce)
	case figure:
		k.slots.add(float64(n))
	case pair:
		k.gaps.add(n.gap)
		k.changes.add(n.changed)
	case stuck:
		if j := &k.invs[n.inv]; !j.done && n.fwd < len(j.tries) {
			j.tries[n.fwd].stuck = true
			k.again(n.inv)
		}
	case tick:
		k.watch()
	case asked:
		k.toAsk = append(k.toAsk, n)
	case look:
		k.begin()
	case choose:
		k.choose()
	case about:
		switch e := n.event.(type) {
		case Arrival:
			k.take(n.inv, e)
		case MigratedIn:
			k.resume(n.inv, e)
		case MigratedOut:
			k.pass(n.inv)
		case Outcome:
			k.ended(n, e)
		case ResponseStarted:
			k.land(n.inv, e.Attempt)
		case ClientDisconnected:
			k.land(n.inv, -1)
		}
	}
}

// post keeps the board, and the pool within its size.
func (k *desk) post(n *card) {
	n.showPace(k.paced, k.all)
	k.enter(n)
	for n := 0; len(k.pool) > int(k.size) && n < len(k.pool); {
		if c := k.current(k.pool[n]); c.lot >= crowd || c.warmth == 1 {
			k.leave(n)
		} else if n++; k.now > c.seen+reach/4 { // we are one of few that may use it
			k.door.list[c.at].worker.put(ask{k.all, false})
		}
	}
}

// watch lets only those workers look at the time that matter now: its cost must not grow with the fleet.
func (k *desk) watch() {
	rate := probeFloor + k.each*float64(len(k.arrivals))/max(0.1, k.now.Seconds()-k.arrivals[0])
	k.size = max(few, min(k.size, rate*reach.Seconds()))
	k.credit += probeFloor * (k.now - k.creditAt).Seconds()
	round := k.now >= k.viewed+beat
	// Best when an invocation comes, as figures are worth most while they are young; else a few each second.
	if k.creditAt = k.now; k.comes || k.credit >= probeFloor {
		for k.comes = false; k.credit >= 1; k.credit-- {
			k.door.put(wanted{-1, -1, -1, 0, false, round, k.all})
		}
		if k.all.learn {
			k.left = k.now
		}
	}
	if !round {
		return
	}
	if k.viewed = k.now; k.now >= k.learned+5*beat {
		k.learn()
		k.rerank()
	}
	k.door.put(look{})
}

func (k *desk) learn() { // of the middle, as the queue of one that hangs would drag a mean down
	var service samples
	for _, at := range k.pool {
		if c := k.board[at]; c.known {
			service.add(c.service)
		}
	}
	// Few reports a second can't show where room is: while some of what we send starts at once, it is somewhere.
	slots := k.slots.at(0.5)
	if k.starts.mean() > startPart && (k.asks == 0 || len(k.slots) < sampleCount) {
		slots = max(1, slots)
	}
	k.learned, k.all = k.now, view{run: cmp.Or(k.runs.mean(), 1), learn: len(k.gaps) < sampleCount/2,
		usual: slots, service: service.at(0.5),
		lag: seconds(lagTimes * (patience.Seconds() + k.gaps.sum()) / (1 + k.changes.sum()))}
}

func (k *desk) take(i int, a Arrival) {
	o, j := &k.ops[min(a.Operation, len(k.ops)-1)], &k.invs[i]
	*j = inv{id: a.Invocation, op: a.Operation, tenant: a.Tenant, came: k.now, givenUp: k.now + a.Budget,
		work: cmp.Or(max(0, a.Hint), o.sizes.mean(), 1), slots: max(1, a.Slots), tries: j.tries[:0]}
	// What is left of a later try tells how long its client has waited. One that waits for less than others from
	// the first looks the same: neither is refused for that, both go behind.
	o.most = max(o.most, a.Budget)
	j.first = k.now - (o.most - a.Budget)
	k.jobs, o.came = k.jobs+1, o.came+1
	if a.Tenant < len(k.tenants) {
		k.tenants[a.Tenant].came.add(k.now.Seconds())
	}
	k.arrivals.add(k.now.Seconds())
	if !slices.ContainsFunc(k.pool, func(at int) bool { return k.current(at).sure(j) }) {
		for range min(k.asks, len(k.door.order)) {
			k.door.put(wanted{-1, -1, -1, 0, true, false, k.all})
		}
	}
	if k.comes = true; k.asks == 0 && k.credit+probeFloor*(k.now-k.creditAt).Seconds() < 1 { // floor's are spent
		k.credit += k.each
	}
	k.hold(i)
}

func (k *desk) hold(i int) {
	j := &k.invs[i]
	j.size = j.work * (1 + spreadTimes*k.ops[j.op].ratios.spread())
	j.cost = k.expectedCost(j)
	k.rank(j)
	at := sort.Search(len(k.held), func(n int) bool { return k.invs[k.held[n]].rank < j.rank })
	k.held = slices.Insert(k.held, at, i)
}

// expectedCost is what an invocation counts for at a cold worker. All hints may be far off, which only results show: until there is one of its
// operation, and no worker has reported how long anything runs, they count several times.
func (k *desk) expectedCost(j *inv) float64 {
	measured := k.ops[j.op].rough
	if len(measured) == 0 && k.all.service == 0 {
		return j.work * unmeasuredTimes
	}
	return j.work * max(1, measured.mean())
}

// rank is weight over size: of what an answer still brings, less once late or beyond its tenant's share.
func (k *desk) rank(j *inv) {
	o := &k.ops[j.op]
	worth := o.weight
	if k.tardy(j, j.first) {
		worth, j.spare = worth*cmp.Or(o.lateValue, 1)/gives, 1 // it may have what is left over
	}
	if j.tenant < len(k.tenants) && len(k.tenants[j.tenant].came) > 0 { // or known only since
		t := &k.tenants[j.tenant]
		rate := k.peers * float64(len(t.came)) / max(0.1, k.now.Seconds()-t.came[0])
		within := min(1, t.QuotaPerSecond/rate)
		worth *= within + (1-within)*k.excess
	}
	if j.op == k.worst { // while work is lost it counts twice, by its part
		worth *= 1 + k.worstPart/max(0.01, o.weight*o.came/k.asked)
	}
	j.weight, j.rank = worth, worth/j.size
}

func (k *desk) rerank() {
	k.asked, k.worst = 0, -1
	least, most := servedWell, 0.0
	for i := range k.ops {
		o := &k.ops[i]
		k.asked += o.weight * o.came
		served := o.served.mean()
		if most = max(most, served); len(o.served) > 0 && served < least {
			least, k.worst = served, i
		}
	}
	if least > most-0.1 {
		k.worst = -1
	}
	for _, i := range k.held {
		k.rank(&k.invs[i])
	}
	slices.SortStableFunc(k.held, func(a, b int) int { return cmp.Compare(k.invs[b].rank, k.invs[a].rank) })
}

func (k *desk) again(i int) {
	j := &k.invs[i]
	hope := slices.ContainsFunc(j.tries, func(t tried) bool { return t.out && !t.stuck })
	if j.done || hope || slices.Contains(k.held, i) {
		return
	}
	if k.survey(); k.may(j) && !k.hopeless(j) {
		k.hold(i)
	} else {
		k.giveUp(i)
	}
}

// may tells whether the effect class and the limits allow one more forward.
func (k *desk) may(j *inv) bool {
	o := &k.ops[j.op]
	out, first := j.live()
	return len(j.tries) < k.mostForwards && out < k.mostOut && j.unfit < unfitMost && (first == nil ||
		o.effect == Idempotent || o.effect == Deduplicated && k.now < first.sent+o.window)
}

// slack is how long an invocation may wait, from its first try, before a worker of that pace is too late.
func (k *desk) slack(j *inv, pace float64) time.Duration {
	o := &k.ops[j.op]
	return o.objective + seconds(waitShare*j.work*(hintLow*o.stretch-pace))
}

// tardy: it has waited too long for any worker; not before the plain objective, as paces may be wrong.
func (k *desk) tardy(j *inv, since time.Duration) bool {
	most := k.ops[j.op].objective
	if len(k.pool) > 0 {
		most = max(most, k.slack(j, k.sums.fastest))
	}
	return k.now-since > most
}

// hopeless: nothing is to be earned any more, as it would be late, or not done before its client gives up.
func (k *desk) hopeless(j *inv) bool {
	left := j.givenUp - k.now
	return left <= 2*beat || k.tardy(j, j.came) && !k.ops[j.op].late ||
		k.tardy(j, j.first) && left <= seconds(j.work*k.sums.fastest)
}

func (k *desk) giveUp(i int) {
	j := &k.invs[i]
	o := &k.ops[j.op]
	k.why[j.id] = k.reason(j)
	switch out, first := j.live(); {
	case out > 0: // it may still be answered
		k.unhold(i)
		return
	case j.unfit < unfitMost && (first == nil || o.effect == Idempotent ||
		o.effect == Deduplicated && o.scope == ScopeAll):
		// Those that many schedulers turn away at one moment would all come back at one moment.
		k.do(Throttle{j.id, k.after*3/5 + time.Duration(k.rng.Int63n(int64(k.after)*2/5+1))})
	default:
		k.do(Fail{j.id})
	}
	k.land(i, -1)
}

func (k *desk) land(i, but int) {
	j := &k.invs[i]
	if o := &k.ops[j.op]; !j.done && but != landed {
		o.served.add(0)
	} else if !j.done && k.now-j.came > o.objective+seconds(o.stretch*j.work) {
		o.served.add(o.lateValue)
	} else if !j.done {
		o.served.add(1)
	}
	k.unhold(i)
	j.over = true
	for f, t := range j.tries {
		if t.out && !j.done && f != but && k.cancels {
			k.do(Cancel{j.id, f})
		}
		j.over = j.over && !t.out
	}
	if j.done = true; j.over {
		k.spare = append(k.spare, i)
		k.door.put(freed{j.id})
	}
}

func (k *desk) ended(n about, e Outcome) {
	j := &k.invs[n.inv]
	if e.Attempt >= len(j.tries) || !j.tries[e.Attempt].out {
		return
	}
	t, o := &j.tries[e.Attempt], &k.ops[j.op]
	t.out, t.ran = false, e.Result != Rejected && e.Result != Unreachable && e.Result != NotSent
	key := [3]int{t.at, j.op, j.tenant}
	switch e.Result {
	case BadRequest: // its own fault or the worker's: the next worker's word tells which
		t.unfit, j.unfit = true, j.unfit+1
	case Succeeded:
		for _, t := range j.tries {
			if t.unfit {
				k.door.list[t.at].worker.put(blamed{})
			}
		}
		delete(k.refused, key)
		o.sizes.add(n.ran.Seconds())
		o.ratios.add(n.ran.Seconds() / j.work)
		k.runs.add(n.ran.Seconds())
		c := k.current(t.at)
		o.rough.add(n.ran.Seconds() / (j.work * c.pace))
		if c.warmth == 1 {
			paces := k.paces[c.kind]
			paces.add(n.ran.Seconds() / j.work)
			k.paces[c.kind] = paces
			k.setPaced(c.kind, paces.at(0.5))
		}
	case Rejected, Unreachable:
		// One that turns a tenant away while its probes show room would draw its top invocation for ever.
		span := min(max(2*k.refused[key][1], asideFirst/8), asideMost)
		k.refused[key] = [2]time.Duration{k.now + span, span}
	}
	if j.done || e.Answered || e.Result == Succeeded {
		k.land(n.inv, landed)
	} else if k.now < j.givenUp && e.Result != NotSent {
		k.again(n.inv)
	} else {
		k.giveUp(n.inv)
	}
}

// choose is the design's step: running set, release in rank order, clones from what room is left.
func (k *desk) choose() {
	total, above, running := 0.0, 0.0, []int(nil)
	for n, i := range k.held {
		if total += k.invs[i].weight; n == 0 {
			k.survey()
		}
	}
	asking := slices.ContainsFunc(k.pool, func(at int) bool { return k.board[at].asking })
	for n := 0; n < len(k.held); {
		i := k.held[n]
		j := &k.invs[i]
		inSet := above < epsilon*total
		above += j.weight
		if !k.may(j) || k.hopeless(j) { // what it was held for may have passed since, or the limits changed
			k.giveUp(i)
		} else if asking && k.now < j.came+beat {
			n++
		} else if at, _ := k.pick(j); at >= 0 {
			k.send(i, at)
			if inSet && k.ops[j.op].effect == Idempotent && len(j.tries) == 1 {
				running = append(running, i)
			}
		} else {
			k.grow(j)
			n++
		}
	}
	k.clone(running)
	next := k.now + seconds(max(0, 1-k.credit/probeFloor))
	if len(k.held) > 0 || k.now < k.left+2*beat {
		next = min(next, k.now+beat)
	} else if len(k.busy) > 0 {
		next = min(next, k.now+patience/3)
	}
	k.door.put(alarm{next})
}

func (k *desk) clone(running []int) {
	slices.SortStableFunc(running, func(a, b int) int { return cmp.Compare(k.invs[b].weight, k.invs[a].weight) })
	for _, i := range running {
		at, roomy := k.pick(&k.invs[i])
		if len(k.held) > 0 || !roomy || k.clones+1 >= cloneShare*k.jobs || !k.may(&k.invs[i]) {
			return
		}
		if at >= 0 && k.board[at].fresh > sureFresh { // clones would spawn on the phantom room of late reports
			k.clones++
			k.send(i, at)
		}
	}
}

// grow adds a worker when those of the pool are all busy, ever more rarely, as the whole fleet may be.
func (k *desk) grow(j *inv) {
	if k.now >= j.askAt {
		j.askAt = k.now + 2*beat + 2*(k.now-j.came)
		k.size++
		for range max(1, k.asks/2) {
			k.door.put(k.wants(j))
		}
	}
}

// wants tells which workers may have an invocation next; its first forward that may have run fixes the group.
func (k *desk) wants(j *inv) wanted {
	o, w := &k.ops[j.op], wanted{k.ops[j.op].kind, -1, -1, 0, k.tells, false, k.all}
	if _, first := j.live(); first != nil && o.effect == Deduplicated {
		w.until = first.sent + o.window
		w.zone, w.cell = o.group(first)
	}
	return w
}

func (k *desk) send(i, at int) {
	j, c := &k.invs[i], &k.board[at].card
	k.unhold(i)
	k.do(Forward{j.id, k.door.list[at].Worker, k.wants(j).until})
	j.tries = append(j.tries, tried{at: at, zone: c.zone, cell: c.cell, sent: k.now, out: true})
	k.left = k.now
	c.room, c.mine, c.ours, c.spent = c.room-j.slots, c.mine+j.slots, c.ours+j.slots, c.spent+j.cost
	k.door.list[at].worker.put(sent{errand{inv: i, fwd: len(j.tries) - 1, slots: j.slots, work: j.work,
		cost: j.cost, sent: k.now}})
}

// survey looks over the pool once for all that is decided at one moment, as time for decisions may be short.
func (k *desk) survey() {
	k.sums, k.free = survey{fastest: math.Inf(1)}, k.free[:0]
	told := k.asks > 0 && k.now < k.door.answered+upToDate
	for _, at := range k.pool {
		c, s := k.current(at), &k.sums
		if s.pooled, s.mine, s.fastest = s.pooled+1, s.mine+c.mine, min(s.fastest, c.pace); c.known {
			s.known, s.room, s.usual = s.known+1, s.room+c.room, s.usual+c.mine
		}
		s.roomCount += max(0, min(1, math.Floor(c.room)))
		if told && !c.silent && c.fresh < freshLeast && c.warmth == 1 {
			continue // while keepers answer, what none of them has told of lately counts for nothing
		}
		if (!c.known || c.room+(1-c.fresh)*c.size*k.queue >= 1) && (c.warmth == 1 || k.warms(0, c)) {
			k.free = append(k.free, at)
		}
	}
}

// pick gives -1 where no room seems free. roomy: over half the pooled workers show room.
func (k *desk) pick(j *inv) (best int, roomy bool) {
	s, want := &k.sums, k.wants(j)
	best, roomy = -1, 2*s.roomCount > s.pooled
	if len(k.free) == 0 {
		return best, roomy
	}
	// Better held for one that can do it in time than sent to one that can't.
	waited, bestRoom, from := k.now-j.came, 0.0, k.rng.Intn(len(k.free))
	timely := len(j.tries) == 0 && want.kind < 0 && (k.ops[j.op].late || waited <= k.slack(j, s.fastest))
	latest := k.ops[j.op].objective + seconds(hintLow*k.ops[j.op].stretch*j.work) - waited
	for n := range k.free {
		at := k.free[(from+n)%len(k.free)]
		c := &k.board[at].card
		if !want.suits(c.kind, c.zone, c.cell) || !k.fits(j, at, c) {
			continue
		}
		has := c.room
		if s.known == 0 { // no figure of free slots anywhere: the workers where we have least, up to the mean
			if has = j.slots + math.Floor(s.mine/s.pooled-c.mine); c.full {
				has = 0 // nor where the last answer was full
			}
		} else if !c.known { // new to the pool: it counts at the mean
			has = math.Round((s.room+s.usual)/s.known - c.mine)
		}
		left := k.slack(j, c.pace) - waited
		inTime := k.ops[j.op].late || left >= 0
		// Figures that come late show no room that has been free for less: work that can wait may queue there.
		seat := has + k.queue*(1-c.fresh)*c.size*max(0, min(1, left.Seconds()/k.all.run))
		if seat < j.slots+j.spare || timely && !inTime {
			continue
		}
		if seconds(j.work*c.pace*sureTimes) <= latest {
			has += few * few // before those that may be too slow
		}
		if c.sure(j) {
			has += few // what others tell of theirs may be taken by the time that we are there
		}
		if c.zone == k.zone {
			has += 0.5 // among equals the own zone, then the faster one
		}
		if best < 0 || has > bestRoom || has == bestRoom && c.pace < k.board[best].pace {
			best, bestRoom = at, has
		}
	}
	return best, roomy
}

func (c *card) sure(j *inv) bool { return c.kept && c.warmth == 1 && c.room >= j.slots } // we know

func (k *desk) fits(j *inv, at int, c *card) bool {
	spared := len(k.refused) > 0 && k.refused[[3]int{at, j.op, j.tenant}][0] > k.now
	return !spared &&
		!(c.trial && (c.ours > 0 || k.ops[j.op].effect == NonIdempotent && k.now < c.back+awaySpan)) &&
		!slices.ContainsFunc(j.tries, func(t tried) bool { return t.at == at && (t.out || t.ran) }) &&
		(c.warmth == 1 || k.warms(j.cost, c))
}

// warms tells whether a cold worker may get an invocation if all others send too. All share its budget evenly
// where an even part holds a few usual runs. Else a lot names those that share it: two have a third each, as
// most work is heavy and even parts would hold none; others, twice as many as keep it busy, the last third.
func (k *desk) warms(cost float64, c *card) bool {
	// Its first runs may be quick and it still unable to bear as many: its kind's usual pace is the least.
	able := max(1, c.size) / max(c.pace, cmp.Or(k.paced[c.kind], 1)/c.warmth)
	budget, run := k.budget*able, cmp.Or(k.all.run, 1)
	if float64(c.lot) < k.peers && (k.peers <= crowd || budget >= coldRuns*run*k.peers) {
		return k.peers*(c.spent+cost) <= evenPart*budget
	}
	// The work that we get a second, over all our time: a jump of the traffic must not name others in a moment.
	ours := run * max(1, k.jobs) / max(reach, k.now).Seconds()
	sharing := max(fewest, math.Floor(min(2*able/ours, 2+coldPart*budget/(3*coldRuns*run))))
	// Of each of the first two; the others share the last third. Of many runs chance bears less in proportion.
	part := min(coldPart*budget, budget+math.Sqrt(budget*run)) / 3
	if c.lot > 1 {
		part /= max(1, min(sharing, k.peers)-2)
	}
	return float64(c.lot) < min(sharing, k.peers) && c.spent+cost <= part
}
