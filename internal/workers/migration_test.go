package workers

import (
	"fmt"
	"time"

	"stoatweir/dispatch"
)

// Guards against running non-idempotent work twice after the process was replaced, or after a
// request came back from its successor: a worker repeats that it returned an earlier attempt, which
// proves nothing about the adopted one. The result of the adopted attempt counts.
func Example_returnedTwiceAcrossProcesses() {
	adopt := map[string]func(*fixture, *Invocation){
		"adopted": func(f *fixture, inv *Invocation) {
			f.AdoptAttempts(inv, []dispatch.Attempt{f.endedAttempt(), f.openAttempt()})
		},
		"adopted first attempt": func(f *fixture, inv *Invocation) {
			f.AdoptAttempts(inv, []dispatch.Attempt{f.openAttempt()})
		},
		"restored": func(f *fixture, inv *Invocation) {
			for number := range 2 {
				f.Forward(inv, number, f.id)
				f.runUntil(1, 1)
				if number == 0 {
					f.reportState(inv.ID, "returned")
					f.runUntil(1, 0)
				}
			}
			f.ReleaseAttempts(inv.Number, 2)
			f.AdoptAttempts(inv, []dispatch.Attempt{f.endedAttempt(), f.openAttempt()})
		},
	}
	for _, name := range []string{"adopted", "adopted first attempt", "restored"} {
		fmt.Println(name)
		f := newFixture(acceptedResponse, acceptedResponse)
		inv := f.newInvocation(1)
		inv.Effect = dispatch.NonIdempotent
		adopt[name](f, inv)
		f.reportState(inv.ID, "returned")
		f.runUntil(1, 0)
		if f.InFlight() > 0 {
			f.HandleCallback(Callback{ID: inv.ID, WorkerUID: workerUID, State: "done", Result: new("fine")})
			f.runUntil(1, 0)
		}
	}
	// Output:
	// adopted
	// inv 1 attempt 1 may be returned
	// to the client: 1 fine
	// inv 1 attempt 1 ends: 0 closed=true load=false
	// adopted first attempt
	// inv 1 attempt 0 ends: 2 closed=false load=false
	// restored
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// inv 1 attempt 0 ends: 2 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 1: accepted=true started=false done=0
	// inv 1 attempt 1 may be returned
	// to the client: 1 fine
	// inv 1 attempt 1 ends: 0 closed=true load=false
}

// Guards against forgetting in a migration that an attempt has started: it may have run, even if its
// worker returns it afterwards.
func Example_adoptedAfterItsStart() {
	f := newFixture()
	started := f.openAttempt()
	started.StartedAge = time.Second
	f.AdoptAttempts(f.newInvocation(1), []dispatch.Attempt{started})
	f.reportState("id1", "returned")
	f.runUntil(1, 0)
	// Output:
	// inv 1 attempt 0 ends: 5 closed=false load=false
}

// openAttempt returns the record of an attempt that the worker has accepted and not started.
func (f *fixture) openAttempt() dispatch.Attempt {
	return dispatch.Attempt{Worker: f.id, StartedAge: -1, InFlight: true}
}

// endedAttempt returns the record of an attempt that the worker has returned unstarted.
func (f *fixture) endedAttempt() dispatch.Attempt {
	return dispatch.Attempt{Worker: f.id, StartedAge: -1}
}
