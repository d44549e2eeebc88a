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

// A worker in slow start gets this scheduler's share of its current capacity, and a single heavy
// invocation can exceed that.
func Example_slowStart() {
	config := testConfig()
	config.Schedulers = 2
	h := newHarness(config, readyEndpoint('a', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 4), arrival(1, 2, 0.4))
	h.handleAt(410*ms, h.outcome(1, 0, Succeeded))
	starting := readyEndpoint('a', 0)
	starting.StartKnown = true
	starting.StartedAt = 400 * ms
	h.handleAt(500*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{starting}})
	h.handleAt(510*ms, freeSlotsResult('a', 4), arrival(2, 2, 0.5), arrival(3, 2, 0.07), arrival(4, 2, 0.3))
	h.handleAt(700*ms, h.outcome(3, 0, Succeeded))
	h.handleAt(16*time.Second, freeSlotsResult('a', 4), arrival(5, 2, 0.7))
	// Output:
	// 10ms 1 to a
	// 510ms 3 to a
	// 16s 4 throttled, retry after 750ms to 1.25s
	// 16s 2 throttled, retry after 750ms to 1.25s
	// 16s 5 to a
}

// Schedulers that were killed no longer know which workers in slow start they share. Those that the
// lottery selects for a worker in the endpoint list health check it as they start. Otherwise no
// scheduler would use it until it joined a pool by chance.
func Example_slowStartKnownAtStart() {
	config := testConfig()
	config.Schedulers = 80
	starting := readyEndpoint('a', 0)
	starting.StartKnown = true
	starting.StartedAt = -2 * time.Second
	starting.Incarnation = 17
	known := append(readyEndpoints(60), starting)
	for _, warmedUp := range []bool{false, true} {
		if warmedUp {
			known[60].StartedAt = -time.Minute
		}
		checked := 0
		for config.SchedulerIndex = range config.Schedulers {
			d := New(config, int64(config.SchedulerIndex))
			actions := d.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: known}})
			if slices.Contains(actions, Action(HealthCheck{Worker: starting.Worker})) {
				checked++
			}
		}
		fmt.Printf("warm %v: checked by %d of 80 as they start\n", warmedUp, checked)
	}
	// Output:
	// warm false: checked by 25 of 80 as they start
	// warm true: checked by 19 of 80 as they start
}

// If the configured number of schedulers is ten times too small, schedulers whose own index lies
// beyond it leave workers in slow start to the others. So the lottery still selects five of a
// thousand schedulers for a worker; without that rule it would select fifty.
func Example_understatedSchedulerCount() {
	config := testConfig()
	for _, config.Schedulers = range []int{1000, 100, 10000} {
		named := 0
		for config.SchedulerIndex = range 1000 {
			if dispatcher := New(config, 1); dispatcher.lotteryRank(17) < minSharers {
				named++
			}
		}
		fmt.Printf("configured %d: %d of 1000 are among the first five\n", config.Schedulers, named)
	}
	// Output:
	// configured 1000: 5 of 1000 are among the first five
	// configured 100: 5 of 1000 are among the first five
	// configured 10000: 0 of 1000 are among the first five
}

// With so many schedulers that an even share of a slow-start budget is less than one invocation, a
// lottery with the same result at all schedulers selects the few that share it. Their number, and
// how much they send, grows as the worker warms up. The budget is what the overload rule allows in
// an overload window: twice the work that four slots do at that point of the slow start.
func Example_slowStartLottery() {
	config := testConfig()
	config.Schedulers = 1000
	for _, age := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 19 * time.Second} {
		senders := 0
		most := 0
		work := 0.0
		for index := range config.Schedulers {
			config.SchedulerIndex = index
			h := newIdleHarness(config, int64(index))
			h.collects = true
			starting := readyEndpoint('a', 0)
			starting.StartKnown = true
			starting.StartedAt = 20 * time.Second
			starting.Incarnation = 17
			h.handleAt(0, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{readyEndpoint('b', 0)}})
			n := InvocationID(0)
			for n < 40 { // one every half second before the start, each of which runs as long as hinted
				n++
				h.handleAt(time.Duration(n)*500*ms, freeSlotsResult('b', 4), arrival(n, 2, 0.2))
				h.handleAt(h.now+200*ms, h.outcome(n, 0, Succeeded))
			}
			h.handleAt(20*time.Second+age, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{starting}})
			h.handleAt(h.now+10*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 0))
			h.lines = nil
			for range 8 {
				n++
				h.handleAt(h.now+10*ms, arrival(n, 2, 0.2))
			}
			sentHere := strings.Count(strings.Join(h.lines, "\n"), "to a")
			work += 0.2 * float64(sentHere)
			most = max(most, sentHere)
			if sentHere > 0 {
				senders++
			}
		}
		fmt.Printf("%v after its start: %d of 1000 send, at most %d each, %.1f of a budget of %.1f\n", age, senders, most,
			work, 2*4*(0.1+0.9*age.Seconds()/20))
	}
	// Output:
	// 1s after its start: 0 of 1000 send, at most 0 each, 0.0 of a budget of 1.2
	// 5s after its start: 5 of 1000 send, at most 3 each, 1.8 of a budget of 2.6
	// 10s after its start: 8 of 1000 send, at most 4 each, 2.8 of a budget of 4.4
	// 19s after its start: 12 of 1000 send, at most 4 each, 3.6 of a budget of 7.6
}

// Three schedulers share a slow-start budget evenly, whatever the typical running time is. By
// hinted cost, their shares together stay within a quarter of the budget, as hints are far off for
// some invocations, and each scheduler's share is small.
func Example_slowStartFewSchedulers() {
	for _, runTime := range []float64{0.01, 0.2, 3} {
		config := testConfig()
		config.Schedulers = 3
		config.SchedulerIndex = 0
		starting := readyEndpoint('a', 0)
		starting.StartKnown = true
		starting.Incarnation = 5
		h := newHarness(config, starting)
		h.collects = true
		h.dispatcher.scheduler.runTimes = samples{runTime, runTime}
		h.handleAt(time.Second, freeSlotsResult('a', 100))
		sent := 0
		for id := InvocationID(1); id <= 100; id++ {
			h.handleAt(h.now+ms, arrival(id, 2, 0.1))
		}
		for _, workers := range h.attemptWorkers {
			sent += len(workers)
		}
		budget := 2 * 100 * (0.1 + 0.9*1.1/20)
		fmt.Printf("usual run %v: at most a twelfth of the budget each: %v, some: %v\n",
			runTime, float64(sent)*0.1 <= budget/12+0.1, sent > 0)
	}
	// Output:
	// usual run 0.01: at most a twelfth of the budget each: true, some: true
	// usual run 0.2: at most a twelfth of the budget each: true, some: true
	// usual run 3: at most a twelfth of the budget each: true, some: true
}

// The work that all schedulers together may send a worker in slow start in an overload window, if
// each always has another small invocation to send, stays within N + 2 sqrt(N) + 2 requests of mean
// work, where N is the number of such requests that the worker is meant for in the window. This holds
// for any configured number of schedulers, as long as each scheduler knows its own index.
func TestSlowStartShares(t *testing.T) {
	t.Logf("%10s %10s %8s %8s %8s %8s %6s", "schedulers", "configured", "N", "worst", "bound", "share", "over")
	for _, schedulers := range []int{1, 6, 7, 20, 30, 300} {
		for _, factor := range []float64{0.1, 0.5, 1, 2, 10} {
			for _, requests := range []float64{2, 10, 30, 100, 300} {
				bound := slowStartBound(requests)
				worst := 0.0
				over := 0
				for incarnation := range uint64(20) {
					sum := slowStartShares(schedulers, max(1, int(math.Round(factor*float64(schedulers)))), requests, incarnation)
					worst = max(worst, sum)
					if sum > bound {
						over++
					}
				}
				t.Logf("%10d %10v %8v %8.1f %8.1f %8.2f %6d", schedulers, factor, requests, worst, bound, worst/bound, over)
				if over > 0 {
					t.Errorf("%d schedulers, configured as %v times as many, N %v: may send %.1f, budget is %.1f",
						schedulers, factor, requests, worst, bound)
				}
			}
		}
	}
}

// slowStartShares returns the sum of what each scheduler may send, in requests of mean work,
// counted in steps of a hundredth of a request.
func slowStartShares(schedulers, configured int, requests float64, incarnation uint64) (sum float64) {
	const meanRunTime = 0.2 // seconds
	config := testConfig()
	config.Schedulers = configured
	for config.SchedulerIndex = range schedulers {
		dispatcher := New(config, 1)
		sum += mostSentInSlowStart(&dispatcher.scheduler, dispatcher.lotteryRank(incarnation), requests, meanRunTime)
	}
	return sum
}

// mostSentInSlowStart returns what one scheduler may send in an overload window, if it always has
// another small invocation to send, in requests of mean work.
func mostSentInSlowStart(s *scheduler, lotteryRank int, requests, runTime float64) float64 {
	view := &workerView{pace: 1, warmUpWeight: 1, lotteryRank: lotteryRank}
	view.maxFree = requests * runTime / s.overloadBudget
	view.pace = max(1, 1/view.maxFree) // a worker of less than one slot counts as a slower one
	s.stats.runTime = runTime
	s.now = 20 * time.Second
	s.admitted = 20 * requests
	for cost := runTime / 100; s.withinSlowStartBudget(cost, view) && view.budgetUsed < 3*requests*runTime; {
		view.budgetUsed += cost
	}
	return view.budgetUsed / runTime
}

// The budget also holds if the configured number of schedulers changes during a slow start: the
// schedulers that ran before compute their lottery ranks anew among the new number.
func TestSlowStartSharesAfterReconfiguration(t *testing.T) {
	changes := []struct{ before, after int }{
		{before: 7, after: 30},
		{before: 30, after: 300},
		{before: 100, after: 10},
		{before: 6, after: 20},
	}
	for _, change := range changes {
		for _, requests := range []float64{2, 10, 30, 100} {
			bound := slowStartBound(requests)
			worst := 0.0
			for incarnation := range uint64(20) {
				worst = max(worst, slowStartSharesAfterReconfiguration(change.before, change.after, requests, incarnation))
			}
			if worst > bound {
				t.Errorf("%d schedulers, then %d, N %v: may send %.1f, budget is %.1f",
					change.before, change.after, requests, worst, bound)
			}
		}
	}
}

// slowStartSharesAfterReconfiguration returns the sum of what each scheduler may send after their
// number has changed, in requests of mean work.
func slowStartSharesAfterReconfiguration(before, after int, requests float64, incarnation uint64) (sum float64) {
	const meanRunTime = 0.2 // seconds
	worker := netip.MustParseAddrPort("10.0.0.1:1")
	update := EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{
		Worker:      worker,
		State:       Ready,
		StartKnown:  true,
		Incarnation: incarnation,
	}}}
	for index := range after {
		config := testConfig()
		config.SchedulerIndex = index
		config.Schedulers = after
		if index < before {
			config.Schedulers = before
		}
		dispatcher := New(config, 1)
		dispatcher.Handle(time.Millisecond, []Event{update})
		if index < before {
			config.Schedulers = after
			dispatcher.Handle(2*time.Millisecond, []Event{Reconfigured{Config: config, PreviousOperations: []int{0}}})
		}
		sum += mostSentInSlowStart(&dispatcher.scheduler, dispatcher.records[0].lotteryRank, requests, meanRunTime)
	}
	return sum
}
