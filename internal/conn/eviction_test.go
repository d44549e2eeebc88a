package conn

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Connections are evicted in this order: finished ones, those that have sent nothing for a while,
// those that have stalled within a request, idle ones, new ones, those with a partial request that
// still makes progress. An active connection is never evicted. Any received byte counts as
// progress.
func Example_evictionOrder() {
	defer func(savedGrace, savedStalledAge time.Duration) {
		newConnGrace = savedGrace
		stalledRequestAge = savedStalledAge
	}(newConnGrace, stalledRequestAge)
	newConnGrace = 20 * time.Millisecond
	stalledRequestAge = 60 * time.Millisecond
	l := NewLoop(time.Now())
	q := l.NewQuota(8)
	addr, stop := listenPeer(func(c net.Conn) { io.Copy(io.Discard, c) })
	defer stop()
	states := []State{StateIdle, StateActive, StateReading, StateFinished, StateNew, StateReading}
	var handlers []*recordingHandler
	var conns []*Conn
	for _, state := range states {
		h := &recordingHandler{}
		c := q.Dial(addr, time.Second, h)
		runUntil(l, "the connection", func() bool { return len(h.events) > 0 })
		c.SetState(state)
		handlers = append(handlers, h)
		conns = append(conns, c)
	}
	elapsed := false
	l.After(80*time.Millisecond, func() { elapsed = true })
	runUntil(l, "the timer", func() bool { return elapsed })
	conns[5].SetState(StateReading) // more of the request was received
	newestHandler := &recordingHandler{}
	c := q.Dial(addr, time.Second, newestHandler)
	runUntil(l, "the last connection", func() bool { return len(newestHandler.events) > 0 })
	c.SetState(StateNew)
	handlers = append(handlers, newestHandler)
	for reserve := range 8 {
		// A connection is evicted only after the loop has handled everything that was read from it.
		l.After(0, func() {})
		runUntil(l, "the evictions", func() bool { q.EnsureFree(reserve); return len(q.evicting) == 0 })
		fmt.Print(q.EnsureFree(reserve), " ", q.Used())
		for i, h := range handlers {
			if len(h.events) > 1 {
				fmt.Print(" ", []string{"idle", "busy", "stopped", "done", "mute", "begun", "new"}[i])
			}
		}
		fmt.Println()
	}
	// Output:
	// true 7
	// true 6 done
	// true 5 done mute
	// true 4 stopped done mute
	// true 3 idle stopped done mute
	// true 2 idle stopped done mute new
	// true 1 idle stopped done mute begun new
	// false 1 idle stopped done mute begun new
}
