// Command 2 plays a move of discovery to an address at which each call waits 2 s for its turn.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"syscall"
	"time"

	"stoatweir/review/standin"
)

const (
	slow       = 2 * time.Second        // that a call to the new discovery waits for its turn
	toldAfter  = 4 * time.Second        // after SIGHUP, what discovery has counts as told
	grace      = 500 * time.Millisecond // StopSendingWithin
	slack      = 50 * time.Millisecond  // on sockets, each time limit is that much longer
	oldClosing = 1500 * time.Millisecond
	leaving    = 10 * time.Second // after SIGHUP, the drained workers end
	watched    = 18 * time.Second // after SIGHUP
)

func main() {
	r := standin.Open()
	listen, admin := r.FreeAddress(), r.FreeAddress()
	newWorker := func(n int) *standin.Worker {
		w := r.Worker(fmt.Sprintf("s-%d", n))
		w.Scheduler = listen
		w.Report = func() string {
			return fmt.Sprintf("TEXT waiting=0, avg_ms=%.2f, x0=3", 50+rand.Float64())
		}
		w.Decide = func(a *standin.Attempt) int {
			go func() {
				w.Tell(a, "started", "")
				time.Sleep(50 * time.Millisecond)
				w.Tell(a, "done", "made "+a.ID)
			}()
			return http.StatusAccepted
		}
		return w
	}
	var old, successors []*standin.Worker
	var targets, later []standin.Target
	for n := range 3 {
		zone := "site-" + string(rune('a'+n))
		old = append(old, newWorker(n+1))
		successors = append(successors, newWorker(n+4))
		targets = append(targets, old[n].Target(zone, "standard", n))
		later = append(later, successors[n].Target(zone, "standard", n))
	}
	before := r.Discovery("discovery 1", 0, targets...)
	delay := slow
	if !r.Trouble {
		delay = 0
	}
	after := r.Discovery("discovery 2", delay, append(targets, later...)...)
	settings := map[string]any{"Operations": []any{standin.Operation("farm-load", "read_like", 5, nil)}}
	path := r.WriteConfig("n0", r.Config("n0", listen, admin, before, settings))
	p := r.Start("n0", path)
	ready := func() bool { status, _ := r.Get(listen, "/-/ready"); return status == http.StatusOK }
	if !r.WaitFor(10*time.Second, ready) {
		r.Fail("the scheduler does not get ready")
	}
	client := r.Dial(listen)
	sent := 0
	call := func() int {
		sent++
		return client.Call(fmt.Sprintf("call%04d", sent), "farm-load", fmt.Sprintf("/farm-load/u%d", sent), 5*time.Second).Status
	}
	for r.Since() < 3*time.Second {
		call()
	}
	r.WriteConfig("n0", r.Config("n0", listen, admin, after, settings))
	r.Signal(p, syscall.SIGHUP)
	reloaded := r.Since()
	before.Leave(oldClosing)
	for _, w := range old {
		after.Set(w.UID, "Terminating") // known to discovery 2 from now on
	}
	bound := reloaded + toldAfter + grace + slack
	for r.Since() < reloaded+leaving {
		call()
		time.Sleep(20 * time.Millisecond)
	}
	for _, w := range old {
		after.Set(w.UID, "Gone")
		w.Leave()
	}
	served, refused := 0, 0
	for r.Since() < reloaded+watched {
		if call() == http.StatusOK {
			served++
		} else {
			refused++
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.Log("after s-1, s-2 and s-3 had left: %d requests served, %d not; s-4, s-5 and s-6 got %d attempts in all", served, refused,
		len(successors[0].Attempts(""))+len(successors[1].Attempts(""))+len(successors[2].Attempts("")))
	if p.Ended() {
		r.Fail("the scheduler has ended")
	}
	late := 0
	for _, w := range old {
		for _, a := range w.Attempts("") {
			if a.At > bound {
				late++
			}
		}
	}
	text := fmt.Sprintf("%d attempts came to draining workers later than %.2f s after SIGHUP, when the drain counted as told",
		late, (bound - reloaded).Seconds())
	if late > 0 {
		r.End(standin.Broken, "broken: "+text)
	}
	r.End(standin.Held, "held: "+text)
}
