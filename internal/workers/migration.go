package workers

import "stoatweir/dispatch"

// AttemptsAccepted reports whether each attempt of an invocation that is in flight, of the first
// count attempts, has been accepted by its worker: no byte of the invocation is on its way.
func (t *Transport) AttemptsAccepted(inv dispatch.InvocationID, count int) bool {
	for number := range count {
		a := t.attempts[attemptKey{invocation: inv, number: number}]
		if a != nil && !a.accepted {
			return false
		}
	}
	return true
}

// ReleaseAttempts removes the attempts of an invocation, of the first count attempts, without an
// event: another process has them from now on.
func (t *Transport) ReleaseAttempts(inv dispatch.InvocationID, count int) {
	for number := range count {
		if a := t.attempts[attemptKey{invocation: inv, number: number}]; a != nil {
			t.untrack(a)
		}
	}
}

// AdoptAttempt enters an attempt that another process has sent and its worker has accepted. The
// worker must be known here.
func (t *Transport) AdoptAttempt(inv *Invocation, number int, to dispatch.WorkerID) {
	t.track(&attempt{
		invocation: inv,
		number:     number,
		worker:     t.workersByID[to],
		written:    true,
		accepted:   true,
	})
}

// MarkAttempted enters that another process has sent an invocation to a worker.
func (t *Transport) MarkAttempted(inv *Invocation, worker dispatch.WorkerID) {
	inv.attemptedOn = append(inv.attemptedOn, t.workersByID[worker])
}
