package dispatch

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// Many schedulers share one list in virtual time while workers start cold under a burst. What a cold worker gets in any
// span of the settings' length, from all of them, is held against what it bears: N + 2 root N + 2 requests of mean work.

var (
	coldSeeds = flag.Int("cold.seeds", 1, "seeds of each row of TestColdFleet")
	coldFirst = flag.Int("cold.first", 0, "seeds that it passes over")
	coldRows  = flag.String("cold.rows", "", "only rows with this in their name and number of schedulers")
)

// coldRow is one trouble. told is the number of schedulers that each is told, as a part of the true one.
type coldRow struct {
	name         string
	schedulers   int
	told         float64
	fresh        bool    // half of the schedulers start anew as the workers do
	rough        bool    // hints are off by up to ten, either way, each on its own
	bias         float64 // all hints are off by this
	slow         float64 // the cold workers' pace; the settings don't know it
	lost         bool    // three probes in ten are lost, the rest come late, with reports 0.5 s old
	unnumbered   bool    // schedulers aren't told their own number
	tells, mixed bool    // they may tell one another; only every other one is told wrongly
	wide         bool    // small requests, large workers: N is large
}

// frozen is how long reports that show all free are shown, in seconds.
const frozen = 1000

// rate is how many requests a second come at most before the burst, and how many to a scheduler.
const rate, each = 200, 4

// hard are the sites of the first seeds: N is about 1, 5, 10 and 20; all is frozen and most is cold. The rest is drawn.
var hard = []struct {
	cores int
	mean  float64
}{{2, 0.6}, {4, 0.25}, {8, 0.25}, {16, 0.25}}

type coldEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type coldQueue []coldEvent

func (q coldQueue) Len() int { return len(q) }

func (q coldQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q coldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *coldQueue) Push(e any) { *q = append(*q, e.(coldEvent)) }

func (q *coldQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type coldSend struct {
	at   time.Duration
	work float64
}

type coldWorker struct {
	entry         Endpoint
	slow          float64 // times the usual running time
	running       int
	waiting       []func()
	sends         []coldSend
	shown         LoadReport
	shownAt       time.Duration
	served, spent float64
}

type coldScheduler struct {
	d     *Dispatcher
	start time.Duration
	wake  time.Duration
	life  int
	jobs  map[InvocationID]float64
}

// coldFleet is the whole world of one play.
type coldFleet struct {
	coldRow
	rng        *rand.Rand
	now        time.Duration
	queue      coldQueue
	seq        int
	dep        Config
	cores      int
	mean, load float64
	burst      float64       // of the load that all would bear warm
	late       time.Duration // how old reports are; those of frozen ones show all free for ever
	list       []*coldWorker
	at         map[WorkerID]*coldWorker
	schedulers []*coldScheduler
	inv        InvocationID
	cold       int // workers that start cold
}

func (f *coldFleet) after(wait time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, coldEvent{f.now + wait, f.seq, do})
}

// warmth is a worker's part of its capacity: it starts at the least that the settings name.
func (f *coldFleet) warmth(w *coldWorker, at time.Duration) float64 {
	age := at - w.entry.StartedAt
	if !w.entry.StartKnown || age >= f.dep.Rules.SlowStartDuration {
		return 1
	}
	from := f.dep.Rules.SlowStartFrom
	return from + (1-from)*max(0, age.Seconds()/f.dep.Rules.SlowStartDuration.Seconds())
}

func newColdFleet(row coldRow, seed int64) *coldFleet {
	f := &coldFleet{coldRow: row, rng: rand.New(rand.NewSource(seed)), at: map[WorkerID]*coldWorker{}}
	pick := func(from ...float64) float64 { return from[f.rng.Intn(len(from))] }
	f.cores, f.mean, f.load = int(pick(2, 4, 8, 16)), pick(0.1, 0.25, 0.6), pick(0.5, 0.65, 0.8)
	f.burst, f.late = pick(1, 1.5, 2), seconds(pick(0, 0.5, frozen))
	if f.dep = shop(); f.lost {
		f.late = 500 * ms
	}
	if f.wide {
		f.cores, f.mean = int(pick(16, 32)), pick(0.1, 0.15)
	}
	f.dep.Rules.SlowStartFrom, f.dep.Rules.OverloadWindow = pick(0.13, 0.3), seconds(pick(1, 1.5, 3))
	f.dep.Rules.OverloadFactor, f.dep.Rules.SlowStartDuration = pick(2.5, 4), seconds(pick(9, 23))
	f.dep.Operations = f.dep.Operations[:1]
	f.dep.Operations[0].LatencyObjective, f.dep.Operations[0].LateWeight = time.Second, 0.3
	f.dep.Schedulers, f.dep.Limits.Gossip = max(1, int(math.Round(f.told*float64(f.coldRow.schedulers)))), f.tells
	part := pick(0, 0.15, 0.35, 0.6)
	if h := hard[(seed-1)%int64(len(hard))]; seed <= 2*int64(len(hard)) {
		if f.burst, f.load, part, f.late = 1.2, 0.8, 0.6, seconds(frozen); !f.wide {
			f.cores, f.mean = h.cores, h.mean
		}
		f.dep.Rules.SlowStartFrom, f.dep.Rules.OverloadFactor, f.dep.Rules.OverloadWindow = 0.13, 2.5, time.Second
	}
	workers := max(9, min(150, int(max(rate, each*float64(row.schedulers))*f.mean/f.load)/f.cores))
	for n := range workers {
		f.add(n, false)
	}
	f.cold = max(1, int(part*float64(workers)))
	for range row.schedulers {
		f.schedulers = append(f.schedulers, &coldScheduler{})
	}
	return f
}

func (f *coldFleet) add(n int, cold bool) {
	id := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
	w := &coldWorker{slow: 1, entry: Endpoint{Worker: id, Zone: n % 3, Cell: n % 3, State: Ready}}
	if cold {
		w.entry.StartKnown, w.entry.StartedAt, w.entry.Incarnation = true, f.now, f.rng.Uint64()
		w.slow = cmp.Or(f.slow, 1)
	}
	f.list, f.at[id] = append(f.list, w), w
}

// begin starts a scheduler, or starts it anew: what it had in hand is forgotten.
func (f *coldFleet) begin(n int) {
	s, dep := f.schedulers[n], f.dep
	if dep.Index, dep.Zone = n, n%3; f.unnumbered {
		dep.Index = -1
	}
	if f.mixed && n%2 == 0 {
		dep.Schedulers = len(f.schedulers)
	}
	*s = coldScheduler{d: New(dep, f.rng.Int63()), start: f.now, life: s.life + 1, jobs: map[InvocationID]float64{}}
	f.hand(n, f.whole(s))
}

// whole is the list with its times told as since that scheduler's start.
func (f *coldFleet) whole(s *coldScheduler) EndpointUpdate {
	l := EndpointUpdate{Kind: FullUpdate}
	for _, w := range f.list {
		e := w.entry
		e.StartedAt -= s.start
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// tell hands an event to the same life of a scheduler later; a message goes by its number alone.
func (f *coldFleet) tell(n int, wait time.Duration, e Event) {
	life := f.schedulers[n].life
	f.after(wait, func() {
		if _, message := e.(GossipReceived); message || f.schedulers[n].life == life {
			f.hand(n, e)
		}
	})
}

func (f *coldFleet) hand(n int, e Event) {
	s := f.schedulers[n]
	wire := time.Duration(200+f.rng.Intn(800)) * time.Microsecond
	for _, action := range s.d.Handle(f.now-s.start, []Event{e}) {
		switch a := action.(type) {
		case Forward:
			f.forward(n, a, wire)
		case HealthCheck:
			w, wait := f.at[a.Worker], 2*wire
			if f.lost {
				wait += time.Duration(f.rng.Intn(300)) * ms
			}
			if f.lost && f.rng.Float64() < 0.3 {
				f.tell(n, 300*ms, HealthCheckResult{Worker: a.Worker, Result: TimedOut, Latency: 300 * ms})
			} else {
				f.tell(n, wait, HealthCheckResult{Worker: a.Worker, Result: Succeeded, Latency: wait, Load: f.report(w)})
			}
		case SetTimer:
			if s.wake = a.At; true {
				at := a.At
				f.after(a.At-(f.now-s.start), func() {
					if f.schedulers[n].wake == at {
						f.hand(n, TimerFired{})
					}
				})
			}
		case SendGossip:
			for to := range f.schedulers {
				if to == a.To || a.To < 0 && to != n {
					f.tell(to, wire, GossipReceived{From: n, Entries: a.Entries})
				}
			}
		case Throttle:
			delete(s.jobs, a.Invocation)
		case Fail:
			delete(s.jobs, a.Invocation)
		}
	}
}

func (f *coldFleet) report(w *coldWorker) *LoadReport {
	if w.shownAt > 0 && f.now < w.shownAt+f.late {
		shown := w.shown
		return &shown
	}
	load := UnknownLoad
	load.FreeSlots, load.Queued = float64(f.cores-w.running), float64(len(w.waiting))
	load.InFlight, load.Busy = load.Queued+float64(w.running), float64(w.running)
	if w.served > 0 {
		load.ServiceTime = w.spent / w.served
	}
	w.shown, w.shownAt = load, f.now
	return &load
}

func (f *coldFleet) forward(n int, a Forward, wire time.Duration) {
	w, s := f.at[a.Worker], f.schedulers[n]
	work, known := s.jobs[a.Invocation]
	if !known {
		panic(fmt.Sprintf("%d was sent after its end", a.Invocation))
	}
	w.sends = append(w.sends, coldSend{f.now, work})
	out := Outcome{Invocation: a.Invocation, Worker: a.Worker, Attempt: a.Forward(s), Result: Rejected}
	if len(w.waiting) >= 2*f.cores {
		out.Load = f.report(w)
		f.tell(n, 2*wire, out)
		return
	}
	run := func() {
		took := seconds(work * w.slow / f.warmth(w, f.now))
		w.running++
		f.after(took, func() {
			w.running--
			w.served, w.spent = w.served+1, w.spent+took.Seconds()
			if len(w.waiting) > 0 {
				next := w.waiting[0]
				w.waiting = w.waiting[1:]
				next()
			}
			out.Result, out.Answered, out.Load = Succeeded, true, f.report(w)
			f.tell(n, wire, out)
		})
	}
	if w.running < f.cores {
		run()
	} else {
		w.waiting = append(w.waiting, run)
	}
}

// Forward's number among those of its invocation.
func (a Forward) Forward(s *coldScheduler) int {
	return len(s.d.scheduler.invocations[s.d.invocationIndex[a.Invocation]].attempts) - 1
}

// arrive has one request come to some scheduler, and the next one after it.
func (f *coldFleet) arrive(burst, until time.Duration) {
	rate := f.load * float64(f.cores*len(f.list)) / f.mean
	if f.now >= burst {
		rate *= float64(len(f.list)-f.cold) / float64(len(f.list)) * f.burst
	}
	if f.after(seconds(f.rng.ExpFloat64()/rate), func() { f.arrive(burst, until) }); f.now > until {
		f.queue = f.queue[:0]
		return
	}
	const spread = 0.8 // lognormal: the deviation is about the mean
	work := f.mean * math.Exp(spread*f.rng.NormFloat64()-spread*spread/2)
	hint := work * cmp.Or(f.bias, 1)
	if f.rough { // off by 4.7 times for one in twenty, by ten for one in a hundred
		hint *= math.Exp(max(-math.Log(10), min(math.Log(10), 0.85*f.rng.NormFloat64())))
	}
	n := f.rng.Intn(len(f.schedulers))
	f.inv++
	f.schedulers[n].jobs[f.inv] = work
	f.hand(n, Arrival{Invocation: f.inv, Hint: hint, Slots: 1, Budget: 2 * time.Second})
}

// play gives the largest sum that one cold worker got in a span, in requests of mean work, with the bound at that moment
// and N; and what all cold ones did, as a part of what they could do by the end.
func (f *coldFleet) play() (worst, bound, n, used float64) {
	for i := range f.schedulers {
		f.begin(i)
	}
	const start = 4 * time.Second
	until := start + 3*time.Second
	f.after(0, func() { f.arrive(start, until) })
	f.after(start, func() {
		warm := len(f.list)
		for i := range f.cold {
			f.add(warm+i, true)
			f.list[i].entry.State = Draining // the new one takes its place
		}
		for i, s := range f.schedulers {
			if f.fresh && i%2 == 1 {
				f.begin(i)
			} else {
				f.tell(i, time.Duration(f.rng.Intn(500))*ms, f.whole(s))
			}
		}
	})
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(coldEvent)
		f.now = e.at
		e.do()
	}
	done, could := 0.0, 0.0
	for _, w := range f.list {
		if !w.entry.StartKnown {
			continue
		}
		sum, from := 0.0, 0
		for _, s := range w.sends {
			sum += s.work / f.mean
			done += s.work * w.slow
			for ; w.sends[from].at <= s.at-f.dep.Rules.OverloadWindow; from++ {
				sum -= w.sends[from].work / f.mean
			}
			able := float64(f.cores) * f.warmth(w, s.at) / w.slow
			calls := f.dep.Rules.OverloadFactor * f.dep.Rules.OverloadWindow.Seconds() * able / f.mean
			if most := calls + 2*math.Sqrt(calls) + 2; bound == 0 || sum/most > worst/bound {
				worst, bound, n = sum, most, calls
			}
		}
		for at := start; at < until; at += 100 * ms {
			could += float64(f.cores) * f.warmth(w, at) * 0.1
		}
	}
	return worst, cmp.Or(bound, 1), n, done / could
}

// blind is the row in which nothing that a scheduler has seen by then shows how far all hints are off.
const blind = "hints a tenth, half new"

func TestColdFleet(t *testing.T) { playCold(t, func(r coldRow) bool { return r.name != blind }) }

func TestColdFleetBlind(t *testing.T) { playCold(t, func(r coldRow) bool { return r.name == blind }) }

// playCold plays the rows of one test. A row's seeds go by its place among all.
func playCold(t *testing.T, plays func(coldRow) bool) {
	var rows []coldRow
	for _, m := range []int{1, 6, 7, 20, 30, 300} {
		rows = append(rows, coldRow{name: "plain", schedulers: m, told: 1},
			coldRow{name: "rough hints, half new", schedulers: m, told: 1, rough: true, fresh: true})
	}
	for _, m := range []int{7, 30, 300} {
		rows = append(rows, coldRow{name: "rough hints", schedulers: m, told: 1, rough: true},
			coldRow{name: "half new", schedulers: m, told: 1, fresh: true},
			coldRow{name: "large N", schedulers: m, told: 1, wide: true, rough: true},
			coldRow{name: "probes lost", schedulers: m, told: 1, lost: true, rough: true},
			coldRow{name: "slow for their kind", schedulers: m, told: 1, slow: 2},
			coldRow{name: "the same, half new", schedulers: m, told: 1, slow: 2, fresh: true},
			coldRow{name: "hints a tenth", schedulers: m, told: 1, bias: 0.1},
			coldRow{name: "hints tenfold", schedulers: m, told: 1, bias: 10},
			coldRow{name: blind, schedulers: m, told: 1, bias: 0.1, fresh: true},
			coldRow{name: "no own number", schedulers: m, told: 1, unnumbered: true})
	}
	for _, m := range []int{20, 30, 300} {
		for _, told := range []float64{0.1, 0.5, 2, 10} {
			rows = append(rows, coldRow{name: fmt.Sprintf("told %v", told), schedulers: m, told: told})
		}
		rows = append(rows, coldRow{name: "told 0.1, half new", schedulers: m, told: 0.1, rough: true, fresh: true},
			coldRow{name: "told 0.1, every other", schedulers: m, told: 0.1, mixed: true},
			coldRow{name: "told 0.1, tells", schedulers: m, told: 0.1, tells: true})
	}
	passed := func(r coldRow) bool {
		return !plays(r) || !strings.Contains(fmt.Sprintf("%s, %d schedulers", r.name, r.schedulers), *coldRows)
	}
	type result struct {
		worst, bound, n, share, used, mean float64
		seed                               int64
		over                               int
	}
	results := make([]result, len(rows))
	var wait sync.WaitGroup
	room := make(chan struct{}, 4)
	for i, row := range rows {
		if passed(row) {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			room <- struct{}{}
			defer func() { <-room }()
			r := &results[i]
			for n := range int64(*coldSeeds) {
				seed := n + int64(*coldFirst) + int64(i)%max(1, int64(len(hard)-*coldSeeds+1)) // short runs differ by row
				worst, bound, n, used := newColdFleet(row, seed+1).play()
				if r.used += used / float64(*coldSeeds); worst/bound > r.share {
					r.worst, r.bound, r.n, r.share, r.seed = worst, bound, n, worst/bound, seed+1
				}
				if r.mean += worst / bound / float64(*coldSeeds); worst > bound {
					r.over++
				}
			}
		}()
	}
	wait.Wait()
	t.Logf("%-26s %10s %8s %8s %8s %8s %5s %6s %5s", "row", "schedulers", "worst", "bound", "N", "of it", "over", "mean", "used")
	for i, row := range rows {
		r := results[i]
		if passed(row) {
			continue
		}
		t.Logf("%-26s %10d %8.1f %8.1f %8.1f %8.2f %5d %6.2f %5.2f", row.name, row.schedulers, r.worst, r.bound, r.n,
			r.share, r.over, r.mean, r.used)
		if r.share > 1 {
			t.Errorf("%s, %d schedulers, seed %d: a cold worker got %.1f requests of mean work, and bears %.1f", row.name,
				row.schedulers, r.seed, r.worst, r.bound)
		}
	}
	if slices.IndexFunc(results, func(r result) bool { return r.used > 0 }) < 0 {
		t.Error("no cold worker got anything")
	}
}
