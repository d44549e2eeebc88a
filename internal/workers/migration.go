package workers

import "stoatweir/dispatch"

// AttemptsAccepted reports whether every attempt that is in flight, among the first count attempts
// of an invocation, has been accepted by its worker. No byte of the invocation is then still to be
// sent.
func (t *Transport) AttemptsAccepted(inv dispatch.InvocationID, count int) bool {
	for number := range count {
		a := t.attempts[attemptKey{invocation: inv, number: number}]
		if a != nil && !a.accepted {
			return false
		}
	}
	return true
}

// ReleaseAttempts removes the first count attempts of an invocation without reporting an event,
// because another process takes them over.
func (t *Transport) ReleaseAttempts(inv dispatch.InvocationID, count int) {
	for number := range count {
		if a := t.attempts[attemptKey{invocation: inv, number: number}]; a != nil {
			t.untrack(a)
		}
	}
}

// AdoptAttempts records the attempts of an invocation that another process made, or that were
// released, in the order of their numbers. Those in flight are in flight in this transport from now
// on; their workers have accepted them. All workers must be known to this transport.
func (t *Transport) AdoptAttempts(inv *Invocation, attempts []dispatch.Attempt) {
	for number, adopted := range attempts {
		w := t.workersByID[adopted.Worker]
		inv.written = append(inv.written, writtenAttempt{number: number, worker: w})
		if !adopted.InFlight {
			continue
		}
		t.track(&attempt{
			invocation:  inv,
			number:      number,
			worker:      w,
			sendStarted: true,
			accepted:    true,
			started:     adopted.StartedAge >= 0,
		})
	}
}
