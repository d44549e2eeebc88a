package workers

import (
	"fmt"

	"stoatweir/dispatch"
)

// A 202 frees the connection without ending the attempt. A final callback ends it, once, and only
// if it comes from the worker that has the attempt.
func Example_callbacks() {
	f := newFixture(acceptedResponse, acceptedResponse)
	f.Forward(f.newInvocation(1), 0, f.id)
	f.runUntil(1, 1)
	f.reportState("id1", "started")
	f.HandleCallback(Callback{ID: "id1", WorkerUID: workerUID, State: "running", Progress: 0.4})
	f.HandleCallback(Callback{ID: "id1", WorkerUID: "s-2", State: "done", Result: new("another's")})
	f.reportState("id9", "failed")
	f.reportState("id1", "unheard")
	f.HandleCallback(Callback{ID: "id1", WorkerUID: workerUID, State: "done", Result: new("fine")})
	f.HandleCallback(Callback{ID: "id1", WorkerUID: workerUID, State: "done", Result: new("again")})
	f.runUntil(3, 0)
	f.Forward(f.newInvocation(2), 0, f.id)
	f.runUntil(1, 1)
	f.reportState("id2", "returned")
	f.runUntil(1, 0)
	fmt.Println("callbacks:", f.Counts.Callbacks, "strange:", f.Counts.UnknownCallbacks,
		"dialled:", f.Counts.Dialled, "in flight:", f.InFlight())
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// inv 1 attempt 0: accepted=false started=true done=0
	// inv 1 attempt 0: accepted=false started=false done=0.4
	// to the client: 1 fine
	// inv 1 attempt 0 ends: 0 closed=true load=false
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0: accepted=true started=false done=0
	// inv 2 attempt 0 ends: 2 closed=false load=false
	// callbacks: 8 strange: 4 dialled: 1 in flight: 0
}

// A callback may arrive before the 202. A final one ends the attempt although the response is still
// outstanding.
func Example_callbackBeforeResponse() {
	f := newFixture("", acceptedResponse)
	f.Forward(f.newInvocation(1), 0, f.id)
	f.runUntil(0, 1)
	f.reportState("id1", "lost")
	f.runUntil(1, 1) // the connection is closed, as its response does not arrive
	f.Forward(f.newInvocation(2), 0, f.id)
	f.runUntil(1, 1)
	f.reportState("id2", "done")
	f.runUntil(1, 0)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// connection 1 ends
	// inv 1 attempt 0 ends: 5 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0: accepted=true started=false done=0
	// inv 2 attempt 0 ends: 1 closed=false load=false
}

// A callback for an earlier attempt at the same worker is repeated while the connection for the
// next attempt is being dialled. It must not end the next attempt, of which no byte has been
// written. A result counts all the same, and then the next attempt is not written.
func Example_callbackOfEarlierAttempt() {
	retryAfterReturn := func(f *fixture, inv *Invocation) {
		f.Forward(inv, 0, f.id)
		f.runUntil(1, 1)
		f.reportState(inv.ID, "returned")
		f.worker().closeIdle()
		f.runUntil(1, 1)
		f.Forward(inv, 1, f.id)
	}
	f := newFixture(acceptedResponse, acceptedResponse)
	retryAfterReturn(f, f.newInvocation(1))
	for _, state := range []string{"started", "returned", "failed", "lost"} {
		f.reportState("id1", state)
	}
	f.runUntil(1, 1)
	fmt.Println("in flight:", f.InFlight(), "strange:", f.Counts.UnknownCallbacks)
	f = newFixture(acceptedResponse)
	retryAfterReturn(f, f.newInvocation(2))
	f.HandleCallback(Callback{ID: "id2", WorkerUID: workerUID, State: "done", Result: new("fine")})
	f.runUntil(1, 0)
	f.runUntilTrue("all connections closed", func() bool { return f.quota.Used() == 0 })
	fmt.Println("in flight:", f.InFlight(), "idle:", len(f.worker().idle))
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// connection 1 ends
	// inv 1 attempt 0 ends: 2 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 1: accepted=true started=false done=0
	// in flight: 1 strange: 4
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0: accepted=true started=false done=0
	// connection 1 ends
	// inv 2 attempt 0 ends: 2 closed=false load=false
	// to the client: 2 fine
	// inv 2 attempt 1 ends: 0 closed=true load=false
	// in flight: 0 idle: 0
}

// An attempt that its worker has started counts as having possibly run, whatever the worker or the
// connection reports later.
func Example_startedBeforeRejection() {
	f := newFixture(acceptedResponse, "", "")
	f.Forward(f.newInvocation(1), 0, f.id)
	f.runUntil(1, 1)
	f.reportState("id1", "started")
	f.reportState("id1", "returned")
	f.runUntil(2, 0)
	f.Forward(f.newInvocation(2), 0, f.id) // the callback arrives before the response
	f.runUntil(0, 1)
	f.HandleCallback(Callback{ID: "id2", WorkerUID: workerUID, State: "running", Progress: 0.1})
	f.writeFromWorker(1, rejectedResponse)
	f.runUntil(2, 0)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// inv 1 attempt 0: accepted=false started=true done=0
	// inv 1 attempt 0 ends: 5 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0: accepted=false started=false done=0.1
	// inv 2 attempt 0 ends: 5 closed=false load=true
}

// Guards against taking a repeated callback for the end of a later attempt at the same worker: a
// worker has returned an invocation, receives it again, and reports once more that it returns it.
// Whatever the effect class, that proves nothing about the second attempt, whose result counts.
func Example_returnedTwice() {
	for _, effect := range []dispatch.Effect{dispatch.Idempotent, dispatch.Deduplicated, dispatch.NonIdempotent} {
		f := newFixture(acceptedResponse, acceptedResponse)
		inv := f.newInvocation(1)
		inv.Effect = effect
		for number := range 2 {
			f.Forward(inv, number, f.id)
			f.runUntil(1, 1)
			f.reportState("id1", "returned")
			f.runUntil(1, 0)
		}
		f.reportState("id1", "started")
		f.reportState("id1", "returned") // a worker returns only what it has not started
		f.runUntil(1, 0)
		fmt.Println("in flight:", f.InFlight(), "ambiguous:", f.Counts.AmbiguousReturns)
		f.HandleCallback(Callback{ID: "id1", WorkerUID: workerUID, State: "done", Result: new("fine")})
		f.runUntil(1, 0)
	}
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// inv 1 attempt 0 ends: 2 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 1: accepted=true started=false done=0
	// inv 1 attempt 1 may be returned
	// inv 1 attempt 1: accepted=false started=true done=0
	// in flight: 1 ambiguous: 2
	// to the client: 1 fine
	// inv 1 attempt 1 ends: 0 closed=true load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// inv 1 attempt 0 ends: 2 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 1: accepted=true started=false done=0
	// inv 1 attempt 1 may be returned
	// inv 1 attempt 1: accepted=false started=true done=0
	// in flight: 1 ambiguous: 2
	// to the client: 1 fine
	// inv 1 attempt 1 ends: 0 closed=true load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// inv 1 attempt 0 ends: 2 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 1: accepted=true started=false done=0
	// inv 1 attempt 1 may be returned
	// inv 1 attempt 1: accepted=false started=true done=0
	// in flight: 1 ambiguous: 2
	// to the client: 1 fine
	// inv 1 attempt 1 ends: 0 closed=true load=false
}
