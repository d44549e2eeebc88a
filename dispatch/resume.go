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
func opensInvocation(e Event) bool {
	switch e.(type) {
	case Arrival, MigratedIn:
		return true
	}
	return false
}

// Record is an invocation as another instance would have to have it; false: it is not held here any more.
func (d *Dispatcher) MigrationRecord(id InvocationID) (r MigratedIn, held bool) {
	i, held := d.invocationIndex[id]
	if !held || d.scheduler.invocations[i].answered {
		return r, false
	}
	j, ago := &d.scheduler.invocations[i], func(t time.Duration) time.Duration { return d.now - t }
	r = MigratedIn{Arrival: Arrival{Invocation: id, Operation: j.operation, Tenant: j.tenant, Budget: j.deadline - d.now, Hint: j.work,
		Slots: j.slots}, Waited: ago(j.firstTriedAt), Age: ago(j.arrivedAt)}
	for f, t := range j.attempts {
		try := Attempt{Worker: d.records[t.worker].Worker, Zone: t.zone, Cell: t.cell, Age: ago(t.sentAt), StartedAge: -1, LastProgressAge: -1, InFlight: t.inFlight, MayHaveRun: t.mayHaveRun, Stuck: t.stalled,
			BadRequest: t.badRequest}
		if w := d.records[t.worker].worker; w != nil {
			if e := w.inFlightAttempt(i, f); e != nil {
				if try.Cost = e.cost; e.startedAt > 0 {
					try.StartedAge = ago(e.startedAt)
				}
				if e.progressAt > 0 {
					try.LastProgressAge = ago(e.progressAt)
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
type attemptMigrated struct{ invocation, number int }

// bequest is what one instance leaves another, or takes from its own books for that, of one worker.
type stateTransfer interface{ to(w *worker) }

func (n attemptMigrated) to(w *worker) {
	if e := w.inFlightAttempt(n.invocation, n.number); e != nil {
		e.endedAt = w.now
	}
}

// pass lets an invocation go to another instance.
func (s *scheduler) migrateOut(i int) {
	s.dequeue(i)
	j := &s.invocations[i]
	for f := range j.attempts {
		if t := &j.attempts[f]; t.inFlight {
			t.inFlight = false
			s.dispatcher.records[t.worker].worker.send(attemptMigrated{i, f})
		}
	}
	j.answered, j.finished = true, true
	s.freeInvocations = append(s.freeInvocations, i)
	s.dispatcher.send(invocationReleased{j.id})
}

// resume takes an invocation of another instance in.
func (s *scheduler) migrateIn(i int, r MigratedIn) {
	s.admit(i, r.Arrival)
	s.dequeue(i)
	j := &s.invocations[i]
	j.firstTriedAt, j.arrivedAt = s.now-r.Waited, s.now-r.Age
	for f, t := range r.Attempts {
		at, known := s.dispatcher.recordIndex[t.Worker]
		if !known {
			continue
		}
		j.attempts = append(j.attempts, requestAttempt{worker: at, zone: t.Zone, cell: t.Cell, sentAt: s.now - t.Age, inFlight: t.InFlight, mayHaveRun: t.MayHaveRun,
			stalled: t.Stuck, badRequest: t.BadRequest})
		if t.BadRequest {
			j.badRequests++
		}
		if !t.InFlight {
			continue
		}
		e := workerAttempt{invocation: i, number: f, slots: j.slots, work: j.work, cost: t.Cost, lost: t.Stuck, accepted: true, sentAt: max(0, s.now-t.Age)}
		if t.StartedAge >= 0 {
			e.startedAt = max(1, s.now-t.StartedAge)
		}
		if t.LastProgressAge >= 0 {
			e.progressAt = max(1, s.now-t.LastProgressAge)
		}
		s.dispatcher.workerAt(at).send(attemptSent{e})
	}
	s.retry(i)
}
