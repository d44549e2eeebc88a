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
	slowStartSeeds     = flag.Int("cold.seeds", 1, "seeds of each row of TestColdFleet")
	slowStartFirstSeed = flag.Int("cold.first", 0, "seeds that it passes over")
	slowStartFilter    = flag.String("cold.rows", "", "only rows with this in their name and number of schedulers")
)

// coldRow is one trouble. told is the number of schedulers that each is told, as a part of the true one.
type slowStartScenario struct {
	name                  string
	schedulers            int
	toldFactor            float64
	halfRestart           bool    // half of the schedulers start anew as the workers do
	roughHints            bool    // hints are off by up to ten, either way, each on its own
	hintFactor            float64 // all hints are off by this
	startingPace          float64 // the cold workers' pace; the settings don't know it
	checksLost            bool    // three probes in ten are lost, the rest come late, with reports 0.5 s old
	unnumbered            bool    // schedulers aren't told their own number
	gossip, halfToldRight bool    // they may tell one another; only every other one is told wrongly
	largeWorkers          bool    // small requests, large workers: N is large
}

// frozen is how long reports that show all free are shown, in seconds.
const frozenReportAge = 1000

// rate is how many requests a second come at most before the burst, and how many to a scheduler.
const burstRate, ratePerScheduler = 200, 4

// hard are the sites of the first seeds: N is about 1, 5, 10 and 20; all is frozen and most is cold. The rest is drawn.
var hardCases = []struct {
	cores int
	mean  float64
}{{2, 0.6}, {4, 0.25}, {8, 0.25}, {16, 0.25}}

type scheduledCall struct {
	at       time.Duration
	sequence int
	do       func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *callQueue) Push(e any) { *q = append(*q, e.(scheduledCall)) }

func (q *callQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type slowStartSend struct {
	at   time.Duration
	work float64
}

type slowStartWorker struct {
	endpoint        Endpoint
	pace            float64 // times the usual running time
	running         int
	queued          []func()
	sends           []slowStartSend
	lastReport      LoadReport
	reportedAt      time.Duration
	served, runTime float64
}

type slowStartScheduler struct {
	dispatcher  *Dispatcher
	startedAt   time.Duration
	timerAt     time.Duration
	incarnation int
	work        map[InvocationID]float64
}

// coldFleet is the whole world of one play.
type slowStartSimulation struct {
	slowStartScenario
	rng             *rand.Rand
	now             time.Duration
	queue           callQueue
	sequence        int
	config          Config
	cores           int
	meanWork, load  float64
	burst           float64       // of the load that all would bear warm
	reportAge       time.Duration // how old reports are; those of frozen ones show all free for ever
	workers         []*slowStartWorker
	workersByID     map[WorkerID]*slowStartWorker
	schedulers      []*slowStartScheduler
	lastInvocation  InvocationID
	startingWorkers int // workers that start cold
}

func (s *slowStartSimulation) after(wait time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledCall{s.now + wait, s.sequence, do})
}

// warmth is a worker's part of its capacity: it starts at the least that the settings name.
func (s *slowStartSimulation) warmUpWeight(w *slowStartWorker, at time.Duration) float64 {
	age := at - w.endpoint.StartedAt
	if !w.endpoint.StartKnown || age >= s.config.Rules.SlowStartDuration {
		return 1
	}
	from := s.config.Rules.SlowStartFrom
	return from + (1-from)*max(0, age.Seconds()/s.config.Rules.SlowStartDuration.Seconds())
}

func newSlowStartSimulation(scenario slowStartScenario, seed int64) *slowStartSimulation {
	s := &slowStartSimulation{slowStartScenario: scenario, rng: rand.New(rand.NewSource(seed)), workersByID: map[WorkerID]*slowStartWorker{}}
	choose := func(from ...float64) float64 { return from[s.rng.Intn(len(from))] }
	s.cores, s.meanWork, s.load = int(choose(2, 4, 8, 16)), choose(0.1, 0.25, 0.6), choose(0.5, 0.65, 0.8)
	s.burst, s.reportAge = choose(1, 1.5, 2), seconds(choose(0, 0.5, frozenReportAge))
	if s.config = testConfig(); s.checksLost {
		s.reportAge = 500 * ms
	}
	if s.largeWorkers {
		s.cores, s.meanWork = int(choose(16, 32)), choose(0.1, 0.15)
	}
	s.config.Rules.SlowStartFrom, s.config.Rules.OverloadWindow = choose(0.13, 0.3), seconds(choose(1, 1.5, 3))
	s.config.Rules.OverloadFactor, s.config.Rules.SlowStartDuration = choose(2.5, 4), seconds(choose(9, 23))
	s.config.Operations = s.config.Operations[:1]
	s.config.Operations[0].LatencyObjective, s.config.Operations[0].LateWeight = time.Second, 0.3
	s.config.Schedulers, s.config.Limits.Gossip = max(1, int(math.Round(s.toldFactor*float64(s.slowStartScenario.schedulers)))), s.gossip
	startingPart := choose(0, 0.15, 0.35, 0.6)
	if hardCase := hardCases[(seed-1)%int64(len(hardCases))]; seed <= 2*int64(len(hardCases)) {
		if s.burst, s.load, startingPart, s.reportAge = 1.2, 0.8, 0.6, seconds(frozenReportAge); !s.largeWorkers {
			s.cores, s.meanWork = hardCase.cores, hardCase.mean
		}
		s.config.Rules.SlowStartFrom, s.config.Rules.OverloadFactor, s.config.Rules.OverloadWindow = 0.13, 2.5, time.Second
	}
	workers := max(9, min(150, int(max(burstRate, ratePerScheduler*float64(scenario.schedulers))*s.meanWork/s.load)/s.cores))
	for n := range workers {
		s.addWorker(n, false)
	}
	s.startingWorkers = max(1, int(startingPart*float64(workers)))
	for range scenario.schedulers {
		s.schedulers = append(s.schedulers, &slowStartScheduler{})
	}
	return s
}

func (s *slowStartSimulation) addWorker(number int, starting bool) {
	worker := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1)
	w := &slowStartWorker{pace: 1, endpoint: Endpoint{Worker: worker, Zone: number % 3, Cell: number % 3, State: Ready}}
	if starting {
		w.endpoint.StartKnown, w.endpoint.StartedAt, w.endpoint.Incarnation = true, s.now, s.rng.Uint64()
		w.pace = cmp.Or(s.startingPace, 1)
	}
	s.workers, s.workersByID[worker] = append(s.workers, w), w
}

// begin starts a scheduler, or starts it anew: what it had in hand is forgotten.
func (s *slowStartSimulation) startScheduler(number int) {
	scheduler, config := s.schedulers[number], s.config
	if config.Index, config.Zone = number, number%3; s.unnumbered {
		config.Index = -1
	}
	if s.halfToldRight && number%2 == 0 {
		config.Schedulers = len(s.schedulers)
	}
	*scheduler = slowStartScheduler{dispatcher: New(config, s.rng.Int63()), startedAt: s.now, incarnation: scheduler.incarnation + 1, work: map[InvocationID]float64{}}
	s.handle(number, s.fullUpdate(scheduler))
}

// whole is the list with its times told as since that scheduler's start.
func (s *slowStartSimulation) fullUpdate(scheduler *slowStartScheduler) EndpointUpdate {
	update := EndpointUpdate{Kind: FullUpdate}
	for _, w := range s.workers {
		e := w.endpoint
		e.StartedAt -= scheduler.startedAt
		update.Endpoints = append(update.Endpoints, e)
	}
	return update
}

// tell hands an event to the same life of a scheduler later; a message goes by its number alone.
func (s *slowStartSimulation) deliver(number int, wait time.Duration, event Event) {
	incarnation := s.schedulers[number].incarnation
	s.after(wait, func() {
		if _, isGossip := event.(GossipReceived); isGossip || s.schedulers[number].incarnation == incarnation {
			s.handle(number, event)
		}
	})
}

func (s *slowStartSimulation) handle(number int, event Event) {
	scheduler := s.schedulers[number]
	latency := time.Duration(200+s.rng.Intn(800)) * time.Microsecond
	for _, action := range scheduler.dispatcher.Handle(s.now-scheduler.startedAt, []Event{event}) {
		switch a := action.(type) {
		case Forward:
			s.forward(number, a, latency)
		case HealthCheck:
			w, wait := s.workersByID[a.Worker], 2*latency
			if s.checksLost {
				wait += time.Duration(s.rng.Intn(300)) * ms
			}
			if s.checksLost && s.rng.Float64() < 0.3 {
				s.deliver(number, 300*ms, HealthCheckResult{Worker: a.Worker, Result: TimedOut, Latency: 300 * ms})
			} else {
				s.deliver(number, wait, HealthCheckResult{Worker: a.Worker, Result: Succeeded, Latency: wait, Load: s.loadReport(w)})
			}
		case SetTimer:
			if scheduler.timerAt = a.At; true {
				at := a.At
				s.after(a.At-(s.now-scheduler.startedAt), func() {
					if s.schedulers[number].timerAt == at {
						s.handle(number, TimerFired{})
					}
				})
			}
		case SendGossip:
			for to := range s.schedulers {
				if to == a.To || a.To < 0 && to != number {
					s.deliver(to, latency, GossipReceived{From: number, Entries: a.Entries})
				}
			}
		case Throttle:
			delete(scheduler.work, a.Invocation)
		case Fail:
			delete(scheduler.work, a.Invocation)
		}
	}
}

func (s *slowStartSimulation) loadReport(w *slowStartWorker) *LoadReport {
	if w.reportedAt > 0 && s.now < w.reportedAt+s.reportAge {
		shown := w.lastReport
		return &shown
	}
	load := UnknownLoad
	load.FreeSlots, load.Queued = float64(s.cores-w.running), float64(len(w.queued))
	load.InFlight, load.Busy = load.Queued+float64(w.running), float64(w.running)
	if w.served > 0 {
		load.ServiceTime = w.runTime / w.served
	}
	w.lastReport, w.reportedAt = load, s.now
	return &load
}

func (s *slowStartSimulation) forward(number int, forward Forward, latency time.Duration) {
	w, scheduler := s.workersByID[forward.Worker], s.schedulers[number]
	work, known := scheduler.work[forward.Invocation]
	if !known {
		panic(fmt.Sprintf("%d was sent after its end", forward.Invocation))
	}
	w.sends = append(w.sends, slowStartSend{s.now, work})
	outcome := Outcome{Invocation: forward.Invocation, Worker: forward.Worker, Attempt: forward.Forward(scheduler), Result: Rejected}
	if len(w.queued) >= 2*s.cores {
		outcome.Load = s.loadReport(w)
		s.deliver(number, 2*latency, outcome)
		return
	}
	run := func() {
		elapsed := seconds(work * w.pace / s.warmUpWeight(w, s.now))
		w.running++
		s.after(elapsed, func() {
			w.running--
			w.served, w.runTime = w.served+1, w.runTime+elapsed.Seconds()
			if len(w.queued) > 0 {
				next := w.queued[0]
				w.queued = w.queued[1:]
				next()
			}
			outcome.Result, outcome.Answered, outcome.Load = Succeeded, true, s.loadReport(w)
			s.deliver(number, latency, outcome)
		})
	}
	if w.running < s.cores {
		run()
	} else {
		w.queued = append(w.queued, run)
	}
}

// Forward's number among those of its invocation.
func (a Forward) Forward(s *slowStartScheduler) int {
	return len(s.dispatcher.scheduler.invocations[s.dispatcher.invocationIndex[a.Invocation]].attempts) - 1
}

// arrive has one request come to some scheduler, and the next one after it.
func (s *slowStartSimulation) burstArrival(burstAt, end time.Duration) {
	arrivalRate := s.load * float64(s.cores*len(s.workers)) / s.meanWork
	if s.now >= burstAt {
		arrivalRate *= float64(len(s.workers)-s.startingWorkers) / float64(len(s.workers)) * s.burst
	}
	if s.after(seconds(s.rng.ExpFloat64()/arrivalRate), func() { s.burstArrival(burstAt, end) }); s.now > end {
		s.queue = s.queue[:0]
		return
	}
	const spread = 0.8 // lognormal: the deviation is about the mean
	work := s.meanWork * math.Exp(spread*s.rng.NormFloat64()-spread*spread/2)
	hint := work * cmp.Or(s.hintFactor, 1)
	if s.roughHints { // off by 4.7 times for one in twenty, by ten for one in a hundred
		hint *= math.Exp(max(-math.Log(10), min(math.Log(10), 0.85*s.rng.NormFloat64())))
	}
	number := s.rng.Intn(len(s.schedulers))
	s.lastInvocation++
	s.schedulers[number].work[s.lastInvocation] = work
	s.handle(number, Arrival{Invocation: s.lastInvocation, Hint: hint, Slots: 1, Budget: 2 * time.Second})
}

// play gives the largest sum that one cold worker got in a span, in requests of mean work, with the bound at that moment
// and N; and what all cold ones did, as a part of what they could do by the end.
func (s *slowStartSimulation) run() (worst, bound, n, used float64) {
	for i := range s.schedulers {
		s.startScheduler(i)
	}
	const start = 4 * time.Second
	until := start + 3*time.Second
	s.after(0, func() { s.burstArrival(start, until) })
	s.after(start, func() {
		warm := len(s.workers)
		for i := range s.startingWorkers {
			s.addWorker(warm+i, true)
			s.workers[i].endpoint.State = Draining // the new one takes its place
		}
		for i, scheduler := range s.schedulers {
			if s.halfRestart && i%2 == 1 {
				s.startScheduler(i)
			} else {
				s.deliver(i, time.Duration(s.rng.Intn(500))*ms, s.fullUpdate(scheduler))
			}
		}
	})
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(scheduledCall)
		s.now = e.at
		e.do()
	}
	done, could := 0.0, 0.0
	for _, w := range s.workers {
		if !w.endpoint.StartKnown {
			continue
		}
		sum, from := 0.0, 0
		for _, scheduler := range w.sends {
			sum += scheduler.work / s.meanWork
			done += scheduler.work * w.pace
			for ; w.sends[from].at <= scheduler.at-s.config.Rules.OverloadWindow; from++ {
				sum -= w.sends[from].work / s.meanWork
			}
			able := float64(s.cores) * s.warmUpWeight(w, scheduler.at) / w.pace
			calls := s.config.Rules.OverloadFactor * s.config.Rules.OverloadWindow.Seconds() * able / s.meanWork
			if most := calls + 2*math.Sqrt(calls) + 2; bound == 0 || sum/most > worst/bound {
				worst, bound, n = sum, most, calls
			}
		}
		for at := start; at < until; at += 100 * ms {
			could += float64(s.cores) * s.warmUpWeight(w, at) * 0.1
		}
	}
	return worst, cmp.Or(bound, 1), n, done / could
}

// blind is the row in which nothing that a scheduler has seen by then shows how far all hints are off.
const biasUnseen = "hints a tenth, half new"

func TestSlowStartBudget(t *testing.T) {
	runSlowStartScenarios(t, func(r slowStartScenario) bool { return r.name != biasUnseen })
}

func TestSlowStartBudgetWithUnseenHintBias(t *testing.T) {
	runSlowStartScenarios(t, func(r slowStartScenario) bool { return r.name == biasUnseen })
}

// playCold plays the rows of one test. A row's seeds go by its place among all.
func runSlowStartScenarios(t *testing.T, selects func(slowStartScenario) bool) {
	var scenarios []slowStartScenario
	for _, schedulers := range []int{1, 6, 7, 20, 30, 300} {
		scenarios = append(scenarios, slowStartScenario{name: "plain", schedulers: schedulers, toldFactor: 1},
			slowStartScenario{name: "rough hints, half new", schedulers: schedulers, toldFactor: 1, roughHints: true, halfRestart: true})
	}
	for _, schedulers := range []int{7, 30, 300} {
		scenarios = append(scenarios, slowStartScenario{name: "rough hints", schedulers: schedulers, toldFactor: 1, roughHints: true},
			slowStartScenario{name: "half new", schedulers: schedulers, toldFactor: 1, halfRestart: true},
			slowStartScenario{name: "large N", schedulers: schedulers, toldFactor: 1, largeWorkers: true, roughHints: true},
			slowStartScenario{name: "probes lost", schedulers: schedulers, toldFactor: 1, checksLost: true, roughHints: true},
			slowStartScenario{name: "slow for their kind", schedulers: schedulers, toldFactor: 1, startingPace: 2},
			slowStartScenario{name: "the same, half new", schedulers: schedulers, toldFactor: 1, startingPace: 2, halfRestart: true},
			slowStartScenario{name: "hints a tenth", schedulers: schedulers, toldFactor: 1, hintFactor: 0.1},
			slowStartScenario{name: "hints tenfold", schedulers: schedulers, toldFactor: 1, hintFactor: 10},
			slowStartScenario{name: biasUnseen, schedulers: schedulers, toldFactor: 1, hintFactor: 0.1, halfRestart: true},
			slowStartScenario{name: "no own number", schedulers: schedulers, toldFactor: 1, unnumbered: true})
	}
	for _, schedulers := range []int{20, 30, 300} {
		for _, told := range []float64{0.1, 0.5, 2, 10} {
			scenarios = append(scenarios, slowStartScenario{name: fmt.Sprintf("told %v", told), schedulers: schedulers, toldFactor: told})
		}
		scenarios = append(scenarios, slowStartScenario{name: "told 0.1, half new", schedulers: schedulers, toldFactor: 0.1, roughHints: true, halfRestart: true},
			slowStartScenario{name: "told 0.1, every other", schedulers: schedulers, toldFactor: 0.1, halfToldRight: true},
			slowStartScenario{name: "told 0.1, tells", schedulers: schedulers, toldFactor: 0.1, gossip: true})
	}
	skips := func(r slowStartScenario) bool {
		return !selects(r) || !strings.Contains(fmt.Sprintf("%s, %d schedulers", r.name, r.schedulers), *slowStartFilter)
	}
	type result struct {
		worst, bound, n, share, used, mean float64
		seed                               int64
		over                               int
	}
	results := make([]result, len(scenarios))
	var wait sync.WaitGroup
	limiter := make(chan struct{}, 4)
	for i, scenario := range scenarios {
		if skips(scenario) {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			limiter <- struct{}{}
			defer func() { <-limiter }()
			r := &results[i]
			for n := range int64(*slowStartSeeds) {
				seed := n + int64(*slowStartFirstSeed) + int64(i)%max(1, int64(len(hardCases)-*slowStartSeeds+1)) // short runs differ by row
				worst, bound, n, used := newSlowStartSimulation(scenario, seed+1).run()
				if r.used += used / float64(*slowStartSeeds); worst/bound > r.share {
					r.worst, r.bound, r.n, r.share, r.seed = worst, bound, n, worst/bound, seed+1
				}
				if r.mean += worst / bound / float64(*slowStartSeeds); worst > bound {
					r.over++
				}
			}
		}()
	}
	wait.Wait()
	t.Logf("%-26s %10s %8s %8s %8s %8s %5s %6s %5s", "row", "schedulers", "worst", "bound", "N", "of it", "over", "mean", "used")
	for i, scenario := range scenarios {
		r := results[i]
		if skips(scenario) {
			continue
		}
		t.Logf("%-26s %10d %8.1f %8.1f %8.1f %8.2f %5d %6.2f %5.2f", scenario.name, scenario.schedulers, r.worst, r.bound, r.n,
			r.share, r.over, r.mean, r.used)
		if r.share > 1 {
			t.Errorf("%s, %d schedulers, seed %d: a cold worker got %.1f requests of mean work, and bears %.1f", scenario.name,
				scenario.schedulers, r.seed, r.worst, r.bound)
		}
	}
	if slices.IndexFunc(results, func(r result) bool { return r.used > 0 }) < 0 {
		t.Error("no cold worker got anything")
	}
}
