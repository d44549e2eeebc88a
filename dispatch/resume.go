package dispatch

import (
	"slices"
	"time"
)

// This file carries the state of invocations from one instance to another. It decides nothing: what is inherited enters by
// the same lines as all else.

// Passed says that an invocation is another instance's from now on: nothing is cancelled and no answer is owed here.
type MigratedOut struct{ Invocation InvocationID }

// Resumed brings an invocation that another instance had. Ages count back from now.
type MigratedIn struct {
	Arrival
	Waited   time.Duration `json:"Waited"` // since its client's first try came
	Age      time.Duration `json:"Age"`    // since this try came
	Attempts []Attempt     `json:"Tries"`  // its forwards, in the order sent
}

// Try is one forward of an invocation.
type Attempt struct {
	Worker          WorkerID      `json:"Worker"`
	Zone            int           `json:"Zone"`  // where the worker was when it was sent
	Cell            int           `json:"Cell"`  // likewise
	Age             time.Duration `json:"Age"`   // since it was sent
	StartedAge      time.Duration `json:"Began"` // since it began; below 0: it has not
	LastProgressAge time.Duration `json:"Heard"` // since it was last heard of; below 0: it was not
	Cost            float64       `json:"Cost"`
	InFlight        bool          `json:"Out"`
	MayHaveRun      bool          `json:"Ran"`
	Stuck           bool          `json:"Stuck"`
	BadRequest      bool          `json:"Unfit"`
}

func (e MigratedOut) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }
func (e MigratedIn) About() (InvocationID, WorkerID)  { return e.Invocation, WorkerID{} }

// begins tells whether an event brings an invocation in.
func begins(e Event) bool {
	switch e.(type) {
	case Arrival, MigratedIn:
		return true
	}
	return false
}

// Record is an invocation as another instance would have to have it; false: it is not held here any more.
func (d *Dispatcher) MigrationRecord(id InvocationID) (r MigratedIn, held bool) {
	i, held := d.invAt[id]
	if !held || d.desk.invs[i].done {
		return r, false
	}
	j, ago := &d.desk.invs[i], func(t time.Duration) time.Duration { return d.now - t }
	r = MigratedIn{Arrival: Arrival{Invocation: id, Operation: j.op, Tenant: j.tenant, Budget: j.givenUp - d.now, Hint: j.work,
		Slots: j.slots}, Waited: ago(j.first), Age: ago(j.came)}
	for f, t := range j.tries {
		try := Attempt{Worker: d.list[t.at].Worker, Zone: t.zone, Cell: t.cell, Age: ago(t.sent), StartedAge: -1, LastProgressAge: -1, InFlight: t.out, MayHaveRun: t.ran, Stuck: t.stuck,
			BadRequest: t.unfit}
		if w := d.list[t.at].worker; w != nil {
			if e := w.find(i, f); e != nil {
				if try.Cost = e.cost; e.began > 0 {
					try.StartedAge = ago(e.began)
				}
				if e.heard > 0 {
					try.LastProgressAge = ago(e.heard)
				}
			}
		}
		r.Attempts = append(r.Attempts, try)
	}
	return r, true
}

// Older is the record as it is that much later, as it ages on its way: a window for repeats and a client timeout go on.
func (r MigratedIn) Aged(by time.Duration) MigratedIn {
	r.Budget, r.Waited, r.Age, r.Attempts = r.Budget-by, r.Waited+by, r.Age+by, slices.Clone(r.Attempts)
	for i := range r.Attempts {
		t := &r.Attempts[i]
		for _, age := range []*time.Duration{&t.Age, &t.StartedAge, &t.LastProgressAge} {
			if *age >= 0 {
				*age += by
			}
		}
	}
	return r
}

// handed is desk to worker: a forward of ours is another instance's.
type handed struct{ inv, fwd int }

// bequest is what one instance leaves another, or takes from its own books for that, of one worker.
type bequest interface{ to(w *worker) }

func (n handed) to(w *worker) {
	if e := w.find(n.inv, n.fwd); e != nil {
		e.end = w.now
	}
}

// pass lets an invocation go to another instance.
func (k *desk) pass(i int) {
	k.unhold(i)
	j := &k.invs[i]
	for f := range j.tries {
		if t := &j.tries[f]; t.out {
			t.out = false
			k.door.list[t.at].worker.put(handed{i, f})
		}
	}
	j.done, j.over = true, true
	k.spare = append(k.spare, i)
	k.door.put(freed{j.id})
}

// resume takes an invocation of another instance in.
func (k *desk) resume(i int, r MigratedIn) {
	k.take(i, r.Arrival)
	k.unhold(i)
	j := &k.invs[i]
	j.first, j.came = k.now-r.Waited, k.now-r.Age
	for f, t := range r.Attempts {
		at, known := k.door.workerAt[t.Worker]
		if !known {
			continue
		}
		j.tries = append(j.tries, tried{at: at, zone: t.Zone, cell: t.Cell, sent: k.now - t.Age, out: t.InFlight, ran: t.MayHaveRun,
			stuck: t.Stuck, unfit: t.BadRequest})
		if t.BadRequest {
			j.unfit++
		}
		if !t.InFlight {
			continue
		}
		e := errand{inv: i, fwd: f, slots: j.slots, work: j.work, cost: t.Cost, lost: t.Stuck, taken: true, sent: max(0, k.now-t.Age)}
		if t.StartedAge >= 0 {
			e.began = max(1, k.now-t.StartedAge)
		}
		if t.LastProgressAge >= 0 {
			e.heard = max(1, k.now-t.LastProgressAge)
		}
		k.door.meet(at).put(sent{e})
	}
	k.again(i)
}
