package lifecycle

import (
	"fmt"
	"strings"
	"time"
)

// trace prints the behavior of a process at now and at each later time at which it changes without an event.
func trace(l *Lifecycle, now time.Duration) {
	for {
		fmt.Printf("%5v %s: %s\n", now, l.State(), strings.Join(behaviorFlagNames(l.Behavior(now)), ", "))
		next, changes := l.NextChange(now)
		if !changes {
			return
		}
		now = next
	}
}

// behaviorFlagNames returns the names of the flags that are set in a behavior.
func behaviorFlagNames(b Behavior) []string {
	names := []string{}
	for _, flag := range []struct {
		set  bool
		name string
	}{
		{b.Ready, "ready"},
		{b.Accepts, "accepts"},
		{b.Admits, "admits"},
		{b.ClosesIdle, "closes idle"},
		{b.ClosesPartial, "closes partial"},
		{b.Migrates, "migrates"},
		{b.KeepsCallbacks, "keeps callbacks"},
		{b.ExitsWhenIdle, "exits when idle"},
		{b.FailsRemaining, "fails remaining"},
		{b.Exits, "exits"},
	} {
		if flag.set {
			names = append(names, flag.name)
		}
	}
	return names
}

// A drain takes effect in steps: idle connections are closed, then requests are no longer admitted, then
// connections with a partial request are closed. A second order to drain does not restart the drain. The
// order to serve again makes the process ready immediately.
func ExampleLifecycle_Drain() {
	var l Lifecycle
	trace(&l, 0)
	l.EndpointsKnown(time.Second)
	trace(&l, time.Second)
	fmt.Println(l.Drain(10*time.Second), l.Drain(11*time.Second))
	trace(&l, 10*time.Second)
	fmt.Println(l.Activate(11 * time.Second))
	trace(&l, 11*time.Second)
	// Output:
	// 0s starting: accepts, admits
	//    1s ready: ready, accepts, admits
	// true true
	//   10s standby: accepts, admits, keeps callbacks
	//   11s standby: accepts, admits, closes idle, keeps callbacks
	// 11.9s standby: accepts, closes idle, keeps callbacks
	// 13.4s standby: accepts, closes idle, closes partial, keeps callbacks
	// true
	//   11s ready: ready, accepts, admits
}

// A process that is drained before it has an endpoint list stays drained when the list arrives. If it is
// ordered to serve again before that, its state is starting again.
func ExampleLifecycle_Activate() {
	var l Lifecycle
	l.Drain(0)
	l.Activate(1)
	fmt.Println(l.State())
	l.Drain(2)
	l.EndpointsKnown(3)
	fmt.Println(l.State())
	l.Activate(4)
	fmt.Println(l.State())
	// Output:
	// starting
	// standby
	// ready
}

// After an order to stop, the process exits before it may be killed, here 3.7 s later. Neither operators'
// orders nor a second order to stop change that.
func ExampleLifecycle_Stop() {
	var l Lifecycle
	l.EndpointsKnown(0)
	l.Stop(2*time.Second, 25*time.Second)
	l.Stop(3*time.Second, 25*time.Second)
	fmt.Println(l.Drain(4*time.Second), l.Activate(4*time.Second))
	trace(&l, 2*time.Second)
	// During a drain, connections are closed earlier, as the load balancer has already directed clients to
	// other schedulers.
	l = Lifecycle{}
	l.EndpointsKnown(0)
	l.Drain(time.Second)
	l.Stop(1500*time.Millisecond, time.Second)
	trace(&l, 1500*time.Millisecond)
	// With a successor, connections are closed earlier, as clients can reconnect to it immediately.
	l = Lifecycle{}
	l.EndpointsKnown(0)
	l.SuccessorChanged(0, true)
	l.Stop(time.Second, 2*time.Second)
	trace(&l, time.Second)
	// When the successor exits, the stopping process accepts clients again in the time that it has left.
	// Then another successor starts.
	l.SuccessorChanged(1500*time.Millisecond, false)
	trace(&l, 1500*time.Millisecond)
	l.SuccessorChanged(2*time.Second, true)
	trace(&l, 2*time.Second)
	// Output:
	// false false
	//    2s stopping: accepts, admits
	//  3.5s stopping: accepts, admits, closes idle, exits when idle
	//  5.2s stopping: accepts, closes idle, exits when idle, fails remaining
	//  5.4s stopping: accepts, closes idle, exits when idle, fails remaining, exits
	//  1.5s stopping: accepts, admits
	//    2s stopping: accepts, admits, closes idle, exits when idle
	//  2.7s stopping: accepts, closes idle, exits when idle, fails remaining
	//  2.9s stopping: accepts, closes idle, exits when idle, fails remaining, exits
	//    1s handing over: ready, admits, migrates, keeps callbacks, exits when idle
	//    2s handing over: ready, admits, closes idle, migrates, keeps callbacks, exits when idle
	//  3.2s handing over: ready, closes idle, keeps callbacks, exits when idle, fails remaining
	//  3.4s handing over: ready, closes idle, keeps callbacks, exits when idle, fails remaining, exits
	//  1.5s stopping: accepts, admits
	//    2s stopping: accepts, admits, closes idle, exits when idle
	//  3.2s stopping: accepts, closes idle, exits when idle, fails remaining
	//  3.4s stopping: accepts, closes idle, exits when idle, fails remaining, exits
	//    2s handing over: ready, admits, closes idle, migrates, keeps callbacks, exits when idle
	//  3.2s handing over: ready, closes idle, keeps callbacks, exits when idle, fails remaining
	//  3.4s handing over: ready, closes idle, keeps callbacks, exits when idle, fails remaining, exits
}

// Guards against the loss of what a predecessor still has in hand, where both processes are ordered to
// stop in the middle of a replacement: the newer process does not exit first.
func ExampleLifecycle_PredecessorChanged() {
	var l Lifecycle
	l.PredecessorChanged(true)
	l.Stop(time.Second, 25*time.Second)
	trace(&l, time.Second)
	l.PredecessorChanged(false)
	trace(&l, 3*time.Second)
	// Output:
	//    1s stopping: accepts, admits
	//  2.5s stopping: accepts, admits, closes idle
	//  4.2s stopping: accepts, closes idle, fails remaining
	//  4.6s stopping: accepts, closes idle, fails remaining, exits
	//    3s stopping: accepts, admits, closes idle, exits when idle
	//  4.2s stopping: accepts, closes idle, exits when idle, fails remaining
	//  4.4s stopping: accepts, closes idle, exits when idle, fails remaining, exits
}

// However short the client timeouts are, the process exits before it may be killed, 0.7 s after the longest
// one, also during a drain. If no timeout is known, no answer can be late.
func ExampleLifecycle_Stop_short() {
	for _, longest := range []time.Duration{0, 450 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		var l Lifecycle
		l.EndpointsKnown(0)
		l.Stop(time.Second, longest)
		fmt.Println("clients wait for", longest, "and the kill comes after", time.Second+longest+700*time.Millisecond)
		trace(&l, time.Second)
	}
	var l Lifecycle
	l.Drain(time.Second)
	l.Stop(time.Second, 300*time.Millisecond)
	trace(&l, time.Second)
	// Output:
	// clients wait for 0s and the kill comes after 1.7s
	//    1s stopping: accepts, admits
	//  2.3s stopping: accepts, admits, closes idle, exits when idle
	//  2.5s stopping: accepts, closes idle, exits when idle, fails remaining
	//  2.7s stopping: accepts, closes idle, exits when idle, fails remaining, exits
	// clients wait for 450ms and the kill comes after 2.15s
	//    1s stopping: accepts, admits
	// 1.45s stopping: accepts, admits, closes idle, exits when idle
	// 1.65s stopping: accepts, closes idle, exits when idle, fails remaining
	// 1.85s stopping: accepts, closes idle, exits when idle, fails remaining, exits
	// clients wait for 900ms and the kill comes after 2.6s
	//    1s stopping: accepts, admits
	//  1.9s stopping: accepts, admits, closes idle, exits when idle
	//  2.1s stopping: accepts, closes idle, exits when idle, fails remaining
	//  2.3s stopping: accepts, closes idle, exits when idle, fails remaining, exits
	// clients wait for 2s and the kill comes after 3.7s
	//    1s stopping: accepts, admits
	//  2.5s stopping: accepts, admits, closes idle, exits when idle
	//  3.2s stopping: accepts, closes idle, exits when idle, fails remaining
	//  3.4s stopping: accepts, closes idle, exits when idle, fails remaining, exits
	//    1s stopping: accepts, admits
	//  1.3s stopping: accepts, admits, closes idle, exits when idle
	//  1.5s stopping: accepts, closes idle, exits when idle, fails remaining
	//  1.7s stopping: accepts, closes idle, exits when idle, fails remaining, exits
}
