package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// Settled tells whether each forward of an invocation that is out has been taken by its worker: nothing of it is on its way.
func (f *Transport) AttemptsAccepted(inv dispatch.InvocationID, forwards int) bool {
	for fwd := range forwards {
		if a := f.byNumber[attemptKey{inv, fwd}]; a != nil && !a.taken {
			return false
		}
	}
	return true
}

// Give takes the forwards of an invocation out of the books: another process has them from now on.
func (f *Transport) ReleaseAttempts(inv dispatch.InvocationID, forwards int) {
	for fwd := range forwards {
		if a := f.byNumber[attemptKey{inv, fwd}]; a != nil {
			delete(f.byNumber, attemptKey{inv, fwd})
			delete(f.byName, workKey{a.inv.ID, a.worker.uid})
			a.deadline.Stop()
		}
	}
}

// Keep enters a forward that another process has sent and that its worker has taken.
func (f *Transport) AdoptAttempt(inv *Invocation, fwd int, to dispatch.WorkerID) {
	w := f.workers[to]
	a := &attempt{inv: inv, number: fwd, worker: w, written: true, taken: true}
	f.byNumber[attemptKey{inv.Number, fwd}], f.byName[workKey{inv.ID, w.uid}] = a, a
	a.deadline = f.loop.After(inv.Deadline-f.loop.Now(), func() { f.end(a, conn.TimedOut, nil) })
}

// Had enters that a worker has had an invocation, by another process.
func (f *Transport) MarkAttempted(inv *Invocation, worker dispatch.WorkerID) {
	inv.had = append(inv.had, f.workers[worker])
}
