package dispatch

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"
)

// A worker that has just started gets our part of what it can do now, and one heavy invocation can be too much.
func Example_coldStart() {
	dep := shop()
	dep.Schedulers = 2
	p := start(dep, ready('a', 0))
	p.at(10*ms, free('a', 4), job(1, 2, 0.4))
	p.at(410*ms, p.end(1, 0, Succeeded))
	cold := ready('a', 0)
	cold.StartKnown, cold.StartedAt = true, 400*ms
	p.at(500*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{cold}})
	p.at(510*ms, free('a', 4), job(2, 2, 0.5), job(3, 2, 0.07), job(4, 2, 0.3))
	p.at(700*ms, p.end(3, 0, Succeeded))
	p.at(16*time.Second, free('a', 4), job(5, 2, 0.7))
	// Output:
	// 10ms 1 to a
	// 510ms 3 to a
	// 16s 4 throttled, back after 750ms to 1.25s
	// 16s 2 throttled, back after 750ms to 1.25s
	// 16s 5 to a
}

// Schedulers that were killed have forgotten which cold workers they share: those that the lot names for one of the
// known list ask it at once, or nobody uses it until chance brings it into their pools.
func Example_coldKnownAtStart() {
	dep := shop()
	dep.Schedulers = 80
	cold := ready('a', 0)
	cold.StartKnown, cold.StartedAt, cold.Incarnation = true, -2*time.Second, 17
	known := append(fleet(60), cold)
	for _, warmed := range []bool{false, true} {
		if warmed {
			known[60].StartedAt = -time.Minute
		}
		asked := 0
		for dep.Index = range dep.Schedulers {
			d := New(dep, int64(dep.Index))
			if slices.Contains(d.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: known}}), Action(HealthCheck{cold.Worker})) {
				asked++
			}
		}
		fmt.Printf("warm %v: asked by %d of 80 as they start\n", warmed, asked)
	}
	// Output:
	// warm false: asked by 25 of 80 as they start
	// warm true: asked by 19 of 80 as they start
}

// The number of schedulers is told ten times too small: whose own number lies beyond it knows that, and leaves cold
// workers to the others. Named for one are five of a thousand all the same; without that, fifty would be.
func Example_toldTooFew() {
	dep := shop()
	for _, dep.Schedulers = range []int{1000, 100, 10000} {
		named := 0
		for dep.Index = range 1000 {
			if d := New(dep, 1); d.lotteryRank(17) < minSharers {
				named++
			}
		}
		fmt.Printf("told %d: %d of 1000 are among the first five\n", dep.Schedulers, named)
	}
	// Output:
	// told 1000: 5 of 1000 are among the first five
	// told 100: 5 of 1000 are among the first five
	// told 10000: 0 of 1000 are among the first five
}

// With so many schedulers that an even part of a cold worker's budget is less than one invocation, a lot that all draw
// alike names the few that share it; how many, and how much they send, grows as it warms. The budget of a span is what
// the rule allows: twice what four slots do by then.
func Example_coldCrowd() {
	dep := shop()
	dep.Schedulers = 1000
	for _, age := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 19 * time.Second} {
		sent, most, work := 0, 0, 0.0
		for me := range dep.Schedulers {
			dep.Index = me
			p := &play{d: New(dep, int64(me)), went: map[InvocationID][]WorkerID{}, quiet: true}
			cold := ready('a', 0)
			cold.StartKnown, cold.StartedAt, cold.Incarnation = true, 20*time.Second, 17
			p.at(0, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{ready('b', 0)}})
			n := InvocationID(0)
			for n < 40 { // one every half second before, each done as hinted
				n++
				p.at(time.Duration(n)*500*ms, free('b', 4), job(n, 2, 0.2))
				p.at(p.now+200*ms, p.end(n, 0, Succeeded))
			}
			p.at(20*time.Second+age, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{cold}})
			p.at(p.now+10*ms, free('a', 4), free('b', 0))
			p.lines = nil
			for range 8 {
				n++
				p.at(p.now+10*ms, job(n, 2, 0.2))
			}
			here := strings.Count(strings.Join(p.lines, "\n"), "to a")
			work += 0.2 * float64(here)
			if most = max(most, here); here > 0 {
				sent++
			}
		}
		fmt.Printf("%v after its start: %d of 1000 send, at most %d each, %.1f of a budget of %.1f\n", age, sent, most,
			work, 2*4*(0.1+0.9*age.Seconds()/20))
	}
	// Output:
	// 1s after its start: 0 of 1000 send, at most 0 each, 0.0 of a budget of 1.2
	// 5s after its start: 5 of 1000 send, at most 3 each, 1.8 of a budget of 2.6
	// 10s after its start: 8 of 1000 send, at most 4 each, 2.8 of a budget of 4.4
	// 19s after its start: 12 of 1000 send, at most 4 each, 3.6 of a budget of 7.6
}

// Three schedulers share a cold worker's budget evenly, whatever the usual run is: the parts of all stay under a quarter of what
// it bears by hints, as those are far off for some, and each has little of it.
func Example_coldFew() {
	for _, run := range []float64{0.01, 0.2, 3} {
		dep := shop()
		dep.Schedulers, dep.Index = 3, 0
		cold := ready('a', 0)
		cold.StartKnown, cold.Incarnation = true, 5
		p := start(dep, cold)
		p.quiet = true
		p.d.scheduler.runTimes = samples{run, run}
		p.at(time.Second, free('a', 100))
		sent := 0
		for n := InvocationID(1); n <= 100; n++ {
			p.at(p.now+ms, job(n, 2, 0.1))
		}
		for _, went := range p.went {
			sent += len(went)
		}
		budget := 2 * 100 * (0.1 + 0.9*1.1/20)
		fmt.Printf("usual run %v: at most a twelfth of the budget each: %v, some: %v\n", run, float64(sent)*0.1 <= budget/12+0.1, sent > 0)
	}
	// Output:
	// usual run 0.01: at most a twelfth of the budget each: true, some: true
	// usual run 0.2: at most a twelfth of the budget each: true, some: true
	// usual run 3: at most a twelfth of the budget each: true, some: true
}

// What all schedulers together may send one cold worker in a span, were there always one more small invocation, stays
// within N + 2 root N + 2 requests of mean work, whatever the number of schedulers is told to be: as long as their own
// numbers are told.
func TestColdParts(t *testing.T) {
	t.Logf("%10s %6s %8s %8s %8s %8s %6s", "schedulers", "told", "N", "worst", "bound", "of it", "over")
	for _, schedulers := range []int{1, 6, 7, 20, 30, 300} {
		for _, told := range []float64{0.1, 0.5, 1, 2, 10} {
			for _, calls := range []float64{2, 10, 30, 100, 300} {
				worst, bound, over := 0.0, calls+2*math.Sqrt(calls)+2, 0
				for start := range uint64(20) {
					sum := coldParts(schedulers, max(1, int(math.Round(told*float64(schedulers)))), calls, start)
					if worst = max(worst, sum); sum > bound {
						over++
					}
				}
				t.Logf("%10d %6v %8v %8.1f %8.1f %8.2f %6d", schedulers, told, calls, worst, bound, worst/bound, over)
				if over > 0 {
					t.Errorf("%d schedulers, told %v of it, N %v: %.1f may come, %.1f is borne", schedulers, told, calls, worst, bound)
				}
			}
		}
	}
}

// coldParts sums what each may send, in requests of mean work, by hundredths of one.
func coldParts(schedulers, told int, calls float64, start uint64) (sum float64) {
	const run = 0.2
	dep := shop()
	dep.Schedulers = told
	for dep.Index = range schedulers {
		d := New(dep, 1)
		sum += mostSent(&d.scheduler, d.lotteryRank(start), calls, run)
	}
	return sum
}

// mostSent is what a scheduler may send a cold worker in a span, were there always one more small invocation, in requests of mean work.
func mostSent(k *scheduler, lot int, calls, run float64) float64 {
	c := &workerView{pace: 1, warmUpWeight: 1, lotteryRank: lot}
	c.maxFree = calls * run / k.overloadBudget
	c.pace = max(1, 1/c.maxFree) // a worker of less than one slot is a slower one
	k.fleet.runTime, k.now, k.admitted = run, 20*time.Second, 20*calls
	for cost := run / 100; k.withinSlowStartBudget(cost, c) && c.budgetUsed < 3*calls*run; {
		c.budgetUsed += cost
	}
	return c.budgetUsed / run
}

// The number of schedulers changes with new settings while a worker is cold: those that ran before draw their lots among all anew.
func TestColdPartsAfterReload(t *testing.T) {
	for _, schedulers := range [][2]int{{7, 30}, {30, 300}, {100, 10}, {6, 20}} {
		for _, calls := range []float64{2, 10, 30, 100} {
			worst, bound := 0.0, calls+2*math.Sqrt(calls)+2
			for start := range uint64(20) {
				worst = max(worst, coldPartsAfterReload(schedulers[0], schedulers[1], calls, start))
			}
			if worst > bound {
				t.Errorf("%d schedulers, then %d, N %v: %.1f may come, %.1f is borne", schedulers[0], schedulers[1], calls, worst, bound)
			}
		}
	}
}

// coldPartsAfterReload sums what each may send once their number has changed, in requests of mean work.
func coldPartsAfterReload(before, after int, calls float64, start uint64) (sum float64) {
	const run = 0.2
	id := netip.MustParseAddrPort("10.0.0.1:1")
	list := EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Worker: id, State: Ready, StartKnown: true, Incarnation: start}}}
	for me := range after {
		dep := shop()
		dep.Index, dep.Schedulers = me, after
		if me < before {
			dep.Schedulers = before
		}
		d := New(dep, 1)
		d.Handle(time.Millisecond, []Event{list})
		if me < before {
			dep.Schedulers = after
			d.Handle(2*time.Millisecond, []Event{Reconfigured{Config: dep, PreviousOperations: []int{0}}})
		}
		sum += mostSent(&d.scheduler, d.records[0].lotteryRank, calls, run)
	}
	return sum
}
