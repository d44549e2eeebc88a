package life

import (
	"fmt"
	"strings"
	"time"
)

// trace prints how a process behaves at each moment at which that changes.
func trace(c *Cycle, now time.Duration) {
	for {
		m, words := c.At(now), []string{}
		for _, v := range []struct {
			is   bool
			word string
		}{{m.Yes, "yes"}, {m.Hears, "hears"}, {m.Takes, "takes"}, {m.Shuts, "shuts"}, {m.Sweeps, "sweeps"}, {m.Passes, "passes on"}, {m.News, "keeps news"},
			{m.Leaves, "leaves"}, {m.Rests, "gives up"}, {m.Over, "over"}} {
			if v.is {
				words = append(words, v.word)
			}
		}
		fmt.Printf("%5v %s: %s\n", now, c.State(), strings.Join(words, ", "))
		next, more := c.Next(now)
		if !more {
			return
		}
		now = next
	}
}

// A drain, and its end: yes comes back at once. A second order does not begin the drain anew.
func ExampleCycle_Standby() {
	var c Cycle
	trace(&c, 0)
	c.Knows(time.Second)
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
func ExampleCycle_Active() {
	var c Cycle
	c.Standby(0)
	c.Active(1)
	fmt.Println(c.State())
	c.Standby(2)
	c.Knows(3)
	fmt.Println(c.State())
	c.Active(4)
	fmt.Println(c.State())
	// Output:
	// starting
	// standby
	// ready
}

// The order to stop: no kill comes before 3.7 s. Operators' orders change nothing any more, nor does a second one.
func ExampleCycle_Stop() {
	var c Cycle
	c.Knows(0)
	c.Stop(2*time.Second, 25*time.Second)
	c.Stop(3*time.Second, 25*time.Second)
	fmt.Println(c.Standby(4*time.Second), c.Active(4*time.Second))
	trace(&c, 2*time.Second)
	// In the midst of a drain clients have turned elsewhere already.
	c = Cycle{}
	c.Knows(0)
	c.Standby(time.Second)
	c.Stop(1500*time.Millisecond, time.Second)
	trace(&c, 1500*time.Millisecond)
	// With a successor clients lose nothing by going there at once.
	c = Cycle{}
	c.Knows(0)
	c.Successor(0, true)
	c.Stop(time.Second, 2*time.Second)
	trace(&c, time.Second)
	// It dies: the old process hears clients again for as long as it has. And another one comes.
	c.Successor(1500*time.Millisecond, false)
	trace(&c, 1500*time.Millisecond)
	c.Successor(2*time.Second, true)
	trace(&c, 2*time.Second)
	// Output:
	// false false
	//    2s stopping: hears, takes
	//  3.5s stopping: hears, takes, shuts, leaves
	//  5.2s stopping: hears, shuts, leaves, gives up
	//  5.4s stopping: hears, shuts, leaves, gives up, over
	//  1.5s stopping: hears, takes
	//    2s stopping: hears, takes, shuts, leaves
	//    3s stopping: hears, shuts, leaves, gives up
	//  3.2s stopping: hears, shuts, leaves, gives up, over
	//    1s handing over: yes, takes, passes on, keeps news, leaves
	//    2s handing over: yes, takes, shuts, passes on, keeps news, leaves
	//    3s handing over: yes, shuts, keeps news, leaves, gives up
	//  3.2s handing over: yes, shuts, keeps news, leaves, gives up, over
	//  1.5s stopping: hears, takes
	//    2s stopping: hears, takes, shuts, leaves
	//    3s stopping: hears, shuts, leaves, gives up
	//  3.2s stopping: hears, shuts, leaves, gives up, over
	//    2s handing over: yes, takes, shuts, passes on, keeps news, leaves
	//    3s handing over: yes, shuts, keeps news, leaves, gives up
	//  3.2s handing over: yes, shuts, keeps news, leaves, gives up, over
}
