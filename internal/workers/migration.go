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

// AdoptAttempt registers an attempt that another process has sent and its worker has accepted. The
// worker must be known to this transport.
func (t *Transport) AdoptAttempt(inv *Invocation, number int, to dispatch.WorkerID) {
	t.track(&attempt{
		invocation:  inv,
		number:      number,
		worker:      t.workersByID[to],
		sendStarted: true,
		accepted:    true,
	})
}

// MarkAttempted records that another process has sent an invocation to a worker.
func (t *Transport) MarkAttempted(inv *Invocation, worker dispatch.WorkerID) {
	inv.attemptedOn = append(inv.attemptedOn, t.workersByID[worker])
}
