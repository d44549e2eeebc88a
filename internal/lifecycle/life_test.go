package lifecycle

import (
	"fmt"
	"strings"
	"time"
)

// trace prints how a process behaves at each moment at which that changes.
func trace(c *Lifecycle, now time.Duration) {
	for {
		m, words := c.Behavior(now), []string{}
		for _, v := range []struct {
			is   bool
			word string
		}{{m.Ready, "yes"}, {m.Accepts, "hears"}, {m.Admits, "takes"}, {m.ClosesIdle, "shuts"}, {m.ClosesPartial, "sweeps"}, {m.Migrates, "passes on"}, {m.KeepsCallbacks, "keeps news"},
			{m.ExitsWhenIdle, "leaves"}, {m.FailsRemaining, "gives up"}, {m.Exits, "over"}} {
			if v.is {
				words = append(words, v.word)
			}
		}
		fmt.Printf("%5v %s: %s\n", now, c.State(), strings.Join(words, ", "))
		next, more := c.NextChange(now)
		if !more {
			return
		}
		now = next
	}
}

// A drain, and its end: yes comes back at once. A second order does not begin the drain anew.
func ExampleLifecycle_Standby() {
	var c Lifecycle
	trace(&c, 0)
	c.EndpointsKnown(time.Second)
	trace(&c, time.Second)
	fmt.Println(c.Standby(10*time.Second), c.Standby(11*time.Second))
	trace(&c, 10*time.Second)
	fmt.Println(c.Active(11 * time.Second))
	trace(&c, 11*time.Second)
	// Output:
	// 0s starting: hears, takes
	//    1s ready: yes, hears, takes
	// true true
	//   10s standby: hears, takes, keeps news
	//   11s standby: hears, takes, shuts, keeps news
	// 11.9s standby: hears, shuts, keeps news
	// 13.4s standby: hears, shuts, sweeps, keeps news
	// true
	//   11s ready: yes, hears, takes
}

// Taken out before there is a list, it stays out when the list comes; back before the list, it starts.
func ExampleLifecycle_Active() {
	var c Lifecycle
	c.Standby(0)
	c.Active(1)
	fmt.Println(c.State())
	c.Standby(2)
	c.EndpointsKnown(3)
	fmt.Println(c.State())
	c.Active(4)
	fmt.Println(c.State())
	// Output:
	// starting
	// standby
	// ready
}

// The order to stop: no kill comes before 3.7 s. Operators' orders change nothing any more, nor does a second one.
func ExampleLifecycle_Stop() {
	var c Lifecycle
	c.EndpointsKnown(0)
	c.Stop(2*time.Second, 25*time.Second)
	c.Stop(3*time.Second, 25*time.Second)
	fmt.Println(c.Standby(4*time.Second), c.Active(4*time.Second))
	trace(&c, 2*time.Second)
	// In the midst of a drain clients have turned elsewhere already.
	c = Lifecycle{}
	c.EndpointsKnown(0)
	c.Standby(time.Second)
	c.Stop(1500*time.Millisecond, time.Second)
	trace(&c, 1500*time.Millisecond)
	// With a successor clients lose nothing by going there at once.
	c = Lifecycle{}
	c.EndpointsKnown(0)
	c.SuccessorChanged(0, true)
	c.Stop(time.Second, 2*time.Second)
	trace(&c, time.Second)
	// It dies: the old process hears clients again for as long as it has. And another one comes.
	c.SuccessorChanged(1500*time.Millisecond, false)
	trace(&c, 1500*time.Millisecond)
	c.SuccessorChanged(2*time.Second, true)
	trace(&c, 2*time.Second)
	// Output:
	// false false
	//    2s stopping: hears, takes
	//  3.5s stopping: hears, takes, shuts, leaves
	//  5.2s stopping: hears, shuts, leaves, gives up
	//  5.4s stopping: hears, shuts, leaves, gives up, over
	//  1.5s stopping: hears, takes
	//    2s stopping: hears, takes, shuts, leaves
	//  2.7s stopping: hears, shuts, leaves, gives up
	//  2.9s stopping: hears, shuts, leaves, gives up, over
	//    1s handing over: yes, takes, passes on, keeps news, leaves
	//    2s handing over: yes, takes, shuts, passes on, keeps news, leaves
	//  3.2s handing over: yes, shuts, keeps news, leaves, gives up
	//  3.4s handing over: yes, shuts, keeps news, leaves, gives up, over
	//  1.5s stopping: hears, takes
	//    2s stopping: hears, takes, shuts, leaves
	//  3.2s stopping: hears, shuts, leaves, gives up
	//  3.4s stopping: hears, shuts, leaves, gives up, over
	//    2s handing over: yes, takes, shuts, passes on, keeps news, leaves
	//  3.2s handing over: yes, shuts, keeps news, leaves, gives up
	//  3.4s handing over: yes, shuts, keeps news, leaves, gives up, over
}

// However short its clients wait, all is over before the kill, 0.7 s after the longest of them, in a drain too. Where nobody
// has told how long that is, there is nobody to be answered late.
func ExampleLifecycle_Stop_short() {
	for _, longest := range []time.Duration{0, 450 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		var c Lifecycle
		c.EndpointsKnown(0)
		c.Stop(time.Second, longest)
		fmt.Println("clients wait for", longest, "and the kill comes after", time.Second+longest+700*time.Millisecond)
		trace(&c, time.Second)
	}
	var c Lifecycle
	c.Standby(time.Second)
	c.Stop(time.Second, 300*time.Millisecond)
	trace(&c, time.Second)
	// Output:
	// clients wait for 0s and the kill comes after 1.7s
	//    1s stopping: hears, takes
	//  2.3s stopping: hears, takes, shuts, leaves
	//  2.5s stopping: hears, shuts, leaves, gives up
	//  2.7s stopping: hears, shuts, leaves, gives up, over
	// clients wait for 450ms and the kill comes after 2.15s
	//    1s stopping: hears, takes
	// 1.45s stopping: hears, takes, shuts, leaves
	// 1.65s stopping: hears, shuts, leaves, gives up
	// 1.85s stopping: hears, shuts, leaves, gives up, over
	// clients wait for 900ms and the kill comes after 2.6s
	//    1s stopping: hears, takes
	//  1.9s stopping: hears, takes, shuts, leaves
	//  2.1s stopping: hears, shuts, leaves, gives up
	//  2.3s stopping: hears, shuts, leaves, gives up, over
	// clients wait for 2s and the kill comes after 3.7s
	//    1s stopping: hears, takes
	//  2.5s stopping: hears, takes, shuts, leaves
	//  3.2s stopping: hears, shuts, leaves, gives up
	//  3.4s stopping: hears, shuts, leaves, gives up, over
	//    1s stopping: hears, takes
	//  1.3s stopping: hears, takes, shuts, leaves
	//  1.5s stopping: hears, shuts, leaves, gives up
	//  1.7s stopping: hears, shuts, leaves, gives up, over
}
