package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// Settled tells whether each forward of an invocation that is out has been taken by its worker: nothing of it is on its way.
func (f *Fleet) Settled(inv dispatch.InvID, forwards int) bool {
	for fwd := range forwards {
		if o := f.byNumber[number{inv, fwd}]; o != nil && !o.taken {
			return false
		}
	}
	return true
}

// Give takes the forwards of an invocation out of the books: another process has them from now on.
func (f *Fleet) Give(inv dispatch.InvID, forwards int) {
	for fwd := range forwards {
		if o := f.byNumber[number{inv, fwd}]; o != nil {
			delete(f.byNumber, number{inv, fwd})
			delete(f.byName, name{o.inv.ID, o.worker.uid})
			o.deadline.Stop()
		}
	}
}

// Keep enters a forward that another process has sent and that its worker has taken.
func (f *Fleet) Keep(inv *Invocation, fwd int, to dispatch.WorkerID) {
	w := f.workers[to]
	o := &forward{inv: inv, number: fwd, worker: w, written: true, taken: true}
	f.byNumber[number{inv.Inv, fwd}], f.byName[name{inv.ID, w.uid}] = o, o
	o.deadline = f.loop.After(inv.GivenUp-f.loop.Now(), func() { f.end(o, conn.Expired, nil) })
}

// Had enters that a worker has had an invocation, by another process.
func (f *Fleet) Had(inv *Invocation, worker dispatch.WorkerID) {
	inv.had = append(inv.had, f.workers[worker])
}
