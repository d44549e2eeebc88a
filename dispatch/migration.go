package dispatch

import (
	"slices"
	"time"
)

// notYet is the age of what has not happened.
const notYet = -1

// MigratedOut says that an invocation is another instance's from now on: nothing is cancelled and no answer is owed here.
type MigratedOut struct{ Invocation InvocationID }

// MigratedIn brings an invocation that another instance had. Ages count back from now.
type MigratedIn struct {
	Arrival
	Waited   time.Duration `json:"Waited"` // since its client's first request arrived
	Age      time.Duration `json:"Age"`    // since this request arrived
	Attempts []Attempt     `json:"Tries"`  // in the order sent
}

// Attempt is one attempt of an invocation that migrates.
type Attempt struct {
	Worker          WorkerID      `json:"Worker"`
	Zone            int           `json:"Zone"`  // where the worker was when it was sent
	Cell            int           `json:"Cell"`  // likewise
	Age             time.Duration `json:"Age"`   // since it was sent
	StartedAge      time.Duration `json:"Began"` // since it started; below 0: it has not
	LastProgressAge time.Duration `json:"Heard"` // since its last progress; below 0: there was none
	Cost            float64       `json:"Cost"`  // of a slow-start budget
	InFlight        bool          `json:"Out"`
	MayHaveRun      bool          `json:"Ran"`
	Stalled         bool          `json:"Stuck"`
	BadRequest      bool          `json:"Unfit"`
}

// About names the invocation.
func (e MigratedOut) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// About names the invocation.
func (e MigratedIn) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// MigrationRecord is an invocation as another instance would have to have it; false: it is not open here any more.
func (d *Dispatcher) MigrationRecord(id InvocationID) (record MigratedIn, open bool) {
	index, open := d.invocationIndex[id]
	if !open || d.scheduler.invocations[index].answered {
		return MigratedIn{}, false
	}
	v := &d.scheduler.invocations[index]
	record = MigratedIn{
		Arrival: Arrival{
			Invocation: id,
			Operation:  v.operation,
			Tenant:     v.tenant,
			Budget:     v.deadline - d.now,
			Hint:       v.work,
			Slots:      v.slots,
		},
		Waited: d.now - v.firstRequestAt,
		Age:    d.now - v.arrivedAt,
	}
	for number := range v.attempts {
		record.Attempts = append(record.Attempts, d.attemptRecord(index, number))
	}
	return record, true
}

func (d *Dispatcher) attemptRecord(index, number int) Attempt {
	attempt := &d.scheduler.invocations[index].attempts[number]
	worker := &d.records[attempt.worker]
	record := Attempt{
		Worker:          worker.Worker,
		Zone:            attempt.zone,
		Cell:            attempt.cell,
		Age:             d.now - attempt.sentAt,
		StartedAge:      notYet,
		LastProgressAge: notYet,
		InFlight:        attempt.inFlight,
		MayHaveRun:      attempt.mayHaveRun,
		Stalled:         attempt.stalled,
		BadRequest:      attempt.badRequest,
	}
	if worker.worker == nil {
		return record
	}
	atWorker := worker.worker.inFlightAttempt(index, number)
	if atWorker == nil {
		return record
	}
	record.Cost = atWorker.cost
	if atWorker.startedAt > 0 {
		record.StartedAge = d.now - atWorker.startedAt
	}
	if atWorker.progressAt > 0 {
		record.LastProgressAge = d.now - atWorker.progressAt
	}
	return record
}

// Aged is the record as it is that much later, as it ages on its way: a deduplication window and a client timeout go on.
func (e MigratedIn) Aged(by time.Duration) MigratedIn {
	e.Budget -= by
	e.Waited += by
	e.Age += by
	e.Attempts = slices.Clone(e.Attempts)
	for i := range e.Attempts {
		e.Attempts[i].addAge(by)
	}
	return e
}

func (a *Attempt) addAge(by time.Duration) {
	for _, age := range []*time.Duration{&a.Age, &a.StartedAge, &a.LastProgressAge} {
		if *age >= 0 {
			*age += by
		}
	}
}

// attemptMigrated notifies a worker that an attempt of ours is another instance's.
type attemptMigrated struct {
	invocation int
	number     int
}

func (m attemptMigrated) deliverToWorker(w *worker) {
	attempt := w.inFlightAttempt(m.invocation, m.number)
	if attempt != nil {
		attempt.endedAt = w.now
	}
}

// migrateOut lets an invocation go to another instance.
func (s *scheduler) migrateOut(index int) {
	s.dequeue(index)
	v := &s.invocations[index]
	for number := range v.attempts {
		attempt := &v.attempts[number]
		if attempt.inFlight {
			attempt.inFlight = false
			s.dispatcher.records[attempt.worker].worker.send(attemptMigrated{invocation: index, number: number})
		}
	}
	v.answered = true
	v.finished = true
	s.free(index)
}

// migrateIn takes an invocation of another instance in.
func (s *scheduler) migrateIn(index int, migrated MigratedIn) {
	s.admit(index, migrated.Arrival)
	s.dequeue(index)
	v := &s.invocations[index]
	v.firstRequestAt = s.now - migrated.Waited
	v.arrivedAt = s.now - migrated.Age
	for number, attempt := range migrated.Attempts {
		worker, known := s.dispatcher.recordIndex[attempt.Worker]
		if known {
			s.adoptAttempt(index, number, worker, attempt)
		}
	}
	s.retry(index)
}

// adoptAttempt enters an attempt that another instance has sent.
func (s *scheduler) adoptAttempt(index, number, worker int, migrated Attempt) {
	v := &s.invocations[index]
	v.attempts = append(v.attempts, requestAttempt{
		worker:     worker,
		zone:       migrated.Zone,
		cell:       migrated.Cell,
		sentAt:     s.now - migrated.Age,
		inFlight:   migrated.InFlight,
		mayHaveRun: migrated.MayHaveRun,
		stalled:    migrated.Stalled,
		badRequest: migrated.BadRequest,
	})
	if migrated.BadRequest {
		v.badRequests++
	}
	if !migrated.InFlight {
		return
	}
	attempt := workerAttempt{
		invocation: index,
		number:     number,
		slots:      v.slots,
		work:       v.work,
		cost:       migrated.Cost,
		lost:       migrated.Stalled,
		accepted:   true,
		sentAt:     max(0, s.now-migrated.Age),
	}
	if migrated.StartedAge >= 0 {
		attempt.startedAt = max(1, s.now-migrated.StartedAge) // 0 would be not started
	}
	if migrated.LastProgressAge >= 0 {
		attempt.progressAt = max(1, s.now-migrated.LastProgressAge)
	}
	s.dispatcher.workerAt(worker).send(attemptSent{attempt})
}
